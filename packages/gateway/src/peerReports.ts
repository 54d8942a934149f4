/**
 * Latest usage and load reports of peers, and aggregates for entries that do
 * not receive those reports.
 *
 * Each source has one reporter at a time: an entry for itself, a relay for its
 * failure domain or for all other entries. Reports of two relays for one source
 * would count it twice.
 */
import type {Clock} from '@skylarkfield/base';
import {
  addCapacity,
  type CapacitySums,
  type OutcomeSums,
  type WorkRate,
} from '@skylarkfield/capacity';
import type {EndpointLoad, Messages} from '@skylarkfield/protocol';
import {
  addLoads,
  mergeReports,
  newestLimits,
  type CrashReport,
  type LimitReports,
} from '@skylarkfield/routing';
import {addWork, NO_WORK} from '@skylarkfield/traffic';
import type {DigestScope} from './relayPlan.js';

type Digest = Messages['digest'];
type Amounts = Readonly<Record<string, number>>;

/** Usage and load of one or more entries. */
export interface AggregateReport {
  /** Number of entries covered. */
  readonly entries: number;
  readonly used: Amounts;
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Request limits announced by endpoints. */
  readonly limits: LimitReports;
  /** Crashes of endpoints to propagate now; undefined if there are none. */
  readonly crashes?: CrashReport | undefined;
  readonly work: Readonly<Record<string, WorkRate>>;
  /** Measurements of engines; undefined if not published this time. */
  readonly capacity?: CapacitySums;
  readonly outcomes: Readonly<Record<string, OutcomeSums>>;
}

/** An accepted digest. */
export interface AcceptedReport {
  /** The entries that the digest covers. */
  readonly source: string;
  /** Quota usage of the source since its previous report. */
  readonly increase: Amounts;
}

export interface PeerReports {
  /**
   * Applies a digest; undefined if another reporter is active for the same
   * source.
   */
  take(peer: string, digest: Digest): AcceptedReport | undefined;
  /**
   * Returns this entry's report combined with those of the sources that a
   * receiver of the scope has no other reports from.
   */
  aggregateFor(
    scope: DigestScope,
    receiver: string,
    own: AggregateReport,
  ): AggregateReport;
  /** Number of other entries covered by reports that are not overdue. */
  visiblePeers(): number;
  /** Returns the work rate of a service reported by the peers. */
  workOf(service: string): WorkRate;
  /** Returns the engine measurements of each source. */
  capacity(): readonly CapacitySums[];
  /** Returns the counts of late requests of each source. */
  outcomes(): readonly Readonly<Record<string, OutcomeSums>>[];
  dump(): unknown;
}

interface SourceState {
  reporter: string;
  receivedAt: number;
  digest: Digest;
  /** Latest value, since not every digest contains it. */
  capacity: CapacitySums;
  /**
   * Sum of the increases; it never falls when a reporter restarts or changes.
   */
  readonly used: Record<string, number>;
}

/**
 * Age at which an entry's report is overdue, in milliseconds: two digests are
 * missed. The entry may be partitioned, and both sides would grant from the
 * same quota. Aggregates of relays take more hops and get the whole peer
 * timeout.
 */
export const OVERDUE_MS = 700;

/**
 * Source name of a relay's reports to the entries of its own failure domain.
 */
const REST = 'the rest';

/**
 * Creates the reports of one entry.
 *
 * @example
 * const taken = reports.take('a2', digest);
 * if (taken !== undefined) { quotas.noteIncrease(taken.increase); }
 */
