/** One shard in one process: batched writes, acquisition, loss and release. */
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
  const {index, clock, member, instanceId} = options;
  const interpreter = interpret(shardMachine, () => undefined);
  const table = createShardTable(clock, options.dedupeWindowMs);
  const segments = createShardSegments(options.store, index);
  const lifetimeController = new AbortController();
  const writer = createShardWriter({
    store: options.store,
    clock,
    objectName: shardName(index),
    onUncertainWrite: () => sendEvent('writeUncertain'),
    signal: lifetimeController.signal,
  });
  const takeOver = createTakeOver({
    ...options,
    writer,
    segments,
    table,
    beginEpoch,
    onDidCommit: onDidCommitTakeOver,
  });
  let queuedOrders: ActiveOrder[] = [];
  let ordersInWrite: ActiveOrder[] = [];
  let storedVersion: number | undefined;
  let epoch = 0;
  let writeCount = 0;
  let claimCount = 0;
  let takeOverCount = 0;
  /** Names of the segments to remove after the next committed write. */
  const expiredSegmentNames: string[] = [];
  const pendingOutcomes = createPendingOutcomes(clock);
  let lastWriteStartedAt = -Infinity;
  let writeTimer: Disposable | undefined;
  let writeInProgress: Promise<void> | undefined;
  let takeOverInProgress: Promise<Ownership> | undefined;

  function currentState(): ShardState {
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
      owner: instanceId,
      ownerMember: member,
      epoch,
      write: writeCount,
      age: table.age(),
      entries: table.unsealedEntries(),
      segments: table.segmentNames(),
    };
  }

  function expire(): void {
    expiredSegmentNames.push(...table.expire());
  }

  function unexpiredBytes(): number {
    expire();
    return table.bytes;
  }

  function handleLoss(currentRecord: ShardRecord | undefined): void {
    sendEvent('lose');
    const owner = currentRecord?.ownerMember;
    takeOver.holdOff(owner);
    writeTimer?.dispose();
    writeTimer = undefined;
    // The object written by the new owner may still refer to these segments.
    expiredSegmentNames.length = 0;
    options.onDidLose(pendingOutcomes.drain());
    logDecision(
      'gave up shard',
      `last written by ${owner ?? 'another process'}`,
    );
    completeQueuedAsMoved();
  }

  function logDecision(what: string, why: string): void {
    options.decisions?.recordDecision('orders', shardName(index), what, why, {
      epoch,
    });
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
    storedVersion = committedVersion;
    takeOverCount += 1;
    sendEvent('acquire');
    logDecision(
      'took shard over',
      `previous owner: ${previousOwner || 'none'}`,
    );
    options.onDidTakeOver(table.unsealedEntries());
  }

  function acquire(): Promise<Ownership> {
    if (isOwned()) {
      return Promise.resolve({type: 'owned'});
    }
    if (takeOverInProgress !== undefined) {
      return takeOverInProgress;
    }
    const holdOffOwner = takeOver.holdOffOwner();
    if (holdOffOwner !== undefined) {
      return Promise.resolve({type: 'elsewhere', member: holdOffOwner});
    }
    sendEvent('startTakeOver');
    takeOverInProgress = takeOver.run().finally(() => {
      takeOverInProgress = undefined;
      // When the take-over was committed, the state is `owned` already.
      if (currentState() === 'taking') {
        sendEvent('lose');
      }
    });
    return takeOverInProgress;
  }

  function isOwned(): boolean {
    const state = currentState();
    return state === 'owned' || state === 'bound';
  }

  function scheduleWrite(): void {
    if (writeInProgress !== undefined || !isOwned()) {
      return;
    }
    writeTimer?.dispose();
    writeTimer = undefined;
    const dueAt = queuedOrders.length > 0 ? clock.now() : outcomeWriteDueAt();
    if (dueAt === undefined) {
      return;
    }
    const startAt = Math.max(
      dueAt,
      lastWriteStartedAt + options.minWriteIntervalMs,
    );
    writeTimer = clock.after(startAt - clock.now(), startWrite);
  }

  function outcomeWriteDueAt(): number | undefined {
    const waitingSince = pendingOutcomes.waitingSince();
    return waitingSince === undefined
      ? undefined
      : waitingSince + options.outcomeDelayMs;
  }

  function startWrite(): void {
    writeTimer = undefined;
    if (writeInProgress !== undefined || currentState() !== 'owned') {
      return;
    }
    lastWriteStartedAt = clock.now();
    writeInProgress = commit().finally(() => {
      writeInProgress = undefined;
      scheduleWrite();
    });
  }

  async function commit(): Promise<void> {
    ordersInWrite = queuedOrders
      .splice(0, MAX_BATCH_CLAIMS)
      .filter(order => order.tryTransition('commit'));
    for (const order of ordersInWrite) {
      claimCount += 1;
      order.token = `${epoch}.${claimCount}`;
      const {id, requestDigest: print} = order.request;
      table.put({id, print, token: order.token, state: 'claimed', member});
    }
    const result = await write(nextRecord());
    const claimedOrders = ordersInWrite;
    ordersInWrite = [];
    finishWrite(result, claimedOrders);
    if (result.type === 'committed') {
      await segments.seal(table, epoch, options.sealThresholdBytes);
    }
  }

  /** Writes a record; retains the pending outcomes until it is committed. */
  async function write(record: ShardRecord): Promise<WriteResult> {
    pendingOutcomes.beginWrite();
    const result = await writer.write(record, storedVersion);
    if (result.type === 'committed') {
      pendingOutcomes.commitWrite();
      segments.remove(expiredSegmentNames.splice(0));
    }
    if (result.type === 'refused') {
      pendingOutcomes.rollBackWrite();
    }
    return result;
  }

  function finishWrite(
    result: WriteResult,
    claimedOrders: ActiveOrder[],
  ): void {
    if (result.type === 'committed') {
      storedVersion = result.version;
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
    handleLoss(result.currentRecord);
    for (const order of claimedOrders) {
      completeAsMoved(order);
    }
    // The new owner may have read the claims. No entry routes the order of a
    // disconnected caller to the new owner, and every retry would get
    // `may-have-run`: the new owner must be notified that the claims are void.
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
    pendingOutcomes.add(outcome);
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
    // The claims of `ordersInWrite` may still be committed, but a completed
    // order is not sent.
    for (const order of [...queuedOrders.splice(0), ...ordersInWrite]) {
      order.complete({type: 'error', error});
    }
  }

  function completeAsMoved(order: ActiveOrder): void {
    const {token} = order;
    order.complete({
      type: 'moved',
      member: takeOver.lastKnownOwner(),
      token,
      isWaiting: false,
    });
  }

  function completeQueuedAsMoved(): void {
    for (const order of queuedOrders.splice(0)) {
      completeAsMoved(order);
    }
  }

  async function release(applyChanges: () => void): Promise<ReleaseResult> {
    await takeOverInProgress?.catch(() => undefined);
    await writeInProgress;
    if (currentState() !== 'owned') {
      return 'unowned';
    }
    sendEvent('release');
    writeTimer?.dispose();
    writeTimer = undefined;
    completeQueuedAsMoved();
    applyChanges();
    const record = {...nextRecord(), owner: '', ownerMember: ''};
    const result = await write(record);
    if (result.type === 'refused') {
      sendEvent('acquire');
      scheduleWrite();
      return 'refused';
    }
    const isLost = result.type === 'lost';
    handleLoss(isLost ? result.currentRecord : undefined);
    return isLost ? 'lost' : 'released';
  }

  return {
    index,
    table,
    state: currentState,
    isOwned,
    acquire,
    enqueue(order) {
      queuedOrders.push(order);
      scheduleWrite();
    },
    enqueueOutcome,
    unexpiredBytes,
    voidClaim,
    rejectUnclaimed,
    release,
    dump: () => ({
      shard: index,
      state: currentState(),
      epoch,
      entries: table.count,
      segments: table.segmentNames().length,
      bytes: table.bytes,
      queued: queuedOrders.length,
      takeovers: takeOverCount,
    }),
    dispose() {
      lifetimeController.abort();
      writeTimer?.dispose();
      writeTimer = undefined;
      queuedOrders = [];
    },
  };
}

/** Outcome of a claim whose order was not sent and never will be. */
function releasedOutcome({request, token}: ActiveOrder): ClaimOutcome {
  return {state: 'released', id: request.id, token};
}
