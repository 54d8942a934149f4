/** Table of all members known to one entry, and the ordering of updates. */
import {hash32, type Clock} from '@skylarkfield/base';
import type {MemberUpdate} from '@skylarkfield/protocol';
import type {Member} from './contracts.js';
import {
  createMemberMachine,
  type MemberEvent,
  type MemberMachine,
} from './memberMachine.js';
import {buildMember} from './memberView.js';

/** State of another member as seen by this entry. */
export interface KnownMember {
  /** Most recent update of the member. */
  update: MemberUpdate;
  readonly machine: MemberMachine;
  /**
   * Monotonic milliseconds of the last evidence that the member is alive,
   * received from the member itself or from a peer.
   */
  lastSeenAt: number;
  /**
   * Monotonic milliseconds of the last message from the member itself; reported
   * to peers on request.
   */
  lastSeenDirectlyAt: number;
  /** Monotonic milliseconds of the last state change. */
  changedAt: number;
  /**
   * Whether the member announced that it leaves; no reconnection is attempted.
   */
  hasLeft: boolean;
  /** Requests in flight on the member, as last reported. */
  load: number;
  /** Index of the bucket that contains the member. */
  readonly bucket: number;
}

/** Other members known to this entry, by id. */
export interface MemberTable {
  get(id: string): KnownMember | undefined;
  /** All members, including tombstones of those that are gone. */
  all(): Iterable<KnownMember>;
  /** Members that are not gone. */
  presentMembers(): readonly KnownMember[];
  /**
   * Applies an update if it is newer than the stored update; returns whether it
   * was applied.
   */
  apply(update: MemberUpdate): boolean;
  /**
   * Sends an event to a member's state machine; returns whether the state
   * changed.
   */
  sendEvent(knownMember: KnownMember, event: MemberEvent): boolean;
  remove(id: string): void;
  /**
   * Returns the hash of each bucket, over the local member and all members that
   * are not gone.
   */
  bucketHashesWith(localUpdate: MemberUpdate): readonly number[];
  /** Returns one hash over all buckets, including the local member. */
  digestWith(localUpdate: MemberUpdate): number;
  /**
   * Returns the updates in all buckets whose hash differs from the peer's hash
   * of that bucket.
   */
  differingUpdates(
    peerHashes: readonly number[],
    localUpdate: MemberUpdate,
  ): MemberUpdate[];
  /** Number of membership changes so far; lets callers cache values. */
  revision(): number;
}

/**
 * Number of buckets in which member tables are compared. A bucket that differs
 * is sent in full: about 50 updates with 1,700 members.
 */
export const BUCKET_COUNT = 32;

/** Precedence of states between updates of equal incarnation and sequence. */
const STATE_RANK = {live: 0, suspect: 0, leaving: 1, gone: 2} as const;

const EVENT_BY_STATE = {
  live: 'returned',
  suspect: 'returned',
  leaving: 'announcedLeaving',
  gone: 'declaredGone',
} as const;

/**
 * Creates an empty table.
 *
 * @example
 * if (table.apply(update)) { gossip.add(update); }
 */
