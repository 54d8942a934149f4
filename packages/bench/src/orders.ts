/**
 * `orders`: added latency and platform writes per second of the order ledger as
 * the order rate grows, compared with one platform object per order, and two
 * ways of handing over waiting orders. Entries and platform run in this process
 * on the real clock, with a simulated platform delay.
 */
import {
  seededRandom,
  sleep,
  systemClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {LedgerSettings} from '@skylarkfield/orders';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '@skylarkfield/providers';
import {measureHandOver} from './orderHandOver.js';
import {startLedgers, type LedgerFleet} from './orderLedgers.js';
import type {MeasureOptions} from './measurements.js';

/** Orders per second at a rate factor of 1. */
const BASE_ORDERS_PER_SECOND = 5;
const RATE_FACTORS = [1, 10, 100];
/** Minimum write intervals of a shard, compared at the highest order rate. */
const MIN_WRITE_INTERVALS_MS = [20, 40, 80];
const ENTRY_COUNT = 7;
/** Simulated duration of one platform call. */
const PLATFORM_DELAY_MS = 4;
/** Simulated service time, subtracted from the measured latency. */
const SERVICE_MS = 10;
const DEFAULT_SECONDS = 36;
const TIMEOUT_MS = 10_000;

type Submit = (key: string, entryIndex: number) => Promise<unknown>;

interface RateResult {
  readonly ordersPerSecond: number;
  readonly orders: number;
  readonly refused: number;
  readonly addedP50Ms: number;
  readonly addedP95Ms: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/**
 * Measures the ledger and the baseline of one object per order.
 *
 * @example
 * const result = await measureOrders({seed: 1, seconds: 30});
 */
export async function measureOrders(options: MeasureOptions): Promise<object> {
  const clock = systemClock();
  // Keeps the process alive: timers of the clock are unreferenced, and no
  // socket is open.
  const keepAliveTimer = setInterval(() => undefined, 1_000);
  try {
    return await measureAll(clock, options);
  } finally {
    clearInterval(keepAliveTimer);
  }
}

async function measureAll(
  clock: Clock,
  options: MeasureOptions,
): Promise<object> {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const runCount = 2 * RATE_FACTORS.length + MIN_WRITE_INTERVALS_MS.length;
  const runSeconds = seconds / runCount;
  const ledger: RateResult[] = [];
  const objectPerOrder: RateResult[] = [];
  for (const factor of RATE_FACTORS) {
    const random = seededRandom(options.seed + factor);
    const rate = BASE_ORDERS_PER_SECOND * factor;
    ledger.push(await measureLedger(clock, random, rate, runSeconds, {}));
    objectPerOrder.push(await measureBaseline(clock, random, rate, runSeconds));
  }
  const gaps: object[] = [];
  for (const writeGapMs of MIN_WRITE_INTERVALS_MS) {
    const random = seededRandom(options.seed);
    const rate = BASE_ORDERS_PER_SECOND * (RATE_FACTORS.at(-1) ?? 1);
    const result = await measureLedger(clock, random, rate, runSeconds, {
      minWriteIntervalMs: writeGapMs,
    });
    gaps.push({writeGapMs, ...result});
  }
  return {
    entries: ENTRY_COUNT,
    platformDelayMs: PLATFORM_DELAY_MS,
    ledger,
    objectPerOrder,
    gaps,
    writesRatioAtMost: computeWriteRatio(ledger.at(-1), objectPerOrder.at(-1)),
    handOver: await measureHandOver(clock, options.seed),
  };
}

function computeWriteRatio(
  numerator?: RateResult,
  denominator?: RateResult,
): number {
  return roundToHundredths(
    (numerator?.writesPerSecond ?? 0) / (denominator?.writesPerSecond ?? 1),
  );
}

async function measureLedger(
  clock: Clock,
  random: Random,
  rate: number,
  seconds: number,
  settings: Partial<LedgerSettings>,
): Promise<RateResult> {
  const platform = createDelayedPlatform(clock, random);
  const fleet: LedgerFleet = startLedgers({
    clock,
    random,
    platform,
    entryCount: ENTRY_COUNT,
    settings,
    dispatch: async (_service, _call, signal, begin) => {
      begin();
      await sleep(clock, SERVICE_MS, signal);
      return {status: 201, headers: {}, body: new Uint8Array(200)};
    },
  });
  const submit: Submit = (key, entryIndex) =>
    fleet.submit(key, entryIndex, TIMEOUT_MS);
  try {
    await warmUp(submit);
    return await offerOrders(clock, random, platform, submit, rate, seconds);
  } finally {
    fleet.dispose();
  }
}

/** Measures one object per order, stored before the call and with the reply. */
async function measureBaseline(
  clock: Clock,
  random: Random,
  rate: number,
  seconds: number,
): Promise<RateResult> {
  const platform = createDelayedPlatform(clock, random);
  const clients = Array.from({length: ENTRY_COUNT}, (_, index) =>
    platform.createClient(`e${index}`),
  );
  const submit: Submit = async (key, entryIndex) => {
    const store = clients[entryIndex % clients.length];
    const claimedObject = await store?.put(
      'order',
      key,
      {state: 'claimed'},
      {
        type: 'absent',
      },
    );
    await sleep(clock, SERVICE_MS);
    const settledOrder = {state: 'settled', status: 201, body: 'x'.repeat(200)};
    const version = claimedObject?.version ?? 0;
    // As in the ledger, the caller does not wait until the reply is stored.
    void store
      ?.put('order', key, settledOrder, {type: 'version', version})
      .catch(() => undefined);
  };
  try {
    return await offerOrders(clock, random, platform, submit, rate, seconds);
  } finally {
    clients.forEach(client => client.dispose());
  }
}

function createDelayedPlatform(clock: Clock, random: Random): MemoryPlatform {
  const platform = createMemoryPlatform({clock, random, historyLimit: 100});
  platform.faults.setDelay(PLATFORM_DELAY_MS);
  return platform;
}

/** Sends orders with many keys, so that every shard gets an owner. */
async function warmUp(submit: Submit): Promise<void> {
  const keys = Array.from({length: 100}, (_, index) => `warm-up ${index}`);
  await Promise.all(keys.map((key, index) => submit(key, index)));
}

/** Sends orders at random intervals, on average `rate` orders per second. */
async function offerOrders(
  clock: Clock,
  random: Random,
  platform: MemoryPlatform,
  submit: Submit,
  rate: number,
  seconds: number,
): Promise<RateResult> {
  const addedLatenciesMs: number[] = [];
  const openOrders: Array<Promise<void>> = [];
  const callsBefore = platform.callCounts();
  const startMs = clock.now();
  let refused = 0;
  let dueMs = startMs;
  let orderCount = 0;
  while (dueMs < startMs + seconds * 1_000) {
    dueMs += random.exponential(1_000 / rate);
    if (dueMs > clock.now()) {
      await sleep(clock, dueMs - clock.now());
    }
    const sentMs = clock.now();
    const openOrder = submit(`key ${orderCount}`, orderCount).then(
      () => void addedLatenciesMs.push(clock.now() - sentMs - SERVICE_MS),
      () => void (refused += 1),
    );
    openOrders.push(openOrder);
    orderCount += 1;
  }
  await Promise.all(openOrders);
  const elapsedSeconds = (clock.now() - startMs) / 1_000;
  const callsAfter = platform.callCounts();
  addedLatenciesMs.sort((a, b) => a - b);
  return {
    ordersPerSecond: rate,
    orders: orderCount,
    refused,
    addedP50Ms: roundToHundredths(quantileOfSorted(addedLatenciesMs, 0.5)),
    addedP95Ms: roundToHundredths(quantileOfSorted(addedLatenciesMs, 0.95)),
    writesPerSecond: roundToHundredths(
      (callsAfter.writes - callsBefore.writes) / elapsedSeconds,
    ),
    readsPerSecond: roundToHundredths(
      (callsAfter.reads - callsBefore.reads) / elapsedSeconds,
    ),
  };
}

function quantileOfSorted(
  sortedValues: readonly number[],
  fraction: number,
): number {
  return sortedValues[Math.floor(sortedValues.length * fraction)] ?? 0;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
