/** What one entry knows of all others, and the rule by which news replaces news. */
import {hash32, type Clock} from '@skylarkfield/base';
import type {MemberNews} from '@skylarkfield/protocol';
import type {Member} from './contracts.js';
import {
  createMemberMachine,
  type MemberEvent,
  type MemberMachine,
} from './memberMachine.js';
import {viewOf} from './memberView.js';

/** What this entry knows of one other. */
export interface KnownMember {
  news: MemberNews;
  readonly machine: MemberMachine;
  /** Monotonic milliseconds of the last proof of life, direct or by another's word. */
  heardAt: number;
  /** Like `heardAt`, but from itself: what it may tell others when they ask. */
  heardDirectlyAt: number;
  /** Monotonic milliseconds of the last change of state. */
  changedAt: number;
  /** It announced its leaving, so it is not looked for afterwards. */
  hasLeft: boolean;
  load: number;
  readonly bucket: number;
}

/** All the members that this entry knows, by id. */
export interface MemberTable {
  get(id: string): KnownMember | undefined;
  /** All, tombstones of gone ones included. */
  all(): Iterable<KnownMember>;
  /** All that are not gone. */
  present(): readonly KnownMember[];
  /** Takes news in when it is newer than what is known; tells whether it was. */
  apply(news: MemberNews): boolean;
  /** Sends an event to a member's machine; tells whether its state changed. */
  send(known: KnownMember, event: MemberEvent): boolean;
  forget(id: string): void;
  /** One hash for each bucket of members that are not gone, the given one included. */
  bucketsWith(own: MemberNews): readonly number[];
  /** One hash over all, the given one included. */
  digestWith(own: MemberNews): number;
  /** All news of the buckets in which another entry's hashes differ. */
  differing(buckets: readonly number[], own: MemberNews): MemberNews[];
  /** Counts changes of who is in or out, so that what is derived can be kept. */
  revision(): number;
}

/** Enough that one difference among 1,700 members costs about 50 items to reconcile. */
export const BUCKETS = 32;

/** Of news with the same incarnation and sequence, the later in a life wins. */
const STATE_RANK = {live: 0, suspect: 0, leaving: 1, gone: 2} as const;

const EVENT_OF_STATE = {
  live: 'returned',
  suspect: 'returned',
  leaving: 'left',
  gone: 'lost',
} as const;

/**
 * Makes an empty table.
 *
 * @example
 * if (table.apply(news)) { gossip.add(news); }
 */
export function createMemberTable(options: {
  readonly clock: Clock;
  onDidChange(known: KnownMember): void;
}): MemberTable {
  const {clock, onDidChange} = options;
  const members = new Map<string, KnownMember>();
  const buckets = new Array<number>(BUCKETS).fill(0);
  let revision = 0;
  /** Cached digest, valid until the buckets or the own news change. */
  let digest: {readonly own: MemberNews; readonly hash: number} | undefined;

  /** Adds a member's hash to its bucket, or takes it out: XOR does both. */
  function toggleHash(known: KnownMember) {
    if (known.news.state === 'gone') {
      return;
    }
    buckets[known.bucket] = (buckets[known.bucket]! ^ hashOf(known.news)) >>> 0;
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

  function add(news: MemberNews): KnownMember {
    const now = clock.now();
    const known: KnownMember = {
      news,
      machine: createMemberMachine(),
      heardAt: now,
      heardDirectlyAt: -Infinity,
      changedAt: now,
      hasLeft: news.state === 'leaving',
      load: news.load,
      bucket: bucketOf(news.id),
    };
    members.set(news.id, known);
    toggleHash(known);
    revision += 1;
    if (news.state === 'live' || news.state === 'suspect') {
      onDidChange(known);
    } else {
      send(known, EVENT_OF_STATE[news.state]);
    }
    return known;
  }

  function replace(known: KnownMember, news: MemberNews) {
    const isNewProcess = news.incarnation > known.news.incarnation;
    toggleHash(known);
    known.news = news;
    toggleHash(known);
    known.heardAt = clock.now();
    known.load = news.load;
    known.hasLeft =
      news.state === 'leaving' ||
      (known.hasLeft && news.state === 'gone' && !isNewProcess);
    const changed = send(known, EVENT_OF_STATE[news.state]);
    if (!changed && isNewProcess) {
      revision += 1;
      onDidChange(known);
    }
  }

  function bucketsWith(own: MemberNews): readonly number[] {
    const all = [...buckets];
    const at = bucketOf(own.id);
    all[at] = (all[at]! ^ hashOf(own)) >>> 0;
    return all;
  }

  return {
    get: id => members.get(id),
    all: () => members.values(),
    present: () =>
      [...members.values()].filter(known => known.machine.state() !== 'gone'),
    apply(news) {
      const known = members.get(news.id);
      if (known === undefined) {
        add(news);
        return true;
      }
      if (!isNewer(news, known.news)) {
        return false;
      }
      replace(known, news);
      return true;
    },
    send,
    forget(id) {
      const known = members.get(id);
      if (known === undefined) {
        return;
      }
      toggleHash(known);
      members.delete(id);
      revision += 1;
    },
    bucketsWith,
    digestWith(own) {
      if (digest?.own !== own) {
        const hash = bucketsWith(own).reduce(
          (sum, bucket) => hash32(`${sum} ${bucket}`),
          0,
        );
        digest = {own, hash};
      }
      return digest.hash;
    },
    differing(theirs, own) {
      const ours = bucketsWith(own);
      const isDifferent = (bucket: number) => theirs[bucket] !== ours[bucket];
      const found = [...members.values()]
        .filter(known => isDifferent(known.bucket))
        // Who knows nobody of a bucket needs no tombstones of it.
        .filter(known => known.news.state !== 'gone' || theirs[known.bucket])
        .map(known => known.news);
      return isDifferent(bucketOf(own.id)) ? [own, ...found] : found;
    },
    revision: () => revision,
  };
}

/**
 * Whether news replaces what is known. Only the member itself raises its
 * sequence, so a live process can always refute, and nobody else can bring
 * back one that left.
 *
 * @example
 * if (!isNewer(news, known.news)) { return false; }
 */
export function isNewer(news: MemberNews, known: MemberNews): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  if (news.sequence !== known.sequence) {
    return news.sequence > known.sequence;
  }
  return STATE_RANK[news.state] > STATE_RANK[known.state];
}

function bucketOf(id: string): number {
  return hash32(id) % BUCKETS;
}

function hashOf(news: MemberNews): number {
  const state = news.state === 'suspect' ? 'live' : news.state;
  return hash32(`${news.id} ${news.incarnation} ${news.sequence} ${state}`);
}

/**
 * The member as consumers see it.
 *
 * @example
 * const members = [...table.all()].map(toMember);
 */
export function toMember(known: KnownMember): Member {
  return viewOf(known.news, known.machine.state(), known.load);
}
