/**
 * `orderOwner`: cost of owning one shard of the order ledger as the order rate
 * grows. Two ledgers run on a virtual clock for longer than the dedupe window,
 * and all orders are forwarded to the owner by the real codec. Processor time
 * is an upper bound: it includes the forwarding entry, the platform and the
 * simulation.
 */
import {
  seededRandom,
  createVirtualClock,
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
import {measureHeapBytes} from './heap.js';

/** Orders per second and shard. */
const ORDER_RATES = [0.1, 0.3, 1] as const;
const DEDUPE_WINDOW_SECONDS = 3_600;
/** Measured time, which starts when the shard has a full window of keys. */
const MEASURED_SECONDS = 600;
const PLATFORM_DELAY_MS = 4;
const TIMEOUT_MS = 10_000;
const BODY_BYTES = 200;

/**
 * Measures the messages, platform writes, memory and processor time of a
 * shard's owner at each order rate.
 *
 * @example
 * const {owners} = await measureOrderOwners({seed: 1});
 */
export async function measureOrderOwners(
  options: MeasureOptions,
): Promise<object> {
  const owners = [];
  for (const rate of ORDER_RATES) {
    owners.push(await measureOwner(options.seed, rate));
  }
  return {windowSeconds: DEDUPE_WINDOW_SECONDS, owners};
}

async function measureOwner(seed: number, rate: number) {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const memoryPlatform = createMemoryPlatform({clock, random});
  memoryPlatform.faults.setDelay(PLATFORM_DELAY_MS);
  const writeCounter = {bytes: 0};
  const fleet = startLedgers({
    clock,
    random,
    platform: wrapPlatform(memoryPlatform, writeCounter),
    entryCount: 2,
    settings: {shardCount: 1},
    dispatch,
  });
  const firstOrder = fleet.submit('first', 0, TIMEOUT_MS);
  await clock.advance(TIMEOUT_MS);
  await firstOrder;
  const forwardingIndex = fleet.ledgers().findIndex(ledger => !isOwner(ledger));
  let refused = await offerOrders(
    clock,
    fleet,
    forwardingIndex,
    rate,
    DEDUPE_WINDOW_SECONDS,
  );
  const countersBefore = {
    writes: memoryPlatform.callCounts().writes,
    bytes: writeCounter.bytes,
    traffic: fleet.traffic(),
    cpu: process.cpuUsage(),
  };
  refused += await offerOrders(
    clock,
    fleet,
    forwardingIndex,
    rate,
    MEASURED_SECONDS,
  );
  const cpu = process.cpuUsage(countersBefore.cpu);
  const traffic = fleet.traffic();
  const owner = fleet.ledgers().find(isOwner);
  const result = {
    ordersPerSecond: rate,
    refused,
    stateBytes: owner === undefined ? 0 : shardOf(owner).bytes,
    entries: owner === undefined ? 0 : shardOf(owner).entries,
    // Bytes sent by both entries equal those sent and received by the owner.
    messages: perSecond(
      traffic.messagesSent - countersBefore.traffic.messagesSent,
    ),
    bytes: perSecond(traffic.bytesSent - countersBefore.traffic.bytesSent),
    platformWrites: perSecond(
      memoryPlatform.callCounts().writes - countersBefore.writes,
    ),
    platformBytes: perSecond(writeCounter.bytes - countersBefore.bytes),
    cpuMicros: perSecond(cpu.user + cpu.system),
  };
  fleet.dispose();
  return {
    ...result,
    heapBytes: await measureTakeoverHeap(clock, memoryPlatform),
  };
}

/**
 * Measures the heap of a shard's state at an owner that has just taken over the
 * shard. The heap of the first owner is not used, because the in-process
 * platform in that heap keeps every written version.
 */
async function measureTakeoverHeap(
  clock: VirtualClock,
  platform: MemoryPlatform,
): Promise<number> {
  const heapBytesBefore = measureHeapBytes();
  const fleet = startLedgers({
    clock,
    random: seededRandom(1),
    platform: wrapPlatform(platform, {bytes: 0}),
    entryCount: 1,
    settings: {shardCount: 1},
    dispatch,
  });
  const lastOrder = fleet.submit('last', 0, TIMEOUT_MS);
  await clock.advance(TIMEOUT_MS);
  await lastOrder;
  const heapBytes = measureHeapBytes() - heapBytesBefore;
  fleet.dispose();
  return heapBytes;
}

const dispatch: Dispatch = async (_service, _call, _signal, begin) => {
  begin();
  return {status: 201, headers: {}, body: new Uint8Array(BODY_BYTES)};
};

/** Sends orders at a constant rate; returns the number of failed orders. */
async function offerOrders(
  clock: VirtualClock,
  fleet: LedgerFleet,
  entryIndex: number,
  rate: number,
  seconds: number,
): Promise<number> {
  let refused = 0;
  const orderCount = Math.round(rate * seconds);
  for (let order = 0; order < orderCount; order++) {
    const key = `${clock.now()}`;
    fleet
      .submit(key, entryIndex, TIMEOUT_MS, new Uint8Array(BODY_BYTES))
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
function wrapPlatform(
  memoryPlatform: MemoryPlatform,
  writeCounter: {bytes: number},
): MemoryPlatform {
  return {
    ...memoryPlatform,
    createClient(name) {
      const client = memoryPlatform.createClient(name);
      return {
        ...client,
        // Returns a copy: objects shared with the platform would not count as
        // heap of the ledger.
        async get<T>(kind: string, object: string, signal?: AbortSignal) {
          const storedObject = await client.get<T>(kind, object, signal);
          const text = JSON.stringify(storedObject);
          return storedObject && (JSON.parse(text) as StoredObject<T>);
        },
        put(kind, object, value, condition, signal) {
          writeCounter.bytes += Buffer.byteLength(JSON.stringify(value));
          return client.put(kind, object, value, condition, signal);
        },
      };
    },
  };
}

function perSecond(total: number): number {
  return Math.round((total / MEASURED_SECONDS) * 100) / 100;
}
