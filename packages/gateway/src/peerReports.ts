/**
 * Latest usage and load reports of peers, and aggregates for entries that do
 * not receive those reports.
 *
 * Each origin has one reporter at a time: an entry for itself, a relay for its
 * failure domain or for all other entries. Reports of two relays for one origin
 * would count it twice.
 */
import type {Clock} from '@skylarkfield/base';
import {
  addCapacityStats,
  type CapacityStats,
  type OutcomeCounts,
  type WorkRate,
} from '@skylarkfield/capacity';
import type {EndpointLoad, Messages} from '@skylarkfield/protocol';
import {
  addLoads,
  mergeCrashReports,
  mergeRateLimitReports,
  type CrashReport,
  type RateLimitReports,
} from '@skylarkfield/routing';
import {addWork, ZERO_WORK} from '@skylarkfield/traffic';
import type {DigestScope} from './relayPlan.js';

type Digest = Messages['digest'];
type Amounts = Readonly<Record<string, number>>;

/** Usage and load of one or more entries. */
export interface AggregateReport {
  /** Number of entries covered. */
  readonly entries: number;
  readonly used: Amounts;
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Rate limits announced by endpoints. */
  readonly limits: RateLimitReports;
  /** Crashes of endpoints to propagate now; undefined if there are none. */
  readonly crashes?: CrashReport | undefined;
  readonly work: Readonly<Record<string, WorkRate>>;
  /** Measurements of engines; undefined if not published this time. */
  readonly capacity?: CapacityStats;
  readonly outcomes: Readonly<Record<string, OutcomeCounts>>;
}

/** An accepted digest. */
export interface AcceptedReport {
  /** The entries that the digest covers. */
  readonly origin: string;
  /** Quota usage of the origin since its previous report. */
  readonly increase: Amounts;
}

export interface PeerReports {
  /** Applies a digest; undefined if the origin has another active reporter. */
  accept(peer: string, digest: Digest): AcceptedReport | undefined;
  /**
   * Returns this entry's report combined with those of the origins that a
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
  /** Returns the engine measurements of each origin. */
  capacity(): readonly CapacityStats[];
  /** Returns the counts of late requests of each origin. */
  outcomes(): readonly Readonly<Record<string, OutcomeCounts>>[];
  dump(): unknown;
}

interface OriginState {
  reporter: string;
  receivedAt: number;
  digest: Digest;
  /** Latest value, since not every digest contains it. */
  capacity: CapacityStats;
  /** Sum of the increases; never falls when a reporter restarts or changes. */
  readonly used: Record<string, number>;
}

/**
 * Age at which an entry's report is overdue, in milliseconds: two digests are
 * missed. The entry may be partitioned, and both sides would grant from the
 * same quota. Aggregates of relays take more hops and get the whole peer
 * timeout.
 */
export const OVERDUE_MS = 700;

/** Origin of a relay's reports to the entries of its own failure domain. */
const REST_ORIGIN = 'the rest';

/**
 * Creates the reports of one entry.
 *
 * @example
 * const accepted = reports.accept('a2', digest);
 * if (accepted) { quotas.addPeerUsage(accepted.increase); }
 */