export function createMemberTable(options: {
  readonly clock: Clock;
  onDidChange(knownMember: KnownMember): void;
}): MemberTable {
  const {clock, onDidChange} = options;
  const members = new Map<string, KnownMember>();
  const bucketHashes = new Array<number>(BUCKET_COUNT).fill(0);
  let revision = 0;
  /** Cached digest, valid until the buckets or the local update change. */
  let cachedDigest:
    | {readonly localUpdate: MemberUpdate; readonly hash: number}
    | undefined;

  /**
   * Adds a member's hash to its bucket hash, or removes it when called again,
   * as XOR is its own inverse.
   */
  function toggleHash(knownMember: KnownMember) {
    if (knownMember.update.state === 'gone') {
      return;
    }
    bucketHashes[knownMember.bucket] =
      (bucketHashes[knownMember.bucket]! ^ hashOf(knownMember.update)) >>> 0;
    cachedDigest = undefined;
  }

  function sendEvent(knownMember: KnownMember, event: MemberEvent): boolean {
    const stateBefore = knownMember.machine.state();
    knownMember.machine.send(event);
    if (knownMember.machine.state() === stateBefore) {
      return false;
    }
    knownMember.changedAt = clock.now();
    revision += 1;
    onDidChange(knownMember);
    return true;
  }

  function addMember(update: MemberUpdate): KnownMember {
    const now = clock.now();
    const knownMember: KnownMember = {
      update,
      machine: createMemberMachine(),
      lastSeenAt: now,
      lastSeenDirectlyAt: -Infinity,
      changedAt: now,
      hasLeft: update.state === 'leaving',
      load: update.load,
      bucket: bucketOf(update.id),
    };
    members.set(update.id, knownMember);
    toggleHash(knownMember);
    revision += 1;
    if (update.state === 'live' || update.state === 'suspect') {
      onDidChange(knownMember);
    } else {
      sendEvent(knownMember, EVENT_BY_STATE[update.state]);
    }
    return knownMember;
  }

  function replaceUpdate(knownMember: KnownMember, update: MemberUpdate) {
    const isNewProcess = update.incarnation > knownMember.update.incarnation;
    const previousUpdate = knownMember.update;
    toggleHash(knownMember);
    knownMember.update = update;
    toggleHash(knownMember);
    knownMember.lastSeenAt = clock.now();
    knownMember.load = update.load;
    knownMember.hasLeft =
      update.state === 'leaving' ||
      (knownMember.hasLeft && update.state === 'gone' && !isNewProcess);
    const hasChanged = sendEvent(knownMember, EVENT_BY_STATE[update.state]);
    const hasOtherReach =
      String(previousUpdate.unreachableServices) !==
      String(update.unreachableServices);
    if (!hasChanged && (isNewProcess || hasOtherReach)) {
      revision += 1;
      onDidChange(knownMember);
    }
  }

  function bucketHashesWith(localUpdate: MemberUpdate): readonly number[] {
    const hashes = [...bucketHashes];
    const index = bucketOf(localUpdate.id);
    hashes[index] = (hashes[index]! ^ hashOf(localUpdate)) >>> 0;
    return hashes;
  }

  return {
    get: id => members.get(id),
    all: () => members.values(),
    presentMembers: () =>
      [...members.values()].filter(
        knownMember => knownMember.machine.state() !== 'gone',
      ),
    apply(update) {
      const knownMember = members.get(update.id);
      if (knownMember === undefined) {
        addMember(update);
        return true;
      }
      if (!isNewer(update, knownMember.update)) {
        return false;
      }
      replaceUpdate(knownMember, update);
      return true;
    },
    sendEvent,
    remove(id) {
      const knownMember = members.get(id);
      if (knownMember === undefined) {
        return;
      }
      toggleHash(knownMember);
      members.delete(id);
      revision += 1;
    },
    bucketHashesWith,
    digestWith(localUpdate) {
      if (cachedDigest?.localUpdate !== localUpdate) {
        const hash = bucketHashesWith(localUpdate).reduce(
          (combinedHash, bucketHash) => hash32(`${combinedHash} ${bucketHash}`),
          0,
        );
        cachedDigest = {localUpdate, hash};
      }
      return cachedDigest.hash;
    },
    differingUpdates(peerHashes, localUpdate) {
      const localHashes = bucketHashesWith(localUpdate);
      const isDifferent = (bucket: number) =>
        peerHashes[bucket] !== localHashes[bucket];
      const updates = [...members.values()]
        .filter(knownMember => isDifferent(knownMember.bucket))
        // A peer without members in a bucket needs no tombstones of the bucket.
        .filter(
          knownMember =>
            knownMember.update.state !== 'gone' ||
            peerHashes[knownMember.bucket],
        )
        .map(knownMember => knownMember.update);
      return isDifferent(bucketOf(localUpdate.id))
        ? [localUpdate, ...updates]
        : updates;
    },
    revision: () => revision,
  };
}

/**
 * Returns whether an update supersedes the stored one. Only the member itself
 * raises its sequence, so a live process can always refute a false state and no
 * other member can revive a member that left.
 *
 * @example
 * if (!isNewer(update, storedUpdate)) { return false; }
 */
export function isNewer(
  update: MemberUpdate,
  storedUpdate: MemberUpdate,
): boolean {
  if (update.incarnation !== storedUpdate.incarnation) {
    return update.incarnation > storedUpdate.incarnation;
  }
  if (update.sequence !== storedUpdate.sequence) {
    return update.sequence > storedUpdate.sequence;
  }
  return STATE_RANK[update.state] > STATE_RANK[storedUpdate.state];
}

function bucketOf(id: string): number {
  return hash32(id) % BUCKET_COUNT;
}

function hashOf(update: MemberUpdate): number {
  const state = update.state === 'suspect' ? 'live' : update.state;
  return hash32(
    `${update.id} ${update.incarnation} ${update.sequence} ${state}`,
  );
}

/**
 * Converts a table item to the public `Member` type.
 *
 * @example
 * const members = [...table.all()].map(toMember);
 */
export function toMember(knownMember: KnownMember): Member {
  return buildMember(
    knownMember.update,
    knownMember.machine.state(),
    knownMember.load,
  );
}
