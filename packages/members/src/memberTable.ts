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

/** State that this entry holds about another member. */
export interface KnownMember {
  /** Most recent update of the member. */
  update: MemberUpdate;
  readonly machine: MemberMachine;
  /** Monotonic milliseconds of the last sign of life, direct or via a peer. */
  lastSeenAt: number;
  /** Like `lastSeenAt`, but direct only; reported to peers on request. */
  lastSeenDirectlyAt: number;
  /** Monotonic milliseconds of the last state change. */
  changedAt: number;
  /** It announced its departure, so no reconnection is attempted. */
  hasLeft: boolean;
  load: number;
  readonly bucket: number;
}

/** Other members known to this entry, by id. */
export interface MemberTable {
  get(id: string): KnownMember | undefined;
  /** All members, including tombstones of those that are gone. */
  all(): Iterable<KnownMember>;
  /** Members that are not gone. */
  present(): readonly KnownMember[];
  /** Applies an update if newer than the stored one; returns if it was. */
  apply(update: MemberUpdate): boolean;
  /** Sends an event to a member's machine; returns whether it changed state. */
  send(known: KnownMember, event: MemberEvent): boolean;
  remove(id: string): void;
  /** Hash of each bucket over members not gone and the local member. */
  bucketHashesWith(localUpdate: MemberUpdate): readonly number[];
  /** Hash over all buckets, including the local member. */
  digestWith(localUpdate: MemberUpdate): number;
  /** Updates of all buckets whose hash differs from the peer's. */
  differingUpdates(
    peerHashes: readonly number[],
    localUpdate: MemberUpdate,
  ): MemberUpdate[];
  /** Number of membership changes so far; lets callers cache values. */
  revision(): number;
}

/**
 * Number of buckets in which member tables are compared. A bucket that differs
 * is sent whole: about 50 updates with 1,700 members.
 */
export const BUCKET_COUNT = 32;

/** Precedence of states between updates of equal incarnation and sequence. */
const STATE_RANK = {live: 0, suspect: 0, leaving: 1, gone: 2} as const;

const EVENT_BY_STATE = {
  live: 'returned',
  suspect: 'returned',
  leaving: 'left',
  gone: 'lost',
} as const;

/**
 * Creates an empty table.
 *
 * @example
 * if (table.apply(update)) { gossip.add(update); }
 */
export function createMemberTable(options: {
  readonly clock: Clock;
  onDidChange(known: KnownMember): void;
}): MemberTable {
  const {clock, onDidChange} = options;
  const members = new Map<string, KnownMember>();
  const bucketHashes = new Array<number>(BUCKET_COUNT).fill(0);
  let revision = 0;
  /** Cached digest, valid until the buckets or the local update change. */
  let digest:
    | {readonly localUpdate: MemberUpdate; readonly hash: number}
    | undefined;

  /** Adds a member's hash to its bucket or removes it; XOR does both. */
  function toggleHash(known: KnownMember) {
    if (known.update.state === 'gone') {
      return;
    }
    bucketHashes[known.bucket] =
      (bucketHashes[known.bucket]! ^ hashOf(known.update)) >>> 0;
    digest = undefined;
  }

  function send(known: KnownMember, event: MemberEvent): boolean {
    const before = known.machine.state();
    known.machine.send(event);
    if (known.machine.state() === before) {
      return false;
    }
    known.changedAt = clock.now();
    revision += 1;
    onDidChange(known);
    return true;
  }

  function add(update: MemberUpdate): KnownMember {
    const now = clock.now();
    const known: KnownMember = {
      update,
      machine: createMemberMachine(),
      lastSeenAt: now,
      lastSeenDirectlyAt: -Infinity,
      changedAt: now,
      hasLeft: update.state === 'leaving',
      load: update.load,
      bucket: bucketOf(update.id),
    };
    members.set(update.id, known);
    toggleHash(known);
    revision += 1;
    if (update.state === 'live' || update.state === 'suspect') {
      onDidChange(known);
    } else {
      send(known, EVENT_BY_STATE[update.state]);
    }
    return known;
  }

  function replace(known: KnownMember, update: MemberUpdate) {
    const isNewProcess = update.incarnation > known.update.incarnation;
    toggleHash(known);
    known.update = update;
    toggleHash(known);
    known.lastSeenAt = clock.now();
    known.load = update.load;
    known.hasLeft =
      update.state === 'leaving' ||
      (known.hasLeft && update.state === 'gone' && !isNewProcess);
    const hasChanged = send(known, EVENT_BY_STATE[update.state]);
    if (!hasChanged && isNewProcess) {
      revision += 1;
      onDidChange(known);
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
    present: () =>
      [...members.values()].filter(known => known.machine.state() !== 'gone'),
    apply(update) {
      const known = members.get(update.id);
      if (known === undefined) {
        add(update);
        return true;
      }
      if (!isNewer(update, known.update)) {
        return false;
      }
      replace(known, update);
      return true;
    },
    send,
    remove(id) {
      const known = members.get(id);
      if (known === undefined) {
        return;
      }
      toggleHash(known);
      members.delete(id);
      revision += 1;
    },
    bucketHashesWith,
    digestWith(localUpdate) {
      if (digest?.localUpdate !== localUpdate) {
        const hash = bucketHashesWith(localUpdate).reduce(
          (sum, bucket) => hash32(`${sum} ${bucket}`),
          0,
        );
        digest = {localUpdate, hash};
      }
      return digest.hash;
    },
    differingUpdates(peerHashes, localUpdate) {
      const localHashes = bucketHashesWith(localUpdate);
      const isDifferent = (bucket: number) =>
        peerHashes[bucket] !== localHashes[bucket];
      const updates = [...members.values()]
        .filter(known => isDifferent(known.bucket))
        // A peer whose bucket is empty needs no tombstones for it.
        .filter(
          known => known.update.state !== 'gone' || peerHashes[known.bucket],
        )
        .map(known => known.update);
      return isDifferent(bucketOf(localUpdate.id))
        ? [localUpdate, ...updates]
        : updates;
    },
    revision: () => revision,
  };
}

/**
 * Returns whether an update supersedes the known one. Only the member itself
 * raises its sequence, so a live process can always refute a false state and no
 * other member can revive one that left.
 *
 * @example
 * if (!isNewer(update, known.update)) { return false; }
 */
export function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.sequence !== known.sequence) {
    return update.sequence > known.sequence;
  }
  return STATE_RANK[update.state] > STATE_RANK[known.state];
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
export function toMember(known: KnownMember): Member {
  return buildMember(known.update, known.machine.state(), known.load);
}