export function createPeerReports(options: {
  readonly clock: Clock;
  readonly failureDomain: string;
  /**
   * Time without a report after which a source may get another reporter, in
   * milliseconds.
   */
  readonly silenceMs: number;
  /** Window of the quotas, in milliseconds. */
  readonly quotaWindowMs: number;
}): PeerReports {
  const {clock, failureDomain, silenceMs, quotaWindowMs} = options;
  const sources = new Map<string, SourceState>();
  const lastUsed = new Map<string, {incarnation: number; used: Amounts}>();

  function sourceOf(peer: string, digest: Digest): string {
    const names: Readonly<Record<DigestScope, string>> = {
      own: peer,
      domain: `failure domain ${digest.failureDomain ?? ''}`,
      rest: REST,
    };
    return names[digest.scope ?? 'own'];
  }

  function isFresh({receivedAt: heardAt}: SourceState): boolean {
    return clock.now() - heardAt < silenceMs;
  }

  function isOverdue({receivedAt: heardAt, digest}: SourceState): boolean {
    const isOwn = (digest.scope ?? 'own') === 'own';
    return clock.now() - heardAt >= (isOwn ? OVERDUE_MS : silenceMs);
  }

  function freshSources(): SourceState[] {
    return [...sources.values()].filter(isFresh);
  }

  /**
   * Returns usage since the reporter's previous report. The first report of a
   * process counts in full if all of it lies within the quota window. Otherwise
   * it only sets the baseline, as do the first sums of a relay, which its
   * predecessor has partly reported already.
   */
  function increases(peer: string, digest: Digest): Record<string, number> {
    const {incarnation = 0, used, scope = 'own', upMs = Infinity} = digest;
    const key = `${peer} ${scope}`;
    const before = lastUsed.get(key);
    lastUsed.set(key, {incarnation, used});
    if (before === undefined || before.incarnation !== incarnation) {
      const isWhole = scope === 'own' && upMs < quotaWindowMs;
      return isWhole ? {...used} : {};
    }
    return Object.fromEntries(
      Object.entries(used).map(([name, amount]) => [
        name,
        amount - (before.used[name] ?? 0),
      ]),
    );
  }

  function isLocalEntry(source: string, {digest}: SourceState): boolean {
    return (
      source !== REST &&
      (digest.scope ?? 'own') === 'own' &&
      digest.failureDomain === failureDomain
    );
  }

  function sourcesFor(scope: DigestScope, receiver: string): SourceState[] {
    const chosen: Readonly<Record<DigestScope, () => [string, SourceState][]>> =
      {
        own: () => [],
        domain: () =>
          [...sources].filter(([name, source]) => isLocalEntry(name, source)),
        rest: () => [...sources].filter(([name]) => name !== REST),
      };
    return chosen[scope]()
      .filter(([name]) => name !== receiver)
      .map(([, source]) => source);
  }

  return {
    take(peer, digest) {
      const name = sourceOf(peer, digest);
      const increase = increases(peer, digest);
      const source = sources.get(name);
      if (source !== undefined && source.reporter !== peer && isFresh(source)) {
        return undefined;
      }
      const used = source?.used ?? {};
      addAmounts(used, increase);
      const capacity = digest.capacity ?? source?.capacity ?? {};
      sources.set(name, {
        reporter: peer,
        receivedAt: clock.now(),
        digest,
        capacity,
        used,
      });
      return {source: name, increase};
    },
    aggregateFor(scope, receiver, own) {
      const chosen = sourcesFor(scope, receiver);
      const used = {...own.used};
      const loads: Record<string, EndpointLoad> = {...own.loads};
      const work = {...own.work};
      const outcomes = {...own.outcomes};
      let {entries, limits, crashes} = own;
      for (const source of chosen) {
        addAmounts(used, source.used);
        if (isFresh(source)) {
          addLoadsTo(loads, source.digest.loads);
          addWorkRates(work, source.digest.work);
          addOutcomes(outcomes, source.digest.outcomes);
          const sinceMs = clock.now() - source.receivedAt;
          limits = newestLimits(limits, source.digest.limits ?? {}, sinceMs);
          crashes = addCrashes(crashes, source.digest.crashes);
          entries += source.digest.entries ?? 1;
        }
      }
      const sum = {
        entries,
        used,
        loads,
        limits,
        work,
        outcomes,
        ...(crashes && {crashes}),
      };
      if (own.capacity === undefined) {
        return sum;
      }
      const seen = chosen.filter(isFresh).map(({capacity}) => capacity);
      return {...sum, capacity: addCapacity([own.capacity, ...seen])};
    },
    visiblePeers: () =>
      [...sources.values()]
        .filter(source => !isOverdue(source))
        .reduce((sum, {digest}) => sum + (digest.entries ?? 1), 0),
    workOf: service =>
      freshSources().reduce(
        (sum, {digest}) => addWork(sum, digest.work[service] ?? NO_WORK),
        NO_WORK,
      ),
    capacity: () => freshSources().map(({capacity}) => capacity),
    outcomes: () => freshSources().map(({digest}) => digest.outcomes),
    dump: () =>
      Object.fromEntries(
        [...sources].map(([name, source]) => [
          name,
          {
            speaker: source.reporter,
            agoMs: Math.round(clock.now() - source.receivedAt),
            entries: source.digest.entries ?? 1,
          },
        ]),
      ),
  };
}

function addAmounts(to: Record<string, number>, from: Amounts): void {
  for (const [name, amount] of Object.entries(from)) {
    to[name] = (to[name] ?? 0) + amount;
  }
}

function addLoadsTo(
  to: Record<string, EndpointLoad>,
  from: Readonly<Record<string, EndpointLoad>>,
): void {
  for (const [endpoint, load] of Object.entries(from)) {
    const sum = to[endpoint];
    to[endpoint] = sum === undefined ? load : addLoads(sum, load);
  }
}

function addWorkRates(
  to: Record<string, WorkRate>,
  from: Readonly<Record<string, WorkRate>>,
): void {
  for (const [service, work] of Object.entries(from)) {
    to[service] = addWork(to[service] ?? NO_WORK, work);
  }
}

function addCrashes(
  a: CrashReport | undefined,
  b: CrashReport | undefined,
): CrashReport | undefined {
  return a === undefined || b === undefined ? (a ?? b) : mergeReports(a, b);
}

function addOutcomes(
  to: Record<string, OutcomeSums>,
  from: Readonly<Record<string, OutcomeSums>>,
): void {
  for (const [service, {count, late}] of Object.entries(from)) {
    const sum = to[service];
    to[service] = {
      count: (sum?.count ?? 0) + count,
      late: (sum?.late ?? 0) + late,
    };
  }
}
