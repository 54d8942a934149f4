/**
 * `spread`: time until a record is in force on every entry, and load on the
 * platform, as the number of entries grows. Measures three cases: working
 * watches, a platform that only one entry can reach, and a baseline in which
 * every entry watches the platform. Entries, network and platform run in this
 * process on the real clock, with a simulated delay of 1 ms between entries and
 * 4 ms to the platform.
 */
import {seededRandom, sleep, systemClock, type Clock} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import type {MeasureOptions} from './measurements.js';
import {startSpreadFleet, type SpreadFleet} from './spreadFleet.js';

const ENTRY_COUNTS = [7, 25, 100, 300];
const DEFAULT_SECONDS = 24;
/** Target for the time until a record is in force on every entry. */
const TARGET_MS = 2000;
const CONDITION_POLL_MS = 2;
const CONDITION_TIMEOUT_MS = 5_000;
const IDLE_SECONDS = 2;
const PLATFORM_DELAY_MS = 4;
const SETTLE_MS = 2500;

type Mode = 'platform watched' | 'platform cut for all but one';

interface SpreadResult {
  readonly entries: number;
  readonly mode: Mode | 'baseline: a watch at every entry';
  readonly rounds: number;
  /** Milliseconds from the operator's write until the last entry applies it. */
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
  /** Maximum milliseconds until the status is `in-force`; -1 on a timeout. */
  readonly statusMaxMs: number;
  /** Rounds in which an entry did not apply the record before the timeout. */
  readonly missed: number;
  readonly openWatches: number;
  /** Platform calls per idle second; an open watch counts as one call. */
  readonly platformCallsPerSecond: number;
  readonly messagesPerEntryPerSecond: number;
  readonly bytesPerEntryPerSecond: number;
}

/**
 * Measures the propagation of records for several numbers of entries.
 *
 * @example
 * const result = await measureSpread({seed: 1});
 */
export async function measureSpread(options: MeasureOptions): Promise<object> {
  const clock = systemClock();
  // Keeps the process alive: timers of the clock are unreferenced, and no
  // socket is open.
  const keepAliveTimer = setInterval(() => undefined, 1000);
  const rounds = Math.max(
    3,
    Math.round((options.seconds ?? DEFAULT_SECONDS) / 8),
  );
  try {
    const results: SpreadResult[] = [];
    for (const entryCount of ENTRY_COUNTS) {
      results.push(
        ...(await measureFleet(clock, entryCount, rounds, options.seed)),
      );
      results.push(
        await measureBaseline(clock, entryCount, rounds, options.seed),
      );
    }
    const fleetResults = results.filter(
      result => !result.mode.startsWith('baseline'),
    );
    const isWithinTarget = fleetResults.every(
      result => result.missed === 0 && result.inForceMaxMs < TARGET_MS,
    );
    return {targetMs: TARGET_MS, isTargetMet: isWithinTarget, results};
  } finally {
    clearInterval(keepAliveTimer);
  }
}

async function measureFleet(
  clock: Clock,
  entryCount: number,
  rounds: number,
  seed: number,
): Promise<readonly SpreadResult[]> {
  const fleet = startSpreadFleet(clock, {entryCount, seed});
  try {
    await waitUntil(clock, () =>
      fleet.entries.every(entry => entry.configuration.isReady()),
    );
    // Waits until the set of entries that watch the platform is stable.
    await sleep(clock, SETTLE_MS);
    const watchedResult = await measureMode(
      clock,
      fleet,
      'platform watched',
      rounds,
    );
    for (const entry of fleet.entries.slice(1)) {
      entry.store.faults.setDown(true);
    }
    await sleep(clock, SETTLE_MS);
    const cutOffResult = await measureMode(
      clock,
      fleet,
      'platform cut for all but one',
      rounds,
    );
    return [watchedResult, cutOffResult];
  } finally {
    fleet.dispose();
  }
}

async function measureMode(
  clock: Clock,
  fleet: SpreadFleet,
  mode: Mode,
  rounds: number,
): Promise<SpreadResult> {
  const idleFigures = await measureIdle(clock, fleet);
  const delaysMs: number[] = [];
  const statusDelaysMs: number[] = [];
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const startMs = clock.now();
    const version = writeCustomer(fleet, round);
    const isInForceEverywhere = await waitUntil(clock, () =>
      fleet.entries.every(entry =>
        hasAppliedVersion(entry.configuration, version),
      ),
    );
    missed += isInForceEverywhere ? 0 : 1;
    delaysMs.push(clock.now() - startMs);
    const isReported = await waitUntil(clock, () => isInForce(fleet, version));
    statusDelaysMs.push(isReported ? clock.now() - startMs : -1);
  }
  return {
    entries: fleet.entries.length,
    mode,
    rounds,
    inForceP50Ms: median(delaysMs),
    inForceMaxMs: Math.round(Math.max(...delaysMs)),
    statusMaxMs: statusDelaysMs.includes(-1)
      ? -1
      : Math.round(Math.max(...statusDelaysMs)),
    missed,
    ...idleFigures,
  };
}

