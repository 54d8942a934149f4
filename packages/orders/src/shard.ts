/** One shard of the ledger as one process sees it: batched writes, losing it, releasing it. */
import {type Disposable, type ServingError} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import {interpret} from 'robot3';
import type {Flight} from './flight.js';
import {createPendingOutcomes} from './pendingOutcomes.js';
import type {
  Ownership,
  Release,
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

const MAX_BATCH = 500;

/**
 * Makes a shard that is not owned yet.
 *
 * @example
 * const ownership = await shard.own();
 * if (ownership.type === 'owned') { shard.enqueue(flight); }
 */
export function createShard(options: ShardOptions): Shard {
  const {index, clock, member, instance} = options;
  const machine = interpret(shardMachine, () => undefined);
  const table = createShardTable(clock, options.windowMs);
  const segments = createShardSegments(options.store, index);
  const life = new AbortController();
  const writer = createShardWriter({
    store: options.store,
    clock,
    name: shardName(index),
    onDoubt: () => tell('doubt'),
    signal: life.signal,
  });
  const takeOver = createTakeOver({
    ...options,
    writer,
    segments,
    table,
    beginEpoch,
    onDidLand,
  });
  let queue: Flight[] = [];
  let batch: Flight[] = [];
  let version: number | undefined;
  let epoch = 0;
  let writes = 0;
  let claims = 0;
  let takeovers = 0;
  /** Segments to remove once an object without them has landed. */
  const expired: string[] = [];
  const outcomes = createPendingOutcomes(clock);
  let lastStart = -Infinity;
  let timer: Disposable | undefined;
  let writing: Promise<void> | undefined;
  let taking: Promise<Ownership> | undefined;

  function current(): ShardState {
    return machine.machine.current as ShardState;
  }

  function tell(event: ShardEvent): void {
    machine.send(event);
  }

  function nextRecord(): ShardRecord {
    writes += 1;
    expire();
    return {
      format: LEDGER_FORMAT,
      owner: instance,
      ownerMember: member,
      epoch,
      write: writes,
      age: table.age(),
      entries: table.unsealed(),
      segments: table.segments(),
    };
  }

  function expire(): void {
    expired.push(...table.expire());
  }

  function liveBytes(): number {
    expire();
    return table.bytes;
  }

  function lose(head: ShardRecord | undefined): void {
    tell('lose');
    const owner = head?.ownerMember;
    takeOver.holdOff(owner);
    timer?.dispose();
    timer = undefined;
    // The new owner's object may name them still.
    expired.length = 0;
    options.onDidLose(outcomes.clear());
    note('gave up shard', `written by ${owner ?? 'another process'}`);
    moveQueued();
  }

  function note(what: string, why: string): void {
    options.decisions?.note('orders', shardName(index), what, why, {epoch});
  }

  function beginEpoch(next: number): ShardRecord {
    epoch = next;
    writes = 0;
    return nextRecord();
  }

  function onDidLand(landed: number, previousOwner: string | undefined): void {
    version = landed;
    takeovers += 1;
    tell('gain');
    note('took shard over', `it was owned by ${previousOwner || 'nobody'}`);
    options.onDidTake(table.unsealed());
  }

  function own(): Promise<Ownership> {
    if (isOwned()) {
      return Promise.resolve({type: 'owned'});
    }
    if (taking !== undefined) {
      return taking;
    }
    const holder = takeOver.heldOffFor();
    if (holder !== undefined) {
      return Promise.resolve({type: 'elsewhere', member: holder});
    }
    tell('take');
    taking = takeOver.run().finally(() => {
      taking = undefined;
      // Does nothing when the shard was gained.
      if (current() === 'taking') {
        tell('lose');
      }
    });
    return taking;
  }

  function isOwned(): boolean {
    const now = current();
    return now === 'owned' || now === 'bound';
  }

  // Writing.

  function schedule(): void {
    if (writing !== undefined || !isOwned()) {
      return;
    }
    timer?.dispose();
    timer = undefined;
    const wantedAt = queue.length > 0 ? clock.now() : lazyWriteAt();
    if (wantedAt === undefined) {
      return;
    }
    const startAt = Math.max(wantedAt, lastStart + options.gapMs);
    timer = clock.after(startAt - clock.now(), startWrite);
  }

  function lazyWriteAt(): number | undefined {
    const since = outcomes.since();
    return since === undefined ? undefined : since + options.lazyMs;
  }

  function startWrite(): void {
    timer = undefined;
    if (writing !== undefined || current() !== 'owned') {
      return;
    }
    lastStart = clock.now();
    writing = commit().finally(() => {
      writing = undefined;
      schedule();
    });
  }

  async function commit(): Promise<void> {
    batch = queue.splice(0, MAX_BATCH).filter(flight => flight.tell('commit'));
    for (const flight of batch) {
      claims += 1;
      flight.token = `${epoch}.${claims}`;
      const {id, print} = flight.request;
      table.put({id, print, token: flight.token, state: 'claimed', member});
    }
    const result = await write(nextRecord());
    const written = batch;
    batch = [];
    finishWrite(result, written);
    if (result.type === 'landed') {
      await segments.seal(table, epoch, options.sealBytes);
    }
  }

  /** Writes the table; outcomes that it carries are kept until it has landed. */
  async function write(record: ShardRecord): Promise<WriteResult> {
    outcomes.begin();
    const result = await writer.write(record, version);
    if (result.type === 'landed') {
      outcomes.land();
      segments.remove(expired.splice(0));
    }
    if (result.type === 'refused') {
      outcomes.putBack();
    }
    return result;
  }

  function finishWrite(result: WriteResult, written: Flight[]): void {
    if (result.type === 'landed') {
      version = result.version;
      tell('learn');
      written.forEach(claimed);
      return;
    }
    if (result.type === 'refused') {
      for (const flight of written) {
        drop(flight);
        flight.end({type: 'error', error: result.error});
      }
      return;
    }
    lose(result.head);
    for (const flight of written) {
      move(flight);
    }
    // The claims may be in the new owner's table. An order whose caller has left is brought to it by
    // nobody, and every retry would hear that it may have run: the owner is told that they are void.
    options.onDidLose(written.map(voidClaim));
  }

  function claimed(flight: Flight): void {
    // An order that was given up during the write has ended: its claim is void.
    if (flight.tell('claim')) {
      options.onDidClaim(flight);
      return;
    }
    drop(flight);
  }

  function touch(outcome: ClaimOutcome): void {
    outcomes.add(outcome);
    schedule();
  }

  function drop(flight: Flight): void {
    const {id} = flight.request;
    const {token} = flight;
    if (table.get(id)?.token === token) {
      table.remove(id);
      touch(voidClaim(flight));
    }
  }

  function refuseUnclaimed(error: ServingError): void {
    // The claims of the batch may still land, but orders that have ended are never dispatched.
    for (const flight of [...queue.splice(0), ...batch]) {
      flight.end({type: 'error', error});
    }
  }

  function move(flight: Flight): void {
    const {token} = flight;
    flight.end({
      type: 'moved',
      member: takeOver.knownOwner(),
      token,
      isWaiting: false,
    });
  }

  function moveQueued(): void {
    for (const flight of queue.splice(0)) {
      move(flight);
    }
  }

  async function release(changes: () => void): Promise<Release> {
    await taking?.catch(() => undefined);
    await writing;
    if (current() !== 'owned') {
      return 'unowned';
    }
    tell('release');
    timer?.dispose();
    timer = undefined;
    moveQueued();
    changes();
    const record = {...nextRecord(), owner: '', ownerMember: ''};
    const result = await write(record);
    if (result.type === 'refused') {
      tell('gain');
      schedule();
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
    own,
    enqueue(flight) {
      queue.push(flight);
      schedule();
    },
    touch,
    liveBytes,
    drop,
    refuseUnclaimed,
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
      life.abort();
      timer?.dispose();
      timer = undefined;
      queue = [];
    },
  };
}

/** The outcome of a claim whose order was not sent and never will be. */
function voidClaim({request, token}: Flight): ClaimOutcome {
  return {state: 'released', id: request.id, token};
}
