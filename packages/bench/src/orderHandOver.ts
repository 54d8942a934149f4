/** Compares handing over orders in the ledger and over the inner protocol. */
import {seededRandom, sleep, type Clock} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {startLedgers, type LedgerFleet} from './orderLedgers.js';

const ENTRY_COUNT = 3;
const ORDER_COUNT = 100;
const BODY_BYTES = [1_024, 8_192];
const PLATFORM_DELAY_MS = 4;
const TIMEOUT_MS = 30_000;
/** Delay before dispatch, so that orders still wait at the hand-over. */
const DISPATCH_DELAY_MS = 1_000;
const LEDGER_KIND = 'ledger';

interface HandOverResult {
  readonly way: 'in the ledger' | 'over the inner protocol';
  readonly bodyBytes: number;
  readonly orders: number;
  readonly answered: number;
  /** Milliseconds from the call of `leave` until the shards are released. */
  readonly leaveMs: number;
  /** Size of the largest ledger object written during the run. */
  readonly ledgerBytes: number;
  /** Bytes sent between entries during the hand-over. */
  readonly innerBytes: number;
}

/**
 * Measures both ways of hand-over for several sizes of order bodies.
 *
 * @example
 * const results = await measureHandOver(systemClock(), 1);
 */
export async function measureHandOver(
  clock: Clock,
  seed: number,
): Promise<readonly HandOverResult[]> {
  const results: HandOverResult[] = [];
  for (const bodyBytes of BODY_BYTES) {
    results.push(await runHandOver(clock, seed, bodyBytes, 'in the ledger'));
    results.push(
      await runHandOver(clock, seed, bodyBytes, 'over the inner protocol'),
    );
  }
  return results;
}

async function runHandOver(
  clock: Clock,
  seed: number,
  bodyBytes: number,
  way: HandOverResult['way'],
): Promise<HandOverResult> {
  const random = seededRandom(seed);
  const platform = createMemoryPlatform({clock, random});
  platform.faults.setDelay(PLATFORM_DELAY_MS);
  let maxLedgerBytes = 0;
  platform.table.onDidChange(change => {
    if (change.type === 'put' && change.kind === LEDGER_KIND) {
      const bytes = JSON.stringify(change.object.value).length;
      maxLedgerBytes = Math.max(maxLedgerBytes, bytes);
    }
  });
  let dispatchDelayMs = DISPATCH_DELAY_MS;
  const fleet = startLedgers({
    clock,
    random,
    platform,
    entryCount: ENTRY_COUNT,
    dispatch: async (_service, _call, signal, begin) => {
      await sleep(clock, dispatchDelayMs, signal);
      begin();
      return {status: 201, headers: {}, body: new Uint8Array(200)};
    },
    settings: {
      shardCount: 1,
      maxHandOverBytes: way === 'in the ledger' ? 2 * bodyBytes : 0,
      maxShardBytes: 4_000_000,
    },
  });
  const body = new Uint8Array(bodyBytes).fill(seed);
  await fleet.submit('warm-up', 0, TIMEOUT_MS, body);
  const ownerIndex = findOwnerIndex(fleet);
  const replies = Array.from({length: ORDER_COUNT}, (_, index) =>
    fleet.submit(`key ${index}`, ownerIndex, TIMEOUT_MS, body),
  );
  await sleep(clock, DISPATCH_DELAY_MS / 2);
  dispatchDelayMs = 0;
  const bytesBefore = fleet.traffic().bytesSent;
  const startMs = clock.now();
  await fleet.leave(ownerIndex);
  const leaveMs = Math.round(clock.now() - startMs);
  const settledReplies = await Promise.allSettled(replies);
  const result = {
    way,
    bodyBytes,
    orders: ORDER_COUNT,
    answered: settledReplies.filter(({status}) => status === 'fulfilled')
      .length,
    leaveMs,
    ledgerBytes: maxLedgerBytes,
    innerBytes: fleet.traffic().bytesSent - bytesBefore,
  };
  fleet.dispose();
  return result;
}

/** Returns the index of the entry that owns the only shard. */
function findOwnerIndex(fleet: LedgerFleet): number {
  return fleet.ledgers().findIndex(ledger => {
    const {shards} = ledger.dump() as {shards: Array<{state: string}>};
    return shards[0]?.state === 'owned';
  });
}
