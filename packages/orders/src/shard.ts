/** One shard of the ledger as one process sees it: taking it over, batched writes, losing it, releasing it. */
import {
  ServingError,
  type Clock,
  type DecisionLog,
  type Disposable,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/platform';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import {createMachine, interpret, state, transition} from 'robot3';
import type {Flight} from './flight.js';
import {
  LEDGER_FORMAT,
  shardName,
  type LedgerEntry,
  type ShardRecord,
} from './shardRecord.js';
import {createShardSegments} from './shardSegments.js';
import {createShardTable, type ShardTable} from './shardTable.js';
import {createShardWriter, type WriteResult} from './shardWriter.js';

/**
 * `unowned`: another process may own it. `taking`: the change of owner is being
 * written. `owned`: may commit claims. `bound`: a reply was lost, nothing
 * follows from the write until its outcome is known. `releasing`: it is being
 * handed over, no more claims.
 */
export type ShardState = 'unowned' | 'taking' | 'owned' | 'bound' | 'releasing';

type ShardEvent = 'take' | 'gain' | 'doubt' | 'learn' | 'release' | 'lose';

/** Who can work on an order of the shard. */
export type Ownership =
  | {readonly type: 'owned'}
  | {readonly type: 'elsewhere'; readonly member: string};

/**
 * `released`: given up; what the changes handed over may run elsewhere, also
 * when another process took the shard before. `refused`: certainly nothing was
 * written. `unowned`: there was nothing to give up.
 */
export type Release = 'released' | 'refused' | 'unowned';

export interface ShardOptions {
  readonly index: number;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly decisions?: DecisionLog;
  readonly member: string;
  /** Unique for each start of a process. */
  readonly instance: string;
  /** The least time between the starts of two writes. */
  readonly gapMs: number;
  /** How long outcomes may wait for a write that carries claims as well. */
  readonly lazyMs: number;
  readonly windowMs: number;
  /** Size of the shard's object from which ended entries move into a segment. */
  readonly sealBytes: number;
  /** How long a deposed owner leaves the shard to its new one. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  /** The claim is in the ledger: the order may be dispatched. */
  readonly onDidClaim: (flight: Flight) => void;
  /** The shard was lost with these outcomes not written: its new owner needs them. */
  readonly onDidLose: (outcomes: readonly ClaimOutcome[]) => void;
  /** The shard was taken over with these entries. */
  readonly onDidTake: (entries: readonly LedgerEntry[]) => void;
}

export interface Shard extends Disposable {
  readonly index: number;
  readonly table: ShardTable;
  state(): ShardState;
  /** True while claims can be committed. */
  isOwned(): boolean;
  /** Owns the shard, or tells who does. Throws `platform-unavailable`. */
  own(): Promise<Ownership>;
  /** Puts an order into the next write. */
  enqueue(flight: Flight): void;
  /** An outcome has changed the table: write it soon. */
  touch(outcome: ClaimOutcome): void;
  /** Size of all entries that are still within the dedupe window. */
  liveBytes(): number;
  /** Voids a claim that was never sent. */
  drop(flight: Flight): void;
  /** Ends the orders that have no claim yet; nothing of them was sent. */
  refuseUnclaimed(error: ServingError): void;
  /** Changes the table, writes it and gives the shard up. */
  release(changes: () => void): Promise<Release>;
  dump(): unknown;
}

const MAX_BATCH = 500;
const MAX_TAKE_ATTEMPTS = 5;

const shardMachine = createMachine({
  unowned: state(transition('take', 'taking')),
  taking: state(transition('gain', 'owned'), transition('lose', 'unowned')),
  owned: state(
    transition('doubt', 'bound'),
    transition('release', 'releasing'),
    transition('lose', 'unowned'),
  ),
  bound: state(transition('learn', 'owned'), transition('lose', 'unowned')),
  releasing: state(transition('gain', 'owned'), transition('lose', 'unowned')),
});

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
  let queue: Flight[] = [];
  let batch: Flight[] = [];
  let version: number | undefined;
  let epoch = 0;
  let writes = 0;
  let claims = 0;
  let takeovers = 0;
  /** Segments to remove once an object without them has landed. */
  const expired: string[] = [];
  let unwritten: ClaimOutcome[] = [];
  let beingWritten: ClaimOutcome[] = [];
  let dirtySince: number | undefined;
  let lastStart = -Infinity;
  let timer: Disposable | undefined;
  let writing: Promise<void> | undefined;
  let taking: Promise<Ownership> | undefined;
  let holdOffUntil = -Infinity;
  let knownOwner: string | undefined;

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
    knownOwner = head?.ownerMember;
    holdOffUntil = clock.now() + options.holdOffMs;
    dirtySince = undefined;
    timer?.dispose();
    timer = undefined;
    // The new owner's object may name them still.
    expired.length = 0;
    options.onDidLose([...beingWritten.splice(0), ...unwritten.splice(0)]);
    note('gave up shard', `written by ${knownOwner ?? 'another process'}`);
    moveQueued();
  }

  function note(what: string, why: string): void {
    options.decisions?.note('orders', shardName(index), what, why, {epoch});
  }

  // Taking over.

  function shouldYield(head: ShardRecord, attempt: number): boolean {
    const isOther = head.owner !== '' && head.ownerMember !== member;
    const isFresh = attempt > 0 || clock.now() < holdOffUntil;
    return isOther && isFresh && options.isReachable(head.ownerMember);
  }

  async function takeOver(): Promise<Ownership> {
    for (let attempt = 0; attempt < MAX_TAKE_ATTEMPTS; attempt++) {
      const stored = await writer.read();
      const head = stored?.value;
      if (head !== undefined && head.format > LEDGER_FORMAT) {
        throw unreadable(index, head.format);
      }
      if (head !== undefined && shouldYield(head, attempt)) {
        knownOwner = head.ownerMember;
        return {type: 'elsewhere', member: head.ownerMember};
      }
      const sealed = await segments.read(head?.segments ?? []);
      if (sealed === undefined) {
        continue;
      }
      table.load(head?.entries ?? [], sealed, head?.age ?? 0);
      epoch = (head?.epoch ?? 0) + 1;
      writes = 0;
      const result = await writer.write(nextRecord(), stored?.version);
      if (result.type === 'refused') {
        throw result.error;
      }
      if (result.type === 'landed') {
        version = result.version;
        takeovers += 1;
        tell('gain');
        note('took shard over', `it was owned by ${head?.owner || 'nobody'}`);
        options.onDidTake(table.unsealed());
        return {type: 'owned'};
      }
    }
    throw new ServingError(
      'platform-unavailable',
      `shard ${index} changes its owner too often`,
    );
  }

  function own(): Promise<Ownership> {
    if (isOwned()) {
      return Promise.resolve({type: 'owned'});
    }
    if (taking !== undefined) {
      return taking;
    }
    const isHeldOff = clock.now() < holdOffUntil;
    if (isHeldOff && knownOwner && options.isReachable(knownOwner)) {
      return Promise.resolve({type: 'elsewhere', member: knownOwner});
    }
    tell('take');
    taking = takeOver().finally(() => {
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
    return dirtySince === undefined ? undefined : dirtySince + options.lazyMs;
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

  /** Moves ended entries out of the shard's object before it grows large. */
  async function sealEnded(): Promise<void> {
    const entries = table.sealable(options.sealBytes);
    if (entries.length === 0) {
      return;
    }
    const name = await segments.write(epoch, entries);
    if (name !== undefined) {
      table.seal(name, entries);
    }
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
      await sealEnded();
    }
  }

  /** Writes the table; outcomes that it carries are kept until it has landed. */
  async function write(record: ShardRecord): Promise<WriteResult> {
    dirtySince = undefined;
    beingWritten = unwritten.splice(0);
    const result = await writer.write(record, version);
    if (result.type === 'landed') {
      beingWritten = [];
      segments.remove(expired.splice(0));
    }
    if (result.type === 'refused') {
      unwritten = [...beingWritten.splice(0), ...unwritten];
      dirtySince = unwritten.length > 0 ? clock.now() : undefined;
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
    unwritten.push(outcome);
    dirtySince ??= clock.now();
    schedule();
  }

  function drop(flight: Flight): void {
    const {id} = flight.request;
    const {token} = flight;
    if (table.get(id)?.token === token) {
      table.remove(id);
      touch({state: 'released', id, token});
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
    flight.end({type: 'moved', member: knownOwner, token, isWaiting: false});
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
    lose(result.type === 'lost' ? result.head : undefined);
    return 'released';
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

function unreadable(index: number, format: number): ServingError {
  return new ServingError(
    'platform-unavailable',
    `shard ${index} has format ${format}, which this release can't read`,
  );
}
