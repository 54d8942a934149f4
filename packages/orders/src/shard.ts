/** One shard in one process: batched writes, loss and release of ownership. */
import {type Disposable, type ServingError} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import {interpret} from 'robot3';
import type {ActiveOrder} from './activeOrder.js';
import {createPendingOutcomes} from './pendingOutcomes.js';
import type {
  Ownership,
  ReleaseResult,
  Shard,
  ShardOptions,
} from './shardContracts.js';
import {
  shardMachine,
  type ShardEvent,
  type ShardState,
} from './shardMachine.js';
import {LEDGER_FORMAT, shardName, type ShardRecord} from './shardRecord.js';
import {createShardSegments} from './shardSegments.js';
import {createShardTable} from './shardTable.js';
import {createTakeOver} from './shardTakeOver.js';
import {createShardWriter, type WriteResult} from './shardWriter.js';

const MAX_BATCH_CLAIMS = 500;

/**
 * Creates a shard that is not owned yet.
 *
 * @example
 * const ownership = await shard.acquire();
 * if (ownership.type === 'owned') { shard.enqueue(order); }
 */
export function createShard(options: ShardOptions): Shard {
  const {index, clock, member, instance} = options;
  const interpreter = interpret(shardMachine, () => undefined);
  const table = createShardTable(clock, options.dedupeWindowMs);
  const segments = createShardSegments(options.store, index);
  const lifetime = new AbortController();
  const writer = createShardWriter({
    store: options.store,
    clock,
    name: shardName(index),
    onUncertainWrite: () => sendEvent('writeUncertain'),
    signal: lifetime.signal,
  });
  const takeOver = createTakeOver({
    ...options,
    writer,
    segments,
    table,
    beginEpoch,
    onDidCommit: onDidCommitTakeOver,
  });
  let queue: ActiveOrder[] = [];
  let batch: ActiveOrder[] = [];
  let version: number | undefined;
  let epoch = 0;
  let writeCount = 0;
  let claimCount = 0;
  let takeovers = 0;
  /** Segments to remove after the next committed write. */
  const expiredSegments: string[] = [];
  const outcomes = createPendingOutcomes(clock);
  let lastWriteAt = -Infinity;
  let timer: Disposable | undefined;
  let writing: Promise<void> | undefined;
  let takingOver: Promise<Ownership> | undefined;

  function current(): ShardState {
    return interpreter.machine.current as ShardState;
  }

  function sendEvent(event: ShardEvent): void {
    interpreter.send(event);
  }

  function nextRecord(): ShardRecord {
    writeCount += 1;
    expire();
    return {
      format: LEDGER_FORMAT,
      owner: instance,
      ownerMember: member,
      epoch,
      write: writeCount,
      age: table.age(),
      entries: table.unsealed(),
      segments: table.segments(),
    };
  }

  function expire(): void {
    expiredSegments.push(...table.expire());
  }

  function liveBytes(): number {
    expire();
    return table.bytes;
  }

  function lose(head: ShardRecord | undefined): void {
    sendEvent('lose');
    const owner = head?.ownerMember;
    takeOver.holdOff(owner);
    timer?.dispose();
    timer = undefined;
    // The new owner's object may still refer to these segments.
    expiredSegments.length = 0;
    options.onDidLose(outcomes.drain());
    logDecision(
      'gave up shard',
      `last written by ${owner ?? 'another process'}`,
    );
    moveQueued();
  }

  function logDecision(what: string, why: string): void {
    options.decisions?.note('orders', shardName(index), what, why, {epoch});
  }

  function beginEpoch(nextEpoch: number): ShardRecord {
    epoch = nextEpoch;
    writeCount = 0;
    return nextRecord();
  }

  function onDidCommitTakeOver(
    committedVersion: number,
    previousOwner: string | undefined,
  ): void {
    version = committedVersion;
    takeovers += 1;
    sendEvent('acquire');
    logDecision(
      'took shard over',
      `previous owner: ${previousOwner || 'none'}`,
    );
    options.onDidTakeOver(table.unsealed());
  }

  function acquire(): Promise<Ownership> {
    if (isOwned()) {
      return Promise.resolve({type: 'owned'});
    }
    if (takingOver !== undefined) {
      return takingOver;
    }
    const holdOffOwner = takeOver.holdOffOwner();
    if (holdOffOwner !== undefined) {
      return Promise.resolve({type: 'elsewhere', member: holdOffOwner});
    }
    sendEvent('startTakeOver');
    takingOver = takeOver.run().finally(() => {
      takingOver = undefined;
      // Has no effect when the shard was acquired.
      if (current() === 'taking') {
        sendEvent('lose');
      }
    });
    return takingOver;
  }

  function isOwned(): boolean {
    const state = current();
    return state === 'owned' || state === 'bound';
  }

  function scheduleWrite(): void {
    if (writing !== undefined || !isOwned()) {
      return;
    }
    timer?.dispose();
    timer = undefined;
    const dueAt = queue.length > 0 ? clock.now() : outcomeWriteAt();
    if (dueAt === undefined) {
      return;
    }
    const startAt = Math.max(dueAt, lastWriteAt + options.minWriteIntervalMs);
    timer = clock.after(startAt - clock.now(), startWrite);
  }

  function outcomeWriteAt(): number | undefined {
    const since = outcomes.waitingSince();
    return since === undefined ? undefined : since + options.outcomeDelayMs;
  }

  function startWrite(): void {
    timer = undefined;
    if (writing !== undefined || current() !== 'owned') {
      return;
    }
    lastWriteAt = clock.now();
    writing = commit().finally(() => {
      writing = undefined;
      scheduleWrite();
    });
  }

  async function commit(): Promise<void> {
    batch = queue
      .splice(0, MAX_BATCH_CLAIMS)
      .filter(order => order.tryTransition('commit'));
    for (const order of batch) {
      claimCount += 1;
      order.token = `${epoch}.${claimCount}`;
      const {id, print} = order.request;
      table.put({id, print, token: order.token, state: 'claimed', member});
    }
    const result = await write(nextRecord());
    const claimedOrders = batch;
    batch = [];
    finishWrite(result, claimedOrders);
    if (result.type === 'committed') {
      await segments.seal(table, epoch, options.sealThresholdBytes);
    }
  }

  /** Writes the table; retains its outcomes until the write is committed. */
  async function write(record: ShardRecord): Promise<WriteResult> {
    outcomes.beginWrite();
    const result = await writer.write(record, version);
    if (result.type === 'committed') {
      outcomes.commitWrite();
      segments.remove(expiredSegments.splice(0));
    }
    if (result.type === 'refused') {
      outcomes.rollBackWrite();
    }
    return result;
  }

  function finishWrite(
    result: WriteResult,
    claimedOrders: ActiveOrder[],
  ): void {
    if (result.type === 'committed') {
      version = result.version;
      sendEvent('writeResolved');
      claimedOrders.forEach(onDidWriteClaim);
      return;
    }
    if (result.type === 'refused') {
      for (const order of claimedOrders) {
        voidClaim(order);
        order.complete({type: 'error', error: result.error});
      }
      return;
    }
    lose(result.head);
    for (const order of claimedOrders) {
      moveToOwner(order);
    }
    // The new owner may have the claims. Nobody routes the order of a
    // disconnected caller there, and every retry would get `may-have-run`: the
    // owner must be notified that the claims are void.
    options.onDidLose(claimedOrders.map(releasedOutcome));
  }

  function onDidWriteClaim(order: ActiveOrder): void {
    // An order cancelled during the write has ended: its claim is void.
    if (order.tryTransition('claim')) {
      options.onDidClaim(order);
      return;
    }
    voidClaim(order);
  }

  function enqueueOutcome(outcome: ClaimOutcome): void {
    outcomes.add(outcome);
    scheduleWrite();
  }

  function voidClaim(order: ActiveOrder): void {
    const {id} = order.request;
    const {token} = order;
    if (table.get(id)?.token === token) {
      table.remove(id);
      enqueueOutcome(releasedOutcome(order));
    }
  }

  function rejectUnclaimed(error: ServingError): void {
    // Claims of the batch may still be committed, but ended orders are not
    // sent.
    for (const order of [...queue.splice(0), ...batch]) {
      order.complete({type: 'error', error});
    }
  }

  function moveToOwner(order: ActiveOrder): void {
    const {token} = order;
    order.complete({
      type: 'moved',
      member: takeOver.lastKnownOwner(),
      token,
      isWaiting: false,
    });
  }

  function moveQueued(): void {
    for (const order of queue.splice(0)) {
      moveToOwner(order);
    }
  }

  async function release(applyChanges: () => void): Promise<ReleaseResult> {
    await takingOver?.catch(() => undefined);
    await writing;
    if (current() !== 'owned') {
      return 'unowned';
    }
    sendEvent('release');
    timer?.dispose();
    timer = undefined;
    moveQueued();
    applyChanges();
    const record = {...nextRecord(), owner: '', ownerMember: ''};
    const result = await write(record);
    if (result.type === 'refused') {
      sendEvent('acquire');
      scheduleWrite();
      return 'refused';
    }
    const isLost = result.type === 'lost';
    lose(isLost ? result.head : undefined);
    return isLost ? 'lost' : 'released';
  }

  return {
    index,
    table,
    state: current,
    isOwned,
    acquire,
    enqueue(order) {
      queue.push(order);
      scheduleWrite();
    },
    enqueueOutcome,
    liveBytes,
    voidClaim,
    rejectUnclaimed,
    release,
    dump: () => ({
      shard: index,
      state: current(),
      epoch,
      entries: table.count,
      segments: table.segments().length,
      bytes: table.bytes,
      queued: queue.length,
      takeovers,
    }),
    dispose() {
      lifetime.abort();
      timer?.dispose();
      timer = undefined;
      queue = [];
    },
  };
}

/** Outcome of a claim whose order was not sent and never will be. */
function releasedOutcome({request, token}: ActiveOrder): ClaimOutcome {
  return {state: 'released', id: request.id, token};
}
