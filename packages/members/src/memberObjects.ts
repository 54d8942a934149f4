/**
 * Member objects in the platform's object store. Through these objects new
 * processes discover the cluster, and the sides of a network partition find
 * each other again. Whether a member is live never depends on its object.
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
import {
  eraOf,
  type ObjectStore,
  type StoredObject,
} from '@skylarkfield/providers';
import type {MemberUpdate} from '@skylarkfield/protocol';
import {
  MEMBER_KIND,
  parseMemberObject,
  type MemberObject,
} from './memberObject.js';
import {createMemberReader} from './memberReader.js';
import type {KnownMember, MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Maintains this entry's object and discovers members by their objects. */
export interface MemberObjects extends Disposable {
  /**
   * Writes this entry's object and contacts listed members; retries on failure.
   */
  join(): void;
  /**
   * Schedules a check that this entry's object exists, unless one is scheduled.
   * Needed after a refuted update, as another entry may have removed the object.
   */
  scheduleOwnObjectCheck(): void;
  /**
   * Records the current era of the store. If the store was restored since this
   * entry's object was last known to exist, schedules a check; to be called
   * repeatedly, so that a failed check is repeated.
   */
  recordStoreEra(era: number): void;
  /**
   * Number of members listed by the platform on joining, including this entry;
   * undefined before this entry has joined.
   */
  listedCount(): number | undefined;
  /** Removes this entry's object. */
  leave(signal: AbortSignal): Promise<void>;
  /** Reads from the platform; resolves to whether the platform responded. */
  isPlatformReachable(): Promise<boolean>;
  dump(): unknown;
}

/**
 * Maximum number of objects removed in one sweep; further objects of dead
 * members are left for the next sweep.
 */
const MAX_REMOVALS_PER_SWEEP = 30;
/** Number of answers after which a new process contacts no more members. */
const MAX_JOIN_CONTACTS = 3;
/** Range of the exponential delay between join attempts, in milliseconds. */
const MIN_JOIN_RETRY_MS = 500;
const MAX_JOIN_RETRY_MS = 30_000;
/**
 * Number of sweeps that fail to contact an unknown member after which its
 * object is removed.
 */
const MAX_UNREACHABLE_SWEEPS = 3;
/**
 * After the store was restored, all entries check their objects, at random times
 * in a period that grows with the cluster, so that the rate of their calls does
 * not. In milliseconds.
 */