export function createPeerReports(options: {
  readonly clock: Clock;
  readonly failureDomain: string;
  /** Time until a silent reporter may be replaced, in milliseconds. */
  readonly reporterTimeoutMs: number;
  /** Window of the quotas, in milliseconds. */
  readonly quotaWindowMs: number;
}): PeerReports {
  const {clock, failureDomain, reporterTimeoutMs, quotaWindowMs} = options;
  const origins = new Map<string, OriginState>();
  const lastUsed = new Map<string, {incarnation: number; used: Amounts}>();

  function originOf(peer: string, digest: Digest): string {
    const names: Readonly<Record<DigestScope, string>> = {
      own: peer,
      domain: `failure domain ${digest.failureDomain ?? ''}`,
      rest: REST_ORIGIN,
    };
    return names[digest.scope ?? 'own'];
  }

  function isFresh({receivedAt}: OriginState): boolean {
    return clock.now() - receivedAt < reporterTimeoutMs;
  }

  function isOverdue({receivedAt, digest}: OriginState): boolean {
    const isOwn = (digest.scope ?? 'own') === 'own';
    return clock.now() - receivedAt >= (isOwn ? OVERDUE_MS : reporterTimeoutMs);
  }

  function freshOrigins(): OriginState[] {
    return [...origins.values()].filter(isFresh);
  }

  /**
   * Returns usage since the reporter's previous report. The first report of a
   * process counts in full if the process started within the quota window. Any
   * other first report only sets the baseline: the previous relay has already
   * reported part of a relay's first sums.
   */
  function increases(peer: string, digest: Digest): Record<string, number> {
    const {incarnation = 0, used, scope = 'own', upMs = Infinity} = digest;
    const key = `${peer} ${scope}`;
    const previous = lastUsed.get(key);
    lastUsed.set(key, {incarnation, used});
    if (previous === undefined || previous.incarnation !== incarnation) {
      const isWhole = scope === 'own' && upMs < quotaWindowMs;
      return isWhole ? {...used} : {};
    }
    return Object.fromEntries(
      Object.entries(used).map(([customer, amount]) => [
        customer,
        amount - (previous.used[customer] ?? 0),
      ]),
    );
  }

  function isLocalEntry(origin: string, {digest}: OriginState): boolean {
    return (
      origin !== REST_ORIGIN &&
      (digest.scope ?? 'own') === 'own' &&
      digest.failureDomain === failureDomain
    );
  }

  function originsFor(scope: DigestScope, receiver: string): OriginState[] {
    const selected: Readonly<
      Record<DigestScope, () => [string, OriginState][]>
    > = {
      own: () => [],
      domain: () =>
        [...origins].filter(([originName, origin]) =>
          isLocalEntry(originName, origin),
        ),
      rest: () =>
        [...origins].filter(([originName]) => originName !== REST_ORIGIN),
    };
    return selected[scope]()
      .filter(([originName]) => originName !== receiver)
      .map(([, origin]) => origin);
  }

  return {
    accept(peer, digest) {
      const originName = originOf(peer, digest);
      const increase = increases(peer, digest);
      const origin = origins.get(originName);
      if (origin !== undefined && origin.reporter !== peer && isFresh(origin)) {
        return undefined;
      }
      const used = origin?.used ?? {};
      addAmounts(used, increase);
      const capacity = digest.capacity ?? origin?.capacity ?? {};
      origins.set(originName, {
        reporter: peer,
        receivedAt: clock.now(),
        digest,
        capacity,
        used,
      });
      return {origin: originName, increase};
    },
    aggregateFor(scope, receiver, own) {
      const selected = originsFor(scope, receiver);
      const used = {...own.used};
      const loads: Record<string, EndpointLoad> = {...own.loads};
      const work = {...own.work};
      const outcomes = {...own.outcomes};
      let {entries, limits, crashes} = own;
      for (const origin of selected) {
        addAmounts(used, origin.used);
        if (isFresh(origin)) {
          addLoadsTo(loads, origin.digest.loads);
          addWorkRates(work, origin.digest.work);
          addOutcomes(outcomes, origin.digest.outcomes);
          const sinceMs = clock.now() - origin.receivedAt;
          limits = mergeRateLimitReports(
            limits,
            origin.digest.limits ?? {},
            sinceMs,
          );
          crashes = addCrashes(crashes, origin.digest.crashes);
          entries += origin.digest.entries ?? 1;
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
      const freshCapacities = selected
        .filter(isFresh)
        .map(({capacity}) => capacity);
      return {
        ...sum,
        capacity: addCapacityStats([own.capacity, ...freshCapacities]),
      };
    },
    visiblePeers: () =>
      [...origins.values()]
        .filter(origin => !isOverdue(origin))
        .reduce((sum, {digest}) => sum + (digest.entries ?? 1), 0),
    workOf: service =>
      freshOrigins().reduce(
        (sum, {digest}) => addWork(sum, digest.work[service] ?? ZERO_WORK),
        ZERO_WORK,
      ),
    capacity: () => freshOrigins().map(({capacity}) => capacity),
    outcomes: () => freshOrigins().map(({digest}) => digest.outcomes),
    dump: () =>
      Object.fromEntries(
        [...origins].map(([originName, origin]) => [
          originName,
          {
            speaker: origin.reporter,
            agoMs: Math.round(clock.now() - origin.receivedAt),
            entries: origin.digest.entries ?? 1,
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
    to[service] = addWork(to[service] ?? ZERO_WORK, work);
  }
}

function addCrashes(
  a: CrashReport | undefined,
  b: CrashReport | undefined,
): CrashReport | undefined {
  return a === undefined || b === undefined
    ? (a ?? b)
    : mergeCrashReports(a, b);
}

function addOutcomes(
  to: Record<string, OutcomeCounts>,
  from: Readonly<Record<string, OutcomeCounts>>,
): void {
  for (const [service, {count, late}] of Object.entries(from)) {
    const sum = to[service];
    to[service] = {
      count: (sum?.count ?? 0) + count,
      late: (sum?.late ?? 0) + late,
    };
  }
}
