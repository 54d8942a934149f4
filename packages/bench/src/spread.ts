/**
 * How fast a record is in force on every entry as entries grow, and what it
 * costs the platform: with its watches working, with the platform cut off from
 * all entries but one, and against the plainest baseline, a watch at every
 * entry. Entries, network and platform live in this process, with a simulated
 * delay of 1 ms between entries and 4 ms to the platform on the real clock.
 */
import {seededRandom, sleep, systemClock, type Clock} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import type {MeasureOptions} from './measurements.js';
import {startSpreadFleet, type SpreadFleet} from './spreadFleet.js';

const SIZES = [7, 25, 100, 300];
const DEFAULT_SECONDS = 24;
/** What the target asks for, in milliseconds. */
const TARGET_MS = 2000;
const POLL_MS = 2;
const GIVE_UP_MS = 5_000;
const IDLE_SECONDS = 2;
const PLATFORM_DELAY_MS = 4;
const READY_EXTRA_MS = 2500;

type Mode = 'platform watched' | 'platform cut for all but one';

interface SpreadResult {
  readonly entries: number;
  readonly mode: Mode | 'baseline: a watch at every entry';
  readonly rounds: number;
  /** Milliseconds from the operator's write until the last entry has it. */
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
  /** Milliseconds until the status says so; -1 when it was not reached. */
  readonly statusMaxMs: number;
  readonly missed: number;
  readonly openWatches: number;
  /** Calls in an idle second, each waiting watch counted as one. */
  readonly platformCallsPerSecond: number;
  readonly messagesPerEntryPerSecond: number;
  readonly bytesPerEntryPerSecond: number;
}

/**
 * Measures the spread at several sizes.
 *
 * @example
 * const result = await measureSpread({seed: 1});
 */
export async function measureSpread(options: MeasureOptions): Promise<object> {
  const clock = systemClock();
  // The clock's timers do not keep a process alive, and nothing here holds a socket.
  const keptAlive = setInterval(() => undefined, 1000);
  const rounds = Math.max(
    3,
    Math.round((options.seconds ?? DEFAULT_SECONDS) / 8),
  );
  try {
    const results: SpreadResult[] = [];
    for (const count of SIZES) {
      results.push(...(await measureFleet(clock, count, rounds, options.seed)));
      results.push(await measureBaseline(clock, count, rounds, options.seed));
    }
    const ours = results.filter(result => !result.mode.startsWith('baseline'));
    const isMet = ours.every(
      result => result.missed === 0 && result.inForceMaxMs < TARGET_MS,
    );
    return {targetMs: TARGET_MS, isTargetMet: isMet, results};
  } finally {
    clearInterval(keptAlive);
  }
}

async function measureFleet(
  clock: Clock,
  count: number,
  rounds: number,
  seed: number,
): Promise<readonly SpreadResult[]> {
  const fleet = startSpreadFleet(clock, {count, seed});
  try {
    await until(clock, () =>
      fleet.entries.every(entry => entry.configuration.isReady()),
    );
    // Readers settle after the first rounds.
    await sleep(clock, READY_EXTRA_MS);
    const watched = await measureMode(clock, fleet, 'platform watched', rounds);
    for (const entry of fleet.entries.slice(1)) {
      entry.store.faults.setDown(true);
    }
    await sleep(clock, READY_EXTRA_MS);
    const cut = await measureMode(
      clock,
      fleet,
      'platform cut for all but one',
      rounds,
    );
    return [watched, cut];
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
  const idle = await measureIdle(clock, fleet);
  const spans: number[] = [];
  const statusSpans: number[] = [];
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const start = clock.now();
    const version = writeCustomer(fleet, round);
    const isEverywhere = await until(clock, () =>
      fleet.entries.every(entry => hasVersion(entry.configuration, version)),
    );
    missed += isEverywhere ? 0 : 1;
    spans.push(clock.now() - start);
    const isSaid = await until(clock, () => isInForce(fleet, version));
    statusSpans.push(isSaid ? clock.now() - start : -1);
  }
  return {
    entries: fleet.entries.length,
    mode,
    rounds,
    inForceP50Ms: middle(spans),
    inForceMaxMs: Math.round(Math.max(...spans)),
    statusMaxMs: statusSpans.includes(-1)
      ? -1
      : Math.round(Math.max(...statusSpans)),
    missed,
    ...idle,
  };
}

/** The baseline: no peers, every entry watches accepted records itself. */
async function measureBaseline(
  clock: Clock,
  count: number,
  rounds: number,
  seed: number,
): Promise<SpreadResult> {
  const platform = createMemoryPlatform({clock, random: seededRandom(seed)});
  platform.faults.setDelay(PLATFORM_DELAY_MS);
  const stores = Array.from({length: count}, (_, index) =>
    platform.client(`b${index}`, {liveEntries: count}),
  );
  const seen = new Array<number>(count).fill(0);
  stores.forEach((store, index) => {
    store.watch('customer', {
      onDidList: () => {},
      onDidPut: object => (seen[index] = object.version),
      onDidRemove: () => {},
    });
  });
  await until(clock, () => platform.load().openWatches === count);
  const spans: number[] = [];
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const start = clock.now();
    const {version} = platform.table.put(operatorWrite(), customer(round));
    const isEverywhere = await until(clock, () =>
      seen.every(reached => reached >= version),
    );
    missed += isEverywhere ? 0 : 1;
    spans.push(clock.now() - start);
  }
  const {openWatches} = platform.load();
  stores.forEach(store => store.dispose());
  return {
    entries: count,
    mode: 'baseline: a watch at every entry',
    rounds,
    inForceP50Ms: middle(spans),
    inForceMaxMs: Math.round(Math.max(...spans)),
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
  const before = {load: platform.load(), total: net.totalTraffic()};
  const start = clock.now();
  await sleep(clock, IDLE_SECONDS * 1000);
  const seconds = (clock.now() - start) / 1000;
  const after = {load: platform.load(), total: net.totalTraffic()};
  const calls =
    after.load.reads -
    before.load.reads +
    after.load.writes -
    before.load.writes +
    after.load.watchCalls -
    before.load.watchCalls;
  const {openWatches} = after.load;
  const perEntry = (span: number) => rounded(span / seconds / entries.length);
  return {
    openWatches,
    platformCallsPerSecond: rounded(calls / seconds + openWatches),
    messagesPerEntryPerSecond: perEntry(
      after.total.messagesSent - before.total.messagesSent,
    ),
    bytesPerEntryPerSecond: perEntry(
      after.total.bytesSent - before.total.bytesSent,
    ),
  };
}

function writeCustomer(fleet: SpreadFleet, round: number): number {
  return fleet.platform.table.put(operatorWrite(), customer(round)).version;
}

function operatorWrite() {
  return {
    kind: 'customer',
    name: 'namu',
    writeId: 'operator',
    condition: {type: 'any'} as const,
  };
}

function customer(round: number) {
  return {schema: 1, keyHashes: ['ab'.repeat(32)], weight: round + 1};
}

function hasVersion(
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

/** Waits for a condition; false when it does not come true in time. */
async function until(clock: Clock, isTrue: () => boolean): Promise<boolean> {
  const deadline = clock.now() + GIVE_UP_MS;
  while (!isTrue()) {
    if (clock.now() > deadline) {
      return false;
    }
    await sleep(clock, POLL_MS);
  }
  return true;
}

function middle(spans: readonly number[]): number {
  const sorted = [...spans].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0);
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
