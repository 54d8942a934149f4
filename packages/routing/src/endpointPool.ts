/** The endpoints that an entry uses, with what it knows of each. */
import type {Clock, Random} from '@skylarkfield/base';
import {createCacheView, type CacheView} from './cacheView.js';
import type {Candidate} from './contracts.js';
import {createHealth, type Health} from './health.js';
import {createLoadView, type LoadView} from './loadView.js';
import {pickSubset} from './subset.js';

/** One endpoint and what this entry knows of it. */
export interface KnownEndpoint {
  candidate: Candidate;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly health: Health;
}

export interface EndpointPools {
  setEndpoints(endpoints: readonly Candidate[]): void;
  setEntries(entries: readonly string[]): void;
  markLeaving(endpoint: string): void;
  /** Forgets the mark and all that was known of the old process; the next list brings it. */
  markReturned(endpoint: string): void;
  get(endpoint: string): KnownEndpoint | undefined;
  /** Endpoints that this entry uses for one version of a service. */
  of(service: string, version: string): readonly KnownEndpoint[];
  all(): readonly KnownEndpoint[];
  /** Listed endpoints of a service, of which this entry may use only a part. */
  countListed(service: string): number;
  leaving(): readonly string[];
}

/** An endpoint that leaves. */
interface LeavingMark {
  /** When it was last listed or marked. */
  lastMs: number;
  /** Its host; unknown until it is listed. */
  host: string | undefined;
}

/** How long a mark outlives the endpoint's last listing: far longer than the list lags. */
const LEAVING_MEMORY_MS = 600_000;

/**
 * Makes pools with no endpoint.
 *
 * @example
 * const pools = createEndpointPools({clock, random, self: 'e1', isOwn});
 */
export function createEndpointPools(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: string;
  readonly isOwn: (attempt: string) => boolean;
  /** Tokens that each block of a routing request stands for. */
  readonly blockTokens?: number;
}): EndpointPools {
  const {clock, random, self, isOwn, blockTokens} = options;
  const known = new Map<string, KnownEndpoint>();
  const pools = new Map<string, KnownEndpoint[]>();
  const leaving = new Map<string, LeavingMark>();
  let listed: readonly Candidate[] = [];
  let entries: readonly string[] = [self];

  function poolKey(service: string, version: string): string {
    return `${service} ${version}`;
  }

  function create(candidate: Candidate): KnownEndpoint {
    const health = createHealth({
      clock,
      random,
      recoversByReport: candidate.type === 'plain',
    });
    if (leaving.has(candidate.id)) {
      health.leave();
    }
    return {
      candidate,
      health,
      load: createLoadView({clock, isOwn}),
      cache: createCacheView({clock, ...(blockTokens && {blockTokens})}),
    };
  }

  function pickHeld(): Candidate[] {
    const byService = new Map<string, Candidate[]>();
    for (const candidate of listed) {
      const key = poolKey(candidate.service, candidate.version);
      const group = byService.get(key) ?? [];
      group.push(candidate);
      byService.set(key, group);
    }
    return [...byService.values()].flatMap(group => {
      const ids = group.map(({id}) => id);
      const subset = pickSubset(self, entries, ids);
      // A few entries and many endpoints can leave an entry with none.
      const mine = group.filter(({id}) => subset.has(id));
      return mine.length > 0 ? mine : group;
    });
  }

  function rebuild() {
    const held = pickHeld();
    const ids = new Set(held.map(({id}) => id));
    for (const id of known.keys()) {
      if (!ids.has(id)) {
        known.delete(id);
      }
    }
    pools.clear();
    for (const candidate of held) {
      const present = known.get(candidate.id);
      // The same id on another host is another process: what was known of the
      // old one, its leaving too, says nothing about it.
      const isSame = present?.candidate.host === candidate.host;
      const endpoint = present && isSame ? present : create(candidate);
      endpoint.candidate = candidate;
      known.set(candidate.id, endpoint);
      const key = poolKey(candidate.service, candidate.version);
      const pool = pools.get(key) ?? [];
      pool.push(endpoint);
      pools.set(key, pool);
    }
  }

  function forgetLeft() {
    const nowMs = clock.now();
    for (const {id, host} of listed) {
      const mark = leaving.get(id);
      if (mark === undefined) {
        continue;
      }
      mark.host ??= host;
      mark.lastMs = nowMs;
      if (mark.host !== host) {
        leaving.delete(id);
      }
    }
    for (const [id, {lastMs}] of leaving) {
      if (nowMs - lastMs > LEAVING_MEMORY_MS) {
        leaving.delete(id);
      }
    }
  }

  return {
    setEndpoints(endpoints) {
      listed = endpoints;
      forgetLeft();
      rebuild();
    },
    setEntries(next) {
      entries = next.includes(self) ? next : [...next, self];
      rebuild();
    },
    markLeaving(endpoint) {
      const present = known.get(endpoint);
      const host = present?.candidate.host;
      leaving.set(endpoint, {lastMs: clock.now(), host});
      present?.health.leave();
    },
    markReturned(endpoint) {
      if (leaving.delete(endpoint)) {
        known.delete(endpoint);
      }
    },
    get: endpoint => known.get(endpoint),
    of: (service, version) => pools.get(poolKey(service, version)) ?? [],
    all: () => [...known.values()],
    countListed: service =>
      listed.filter(
        candidate =>
          candidate.service === service && !leaving.has(candidate.id),
      ).length,
    leaving: () => [...leaving.keys()],
  };
}
