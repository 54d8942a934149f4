/**
 * `orderOwner`: cost of owning one shard of the order ledger as orders grow.
 * Two ledgers run on a virtual clock for longer than the dedupe window, and all
 * orders are forwarded to the owner by the real codec. Processor time is an
 * upper bound: it includes the forwarding entry, the platform and the
 * simulation.
 */
import {
  seededRandom,
  virtualClock,
  type VirtualClock,
} from '@skylarkfield/base';
import type {Dispatch} from '@skylarkfield/orders';
import {
  createMemoryPlatform,
  type MemoryPlatform,
  type StoredObject,
} from '@skylarkfield/providers';
import type {MeasureOptions} from '../measurements.js';
import {startLedgers, type LedgerFleet} from '../orderLedgers.js';
import {collectedHeapBytes} from './heap.js';

/** Orders per second and shard. */
const RATES = [0.1, 0.3, 1] as const;
const DEDUPE_WINDOW_SECONDS = 3_600;
/** Measured time, which starts when the shard holds a full window of keys. */
const MEASURED_SECONDS = 600;
const PLATFORM_DELAY_MS = 4;
const TIMEOUT_MS = 10_000;
const BODY_BYTES = 200;

/**
 * Measures the owner at each order rate.
 *
 * @example
 * const {owners} = await measureOrderOwners({seed: 1});
 */
export async function measureOrderOwners(
  options: MeasureOptions,
): Promise<object> {
  const owners = [];
  for (const rate of RATES) {
    owners.push(await measureOwner(options.seed, rate));
  }
  return {windowSeconds: DEDUPE_WINDOW_SECONDS, owners};
}

async function measureOwner(seed: number, rate: number) {
  const clock = virtualClock();
  const random = seededRandom(seed);
  const memory = createMemoryPlatform({clock, random});
  memory.faults.setDelay(PLATFORM_DELAY_MS);
  const written = {bytes: 0};
  const fleet = startLedgers({
    clock,
    random,
    platform: withWireCopies(memory, written),
    entries: 2,
    settings: {shardCount: 1},
    dispatch,
  });
  const first = fleet.submit('first', 0, TIMEOUT_MS);
  await clock.advance(TIMEOUT_MS);
  await first;
  const forwardingEntry = fleet.ledgers().findIndex(ledger => !isOwner(ledger));
  let refused = await offerOrders(
    clock,
    fleet,
    forwardingEntry,
    rate,
    DEDUPE_WINDOW_SECONDS,
  );
  const before = {
    writes: memory.callCounts().writes,
    bytes: written.bytes,
    traffic: fleet.traffic(),
    cpu: process.cpuUsage(),
  };
  refused += await offerOrders(
    clock,
    fleet,
    forwardingEntry,
    rate,
    MEASURED_SECONDS,
  );
  const cpu = process.cpuUsage(before.cpu);
  const traffic = fleet.traffic();
  const owner = fleet.ledgers().find(isOwner);
  const result = {
    ordersPerSecond: rate,
    refused,
    stateBytes: owner === undefined ? 0 : shardOf(owner).bytes,
    entries: owner === undefined ? 0 : shardOf(owner).entries,
    // Bytes sent by both entries equal those sent and received by the owner.
    messages: perSecond(traffic.messagesSent - before.traffic.messagesSent),
    bytes: perSecond(traffic.bytesSent - before.traffic.bytesSent),
    platformWrites: perSecond(memory.callCounts().writes - before.writes),
    platformBytes: perSecond(written.bytes - before.bytes),
    cpuMicros: perSecond(cpu.user + cpu.system),
  };
  fleet.dispose();
  return {...result, heapBytes: await measureTakeoverHeap(clock, memory)};
}

/**
 * Measures the heap of a shard's state at an owner that has just taken it over.
 * The heap of the first owner is not used: the in-process platform in it keeps
 * every written version.
 */
async function measureTakeoverHeap(
  clock: VirtualClock,
  platform: MemoryPlatform,
): Promise<number> {
  const before = collectedHeapBytes();
  const fleet = startLedgers({
    clock,
    random: seededRandom(1),
    platform: withWireCopies(platform, {bytes: 0}),
    entries: 1,
    settings: {shardCount: 1},
    dispatch,
  });
  const answer = fleet.submit('last', 0, TIMEOUT_MS);
  await clock.advance(TIMEOUT_MS);
  await answer;
  const heapBytes = collectedHeapBytes() - before;
  fleet.dispose();
  return heapBytes;
}

const dispatch: Dispatch = async (_service, _call, _signal, begin) => {
  begin();
  return {status: 201, headers: {}, body: new Uint8Array(BODY_BYTES)};
};

/** Sends orders at a constant rate; returns how many failed. */
async function offerOrders(
  clock: VirtualClock,
  fleet: LedgerFleet,
  entry: number,
  rate: number,
  seconds: number,
): Promise<number> {
  let refused = 0;
  const count = Math.round(rate * seconds);
  for (let order = 0; order < count; order++) {
    const key = `${clock.now()}`;
    fleet
      .submit(key, entry, TIMEOUT_MS, new Uint8Array(BODY_BYTES))
      .catch(() => (refused += 1));
    await clock.advance(1_000 / rate);
  }
  return refused;
}

interface ShardDump {
  readonly state: string;
  readonly bytes: number;
  readonly entries: number;
}

function shardOf(ledger: {dump(): unknown}): ShardDump {
  const {shards} = ledger.dump() as {shards: readonly [ShardDump]};
  return shards[0];
}

function isOwner(ledger: {dump(): unknown}): boolean {
  return shardOf(ledger).state === 'owned';
}

/** Wraps the platform: reads return copies, written bytes are counted. */
function withWireCopies(
  memory: MemoryPlatform,
  written: {bytes: number},
): MemoryPlatform {
  return {
    ...memory,
    client(name) {
      const client = memory.client(name);
      return {
        ...client,
        // Objects shared with the platform would not count as ledger heap.
        async get<T>(kind: string, object: string, signal?: AbortSignal) {
          const stored = await client.get<T>(kind, object, signal);
          const text = JSON.stringify(stored);
          return stored && (JSON.parse(text) as StoredObject<T>);
        },
        put(kind, object, value, condition, signal) {
          written.bytes += Buffer.byteLength(JSON.stringify(value));
          return client.put(kind, object, value, condition, signal);
        },
      };
    },
  };
}

function perSecond(total: number): number {
  return Math.round((total / MEASURED_SECONDS) * 100) / 100;
}