/** Measures the baseline: every entry watches the platform, without peers. */
async function measureBaseline(
  clock: Clock,
  entryCount: number,
  rounds: number,
  seed: number,
): Promise<SpreadResult> {
  const platform = createMemoryPlatform({clock, random: seededRandom(seed)});
  platform.faults.setDelay(PLATFORM_DELAY_MS);
  const clients = Array.from({length: entryCount}, (_, index) =>
    platform.createClient(`b${index}`, {liveEntries: entryCount}),
  );
  const latestVersions = new Array<number>(entryCount).fill(0);
  clients.forEach((client, index) => {
    client.watch('customer', {
      onDidList: () => {},
      onDidPut: object => (latestVersions[index] = object.version),
      onDidRemove: () => {},
    });
  });
  await waitUntil(
    clock,
    () => platform.callCounts().openWatches === entryCount,
  );
  const delaysMs: number[] = [];
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const startMs = clock.now();
    const {version} = platform.table.put(
      createOperatorWrite(),
      createCustomerRecord(round),
    );
    const isInForceEverywhere = await waitUntil(clock, () =>
      latestVersions.every(latestVersion => latestVersion >= version),
    );
    missed += isInForceEverywhere ? 0 : 1;
    delaysMs.push(clock.now() - startMs);
  }
  const {openWatches} = platform.callCounts();
  clients.forEach(client => client.dispose());
  return {
    entries: entryCount,
    mode: 'baseline: a watch at every entry',
    rounds,
    inForceP50Ms: median(delaysMs),
    inForceMaxMs: Math.round(Math.max(...delaysMs)),
    statusMaxMs: -1,
    missed,
    openWatches,
    platformCallsPerSecond: openWatches,
    messagesPerEntryPerSecond: 0,
    bytesPerEntryPerSecond: 0,
  };
}

async function measureIdle(clock: Clock, fleet: SpreadFleet) {
  const {platform, net, entries} = fleet;
  const countersBefore = {
    callCounts: platform.callCounts(),
    traffic: net.totalTraffic(),
  };
  const startMs = clock.now();
  await sleep(clock, IDLE_SECONDS * 1000);
  const seconds = (clock.now() - startMs) / 1000;
  const countersAfter = {
    callCounts: platform.callCounts(),
    traffic: net.totalTraffic(),
  };
  const calls =
    countersAfter.callCounts.reads -
    countersBefore.callCounts.reads +
    countersAfter.callCounts.writes -
    countersBefore.callCounts.writes +
    countersAfter.callCounts.watchCalls -
    countersBefore.callCounts.watchCalls;
  const {openWatches} = countersAfter.callCounts;
  const perEntryPerSecond = (difference: number) =>
    roundToHundredths(difference / seconds / entries.length);
  return {
    openWatches,
    platformCallsPerSecond: roundToHundredths(calls / seconds + openWatches),
    messagesPerEntryPerSecond: perEntryPerSecond(
      countersAfter.traffic.messagesSent - countersBefore.traffic.messagesSent,
    ),
    bytesPerEntryPerSecond: perEntryPerSecond(
      countersAfter.traffic.bytesSent - countersBefore.traffic.bytesSent,
    ),
  };
}

function writeCustomer(fleet: SpreadFleet, round: number): number {
  return fleet.platform.table.put(
    createOperatorWrite(),
    createCustomerRecord(round),
  ).version;
}

function createOperatorWrite() {
  return {
    kind: 'customer',
    name: 'namu',
    writeId: 'operator',
    condition: {type: 'any'} as const,
  };
}

function createCustomerRecord(round: number) {
  return {schema: 1, keyHashes: ['ab'.repeat(32)], weight: round + 1};
}

function hasAppliedVersion(
  configuration: SpreadFleet['entries'][number]['configuration'],
  version: number,
): boolean {
  return configuration
    .versions()
    .some(record => record.sourceVersion >= version);
}

function isInForce(fleet: SpreadFleet, version: number): boolean {
  const status = fleet.platform.table.get('status', 'customer.namu');
  const value = status?.value as
    | {state: string; sourceVersion: number}
    | undefined;
  return value?.state === 'in-force' && value.sourceVersion === version;
}

/** Waits for a condition; returns false after `CONDITION_TIMEOUT_MS`. */
async function waitUntil(
  clock: Clock,
  condition: () => boolean,
): Promise<boolean> {
  const deadline = clock.now() + CONDITION_TIMEOUT_MS;
  while (!condition()) {
    if (clock.now() > deadline) {
      return false;
    }
    await sleep(clock, CONDITION_POLL_MS);
  }
  return true;
}

function median(values: readonly number[]): number {
  const sortedValues = [...values].sort((a, b) => a - b);
  return Math.round(sortedValues[Math.floor(sortedValues.length / 2)] ?? 0);
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