const RESTORED_CHECK_MS_PER_MEMBER = 50;
const MIN_RESTORED_CHECK_PERIOD_MS = 1_000;

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
  /**
   * Contacts a member that is known only by its object; resolves to whether the
   * member replied.
   */
  contact(id: string, memberObject: MemberObject): Promise<boolean>;
}): MemberObjects {
  const {store, table, clock, random, log, decisions, timing} = options;
  /** Number of sweeps that failed to contact an unknown member, by its id. */
  const failedSweepsById = new Map<string, number>();
  const abortController = new AbortController();
  const reader = createMemberReader({
    store,
    log,
    signal: abortController.signal,
  });
  const timers = new Set<Disposable>();
  let joinRetryMs = MIN_JOIN_RETRY_MS;
  let isJoined = false;
  let listedCount: number | undefined;
  let isStopped = false;
  let removedCount = 0;
  let isOwnObjectCheckPending = false;
  let lastOwnObjectCheckAt = -Infinity;
  /** Latest era in which the store is known to hold this entry's object. */
  let ownObjectEra = 0;
  let isRestoredCheckPending = false;
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
    const {version} = await store.put(
      MEMBER_KIND,
      id,
      ownObjectValue(),
      {type: 'any'},
      abortController.signal,
    );
    ownObjectEra = eraOf(version);
  }

  /**
   * Writes this entry's object before listing all objects: of two entries that
   * start at the same time, at least one finds the other in the list or through
   * contacted members and seeds.
   */
  async function tryJoin(): Promise<void> {
    await writeOwnObject();
    const objects = await reader.list('recent');
    isJoined = true;
    listedCount = objects.length;
    const {id} = options.localUpdate();
    void contactMembers(objects.filter(object => object.name !== id));
    schedule(timing.sweepIntervalMs, sweepObjects);
    schedule(timing.ownObjectCheckIntervalMs, restoreOwnObjectPeriodically);
  }

  /**
   * Contacts random members until `MAX_JOIN_CONTACTS` have answered. Each
   * member that answers returns all members that it knows, so a few contacts
   * suffice; sweeps contact members that remain unknown. Contacting all members
   * would cost one connection and one listing for every member at every start
   * of an entry.
   */
  async function contactMembers(
    objects: readonly StoredObject<MemberObject>[],
  ): Promise<void> {
    const candidates = [...objects];
    let answeredCount = 0;
    while (candidates.length > 0 && answeredCount < MAX_JOIN_CONTACTS) {
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
      schedule(joinRetryMs, async () => join());
      joinRetryMs = Math.min(MAX_JOIN_RETRY_MS, joinRetryMs * 2);
    });
  }

  async function restoreOwnObject(): Promise<void> {
    const {id, incarnation} = options.localUpdate();
    const storedObject = await store.get(
      MEMBER_KIND,
      id,
      abortController.signal,
    );
    if (
      storedObject === undefined ||
      parseMemberObject(storedObject.value)?.incarnation !== incarnation
    ) {
      await writeOwnObject();
      return;
    }
    ownObjectEra = eraOf(storedObject.version);
  }

  async function restoreOwnObjectPeriodically(): Promise<void> {
    schedule(timing.ownObjectCheckIntervalMs, restoreOwnObjectPeriodically);
    await restoreOwnObject();
  }

  /** Ids of the live members, including this entry. */
  function liveMemberIds(): string[] {
    const liveMembers = [...table.all()].filter(
      knownMember => knownMember.machine.state() === 'live',
    );
    const {id} = options.localUpdate();
    return [...liveMembers.map(({update}) => update.id), id];
  }

  /**
   * Returns whether this entry removes the objects of dead members. Only one
   * live member does, so that platform calls do not grow with the cluster.
   */
  function isSweeper(): boolean {
    const {id} = options.localUpdate();
    return rendezvousOrder('member-sweeper', liveMemberIds())[0] === id;
  }

  /** Returns a random delay of the check after the store was restored. */
  function restoredCheckDelayMs(): number {
    const periodMs = Math.max(
      MIN_RESTORED_CHECK_PERIOD_MS,
      RESTORED_CHECK_MS_PER_MEMBER * liveMemberIds().length,
    );
    return random.next() * periodMs;
  }

  function isDead(knownMember: KnownMember, value: MemberObject): boolean {
    return (
      knownMember.machine.state() === 'gone' &&
      value.incarnation <= knownMember.update.incarnation &&
      clock.now() - knownMember.changedAt >= timing.sweepIntervalMs
    );
  }

  /**
   * Contacts an unknown member; returns whether the attempts of
   * `MAX_UNREACHABLE_SWEEPS` sweeps have failed.
   */
  async function isUnreachable(
    object: StoredObject<MemberObject>,
  ): Promise<boolean> {
    if (await options.contact(object.name, object.value)) {
      failedSweepsById.delete(object.name);
      return false;
    }
    const failedSweeps = (failedSweepsById.get(object.name) ?? 0) + 1;
    failedSweepsById.set(object.name, failedSweeps);
    return failedSweeps >= MAX_UNREACHABLE_SWEEPS;
  }

  async function shouldRemove(
    object: StoredObject<MemberObject>,
  ): Promise<boolean> {
    const knownMember = table.get(object.name);
    if (knownMember !== undefined) {
      return isDead(knownMember, object.value);
    }
    return isUnreachable(object);
  }

  async function sweepObjects(): Promise<void> {
    schedule(timing.sweepIntervalMs, sweepObjects);
    if (!isSweeper()) {
      failedSweepsById.clear();
      return;
    }
    const {id} = options.localUpdate();
    const objects = await reader.list();
    let removalCount = 0;
    for (const object of objects) {
      if (object.name === id || removalCount >= MAX_REMOVALS_PER_SWEEP) {
        continue;
      }
      if (await shouldRemove(object)) {
        removalCount += 1;
        await removeDeadObject(object);
      }
    }
  }

  async function removeDeadObject(object: StoredObject<MemberObject>) {
    const {name, version} = object;
    // The version condition protects the object of a process that has just
    // restarted under this id.
    await store.remove(
      MEMBER_KIND,
      name,
      {type: 'version', version},
      abortController.signal,
    );
    removedCount += 1;
    failedSweepsById.delete(name);
    decisions.recordDecision(
      'members',
      name,
      'remove its object',
      'gone or unreachable',
    );
  }

  return {
    join,
    scheduleOwnObjectCheck() {
      if (!isJoined || isOwnObjectCheckPending) {
        return;
      }
      isOwnObjectCheckPending = true;
      // An object is removed no sooner than a sweep interval after its member
      // was declared gone, so more frequent checks find nothing.
      const nextCheckAt = lastOwnObjectCheckAt + timing.sweepIntervalMs;
      schedule(
        Math.max(timing.heartbeatIntervalMs, nextCheckAt - clock.now()),
        async () => {
          isOwnObjectCheckPending = false;
          lastOwnObjectCheckAt = clock.now();
          await restoreOwnObject();
        },
      );
    },
    recordStoreEra(era) {
      if (!isJoined || isRestoredCheckPending || era <= ownObjectEra) {
        return;
      }
      isRestoredCheckPending = true;
      schedule(restoredCheckDelayMs(), async () => {
        isRestoredCheckPending = false;
        await restoreOwnObject();
      });
    },
    listedCount: () => listedCount,
    async leave(signal) {
      isStopped = true;
      const {id} = options.localUpdate();
      await store.remove(MEMBER_KIND, id, {type: 'any'}, signal);
    },
    async isPlatformReachable() {
      try {
        await store.get(
          MEMBER_KIND,
          options.localUpdate().id,
          abortController.signal,
        );
        return true;
      } catch {
        return false;
      }
    },
    dump: () => ({
      isJoined,
      swept: removedCount,
      unreadable: reader.unreadableCount(),
      unreachable: [...failedSweepsById.keys()],
    }),
    dispose() {
      // Prevents a failed join attempt from scheduling a retry after disposal.
      isStopped = true;
      abortController.abort();
      timers.forEach(timer => timer.dispose());
    },
  };
}
