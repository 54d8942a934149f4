/**
 * Member objects in the object API: how a new process finds the others, and how
 * groups that have lost each other meet again. Liveness never depends on them.
 */
import {
  rendezvousOrder,
  toServingError,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {MemberNews} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Value of a `member` object. */
export interface MemberObject {
  readonly incarnation: number;
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Keeps this entry's object, and finds others by theirs. */
export interface MemberObjects extends Disposable {
  /** Writes this entry's object and lists the others; tries on until it succeeds. */
  join(): void;
  /** Looks at this entry's object soon: somebody took us for gone. */
  checkOwn(): void;
  /** Members that the platform listed when this entry joined, itself included; undefined before. */
  listedCount(): number | undefined;
  /** Removes this entry's object. */
  leave(signal: AbortSignal): Promise<void>;
  /** Whether the platform answers a read that starts now. */
  confirmReachable(): Promise<boolean>;
  dump(): unknown;
}

const KIND = 'member';
/** Objects removed in one sweep: the rest waits for the next one. */
const REMOVALS_PER_SWEEP = 30;
/** Members from which a new process learns of the others. */
const JOIN_CONTACTS = 3;
const FIRST_RETRY_MS = 500;
const LAST_RETRY_MS = 30_000;
/** Sweeps in which an unknown member can't be reached before its object goes. */
const UNREACHABLE_SWEEPS = 3;

/**
 * Makes the keeper of this entry's object.
 *
 * @example
 * const objects = createMemberObjects({store, table, clock, ...rest});
 * objects.join();
 */
export function createMemberObjects(options: {
  readonly store: ObjectStore;
  readonly table: MemberTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly timing: MemberTiming;
  ownNews(): MemberNews;
  /** A member of whom there is an object but no news; tells whether it answered. */
  contact(id: string, value: MemberObject): Promise<boolean>;
}): MemberObjects {
  const {store, table, clock, random, log, decisions, timing} = options;
  const unreachable = new Map<string, number>();
  const stop = new AbortController();
  const timers = new Set<Disposable>();
  let retryMs = FIRST_RETRY_MS;
  let isJoined = false;
  let listedCount: number | undefined;
  let hasLeft = false;
  let swept = 0;

  function after(delayMs: number, action: () => Promise<void>) {
    const timer = clock.after(delayMs * (0.75 + random.next() / 2), () => {
      timers.delete(timer);
      if (hasLeft) {
        return;
      }
      action().catch(error =>
        log.warn({err: toServingError(error)}, 'member objects'),
      );
    });
    timers.add(timer);
  }

  function ownValue(): MemberObject {
    const {incarnation, callerUrl, innerUrl, failureDomain, region} =
      options.ownNews();
    return {incarnation, callerUrl, innerUrl, failureDomain, region};
  }

  async function writeOwn(): Promise<void> {
    const {id} = options.ownNews();
    await store.put(KIND, id, ownValue(), {type: 'any'}, stop.signal);
  }

  /**
   * First written, then listed: of two that start at once, one sees the other,
   * or hears of it from the members that it contacts and the seeds.
   */
  async function tryJoin(): Promise<void> {
    await writeOwn();
    const {objects} = await store.list<MemberObject>(
      KIND,
      stop.signal,
      'recent',
    );
    isJoined = true;
    listedCount = objects.length;
    const {id} = options.ownNews();
    void contactSome(objects.filter(object => object.name !== id));
    after(timing.sweepMs, sweep);
    after(timing.ownObjectMs, checkOwnAgain);
  }

  /**
   * Each that answers tells of all others, so a few are enough; those that
   * nobody told of are tried by the sweep. Trying all would cost a dial and a
   * listing for every member at every start.
   */
  async function contactSome(
    objects: readonly StoredObject<MemberObject>[],
  ): Promise<void> {
    const rest = [...objects];
    let answered = 0;
    while (rest.length > 0 && answered < JOIN_CONTACTS) {
      const at = random.integer(0, rest.length - 1);
      const [object] = rest.splice(at, 1);
      if (await options.contact(object!.name, object!.value)) {
        answered += 1;
      }
    }
  }

  function join() {
    tryJoin().catch(error => {
      log.info({reason: String(error)}, 'the platform is not there to join');
      after(retryMs, async () => join());
      retryMs = Math.min(LAST_RETRY_MS, retryMs * 2);
    });
  }

  async function checkOwn(): Promise<void> {
    const {id, incarnation} = options.ownNews();
    const found = await store.get<MemberObject>(KIND, id, stop.signal);
    if (found === undefined || found.value.incarnation !== incarnation) {
      await writeOwn();
    }
  }

  async function checkOwnAgain(): Promise<void> {
    after(timing.ownObjectMs, checkOwnAgain);
    await checkOwn();
  }

  /** One member sweeps, so that the platform's calls don't grow with the members. */
  function isSweeper(): boolean {
    const {id} = options.ownNews();
    const live = [...table.all()]
      .filter(known => known.machine.state() === 'live')
      .map(known => known.news.id);
    return rendezvousOrder('member-sweeper', [...live, id])[0] === id;
  }

  function isDead(known: KnownMember, value: MemberObject): boolean {
    return (
      known.machine.state() === 'gone' &&
      value.incarnation <= known.news.incarnation &&
      clock.now() - known.changedAt >= timing.sweepMs
    );
  }

  async function isUnreachable(
    object: StoredObject<MemberObject>,
  ): Promise<boolean> {
    if (await options.contact(object.name, object.value)) {
      unreachable.delete(object.name);
      return false;
    }
    const sweeps = (unreachable.get(object.name) ?? 0) + 1;
    unreachable.set(object.name, sweeps);
    return sweeps >= UNREACHABLE_SWEEPS;
  }

  async function shouldRemove(
    object: StoredObject<MemberObject>,
  ): Promise<boolean> {
    const known = table.get(object.name);
    if (known !== undefined) {
      return isDead(known, object.value);
    }
    return isUnreachable(object);
  }

  async function sweep(): Promise<void> {
    after(timing.sweepMs, sweep);
    if (!isSweeper()) {
      unreachable.clear();
      return;
    }
    const {id} = options.ownNews();
    const {objects} = await store.list<MemberObject>(KIND, stop.signal);
    let removals = 0;
    for (const object of objects) {
      if (object.name === id || removals >= REMOVALS_PER_SWEEP) {
        continue;
      }
      if (await shouldRemove(object)) {
        removals += 1;
        await removeDead(object);
      }
    }
  }

  async function removeDead(object: StoredObject<MemberObject>) {
    const {name, version} = object;
    // The condition spares a process that has just started again under the id.
    await store.remove(KIND, name, {type: 'version', version}, stop.signal);
    swept += 1;
    unreachable.delete(name);
    decisions.note('members', name, 'remove its object', 'gone for long');
  }

  return {
    join,
    checkOwn() {
      if (isJoined) {
        after(timing.heartbeatMs, checkOwn);
      }
    },
    listedCount: () => listedCount,
    async leave(signal) {
      hasLeft = true;
      const {id} = options.ownNews();
      await store.remove(KIND, id, {type: 'any'}, signal);
    },
    async confirmReachable() {
      try {
        await store.get(KIND, options.ownNews().id, stop.signal);
        return true;
      } catch {
        return false;
      }
    },
    dump: () => ({isJoined, swept, unreachable: [...unreachable.keys()]}),
    dispose() {
      // A failed attempt to join would else plan the next one after the end.
      hasLeft = true;
      stop.abort();
      timers.forEach(timer => timer.dispose());
    },
  };
}
