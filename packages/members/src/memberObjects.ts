/**
 * Member objects in the platform's object store. New processes discover the
 * cluster through them, and so do partitions that have lost contact. Liveness
 * never depends on them.
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
import type {MemberUpdate} from '@skylarkfield/protocol';
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

/** Maintains this entry's object and discovers members by their objects. */
export interface MemberObjects extends Disposable {
  /** Writes this entry's object and lists the others; retries on failure. */
  join(): void;
  /** Schedules a check of this entry's object after a refutation. */
  checkOwnObject(): void;
  /** Members listed on joining, including this entry; undefined before. */
  listedCount(): number | undefined;
  /** Removes this entry's object. */
  leave(signal: AbortSignal): Promise<void>;
  /** Reads from the platform; resolves with whether it responded. */
  isPlatformReachable(): Promise<boolean>;
  dump(): unknown;
}

const KIND = 'member';
/** Objects removed in one sweep; further ones wait for the next sweep. */
const MAX_REMOVALS_PER_SWEEP = 30;
/** Members that a new process contacts to fetch the member list. */
const JOIN_CONTACTS = 3;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 30_000;
/** Sweeps with a failed contact until an unknown member's object is removed. */
const MAX_UNREACHABLE_SWEEPS = 3;

/**
 * Creates the member object maintenance of one entry.
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
  localUpdate(): MemberUpdate;
  /** Contacts a member known only by its object; returns whether it replied. */
  contact(id: string, value: MemberObject): Promise<boolean>;
}): MemberObjects {
  const {store, table, clock, random, log, decisions, timing} = options;
  const unreachable = new Map<string, number>();
  const abortController = new AbortController();
  const timers = new Set<Disposable>();
  let retryMs = MIN_RETRY_MS;
  let isJoined = false;
  let listedCount: number | undefined;
  let isStopped = false;
  let swept = 0;

  function schedule(delayMs: number, action: () => Promise<void>) {
    const timer = clock.after(delayMs * (0.75 + random.next() / 2), () => {
      timers.delete(timer);
      if (isStopped) {
        return;
      }
      action().catch(error =>
        log.warn({err: toServingError(error)}, 'member object task failed'),
      );
    });
    timers.add(timer);
  }

  function ownObjectValue(): MemberObject {
    const {incarnation, callerUrl, innerUrl, failureDomain, region} =
      options.localUpdate();
    return {incarnation, callerUrl, innerUrl, failureDomain, region};
  }

  async function writeOwnObject(): Promise<void> {
    const {id} = options.localUpdate();
    await store.put(
      KIND,
      id,
      ownObjectValue(),
      {type: 'any'},
      abortController.signal,
    );
  }

  /**
   * Writes before listing: of two entries that start at once, at least one
   * finds the other in the list or through contacted members and seeds.
   */
  async function tryJoin(): Promise<void> {
    await writeOwnObject();
    const {objects} = await store.list<MemberObject>(
      KIND,
      abortController.signal,
      'recent',
    );
    isJoined = true;
    listedCount = objects.length;
    const {id} = options.localUpdate();
    void contactMembers(objects.filter(object => object.name !== id));
    schedule(timing.sweepIntervalMs, sweep);
    schedule(timing.ownObjectCheckIntervalMs, checkOwnObjectPeriodically);
  }

  /**
   * Each member that answers returns all others, so a few contacts suffice; the
   * sweep tries members that remain unknown. Contacting all would cost one
   * connection and one listing for every member at every start.
   */
  async function contactMembers(
    objects: readonly StoredObject<MemberObject>[],
  ): Promise<void> {
    const candidates = [...objects];
    let answeredCount = 0;
    while (candidates.length > 0 && answeredCount < JOIN_CONTACTS) {
      const index = random.integer(0, candidates.length - 1);
      const [object] = candidates.splice(index, 1);
      if (await options.contact(object!.name, object!.value)) {
        answeredCount += 1;
      }
    }
  }

  function join() {
    tryJoin().catch(error => {
      log.info({reason: String(error)}, 'platform join failed; retrying');
      schedule(retryMs, async () => join());
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    });
  }

  async function checkOwnObject(): Promise<void> {
    const {id, incarnation} = options.localUpdate();
    const found = await store.get<MemberObject>(
      KIND,
      id,
      abortController.signal,
    );
    if (found === undefined || found.value.incarnation !== incarnation) {
      await writeOwnObject();
    }
  }

  async function checkOwnObjectPeriodically(): Promise<void> {
    schedule(timing.ownObjectCheckIntervalMs, checkOwnObjectPeriodically);
    await checkOwnObject();
  }

  /** Only one member sweeps, so platform calls do not grow with the cluster. */
  function isSweeper(): boolean {
    const {id} = options.localUpdate();
    const live = [...table.all()]
      .filter(known => known.machine.state() === 'live')
      .map(known => known.update.id);
    return rendezvousOrder('member-sweeper', [...live, id])[0] === id;
  }

  function isDead(known: KnownMember, value: MemberObject): boolean {
    return (
      known.machine.state() === 'gone' &&
      value.incarnation <= known.update.incarnation &&
      clock.now() - known.changedAt >= timing.sweepIntervalMs
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
    return sweeps >= MAX_UNREACHABLE_SWEEPS;
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
    schedule(timing.sweepIntervalMs, sweep);
    if (!isSweeper()) {
      unreachable.clear();
      return;
    }
    const {id} = options.localUpdate();
    const {objects} = await store.list<MemberObject>(
      KIND,
      abortController.signal,
    );
    let removals = 0;
    for (const object of objects) {
      if (object.name === id || removals >= MAX_REMOVALS_PER_SWEEP) {
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
    // The version condition protects a process just restarted under this id.
    await store.remove(
      KIND,
      name,
      {type: 'version', version},
      abortController.signal,
    );
    swept += 1;
    unreachable.delete(name);
    decisions.note('members', name, 'remove its object', 'gone or unreachable');
  }

  return {
    join,
    checkOwnObject() {
      if (isJoined) {
        schedule(timing.heartbeatIntervalMs, checkOwnObject);
      }
    },
    listedCount: () => listedCount,
    async leave(signal) {
      isStopped = true;
      const {id} = options.localUpdate();
      await store.remove(KIND, id, {type: 'any'}, signal);
    },
    async isPlatformReachable() {
      try {
        await store.get(KIND, options.localUpdate().id, abortController.signal);
        return true;
      } catch {
        return false;
      }
    },
    dump: () => ({isJoined, swept, unreachable: [...unreachable.keys()]}),
    dispose() {
      // Prevents a failed join attempt from scheduling a retry after disposal.
      isStopped = true;
      abortController.abort();
      timers.forEach(timer => timer.dispose());
    },
  };
}
