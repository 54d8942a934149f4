/**
 * Latest usage and load reports of peers, and aggregates of them for entries
 * that do not receive the reports themselves.
 *
 * An origin is the set of entries that a report covers. Each origin has one
 * reporter at a time: an entry reports for itself, a relay for its failure
 * domain or for all other entries. If two relays reported for one origin, its
 * usage would be counted twice.
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
  mergeRateLimitReports,
  type CrashGossip,
  type DepartureReport,
  type RateLimitReports,
} from '@skylarkfield/routing';
import {addWork, ZERO_WORK} from '@skylarkfield/traffic';
import type {DigestScope} from './relayPlan.js';
import {
  addAmounts,
  addCrashes,
  addLoadsTo,
  addOutcomes,
  addWorkRates,
  type AmountsByCustomer,
} from './reportSums.js';

type Digest = Messages['digest'];

/** Usage, load and measurements of one or more entries. */
export interface AggregateReport {
  /** Number of entries that the report covers. */
  readonly entries: number;
  /** Accumulated quota usage by customer. */
  readonly used: AmountsByCustomer;
  /** Load that the entries have placed on each endpoint. */
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Rate limits that endpoints have announced. */
  readonly limits: RateLimitReports;
  /** Endpoints that have announced that they leave, as this entry knows. */
  readonly departures: DepartureReport;
  /** Endpoint crashes to propagate now; undefined if there are none. */
  readonly crashes?: CrashGossip | undefined;
  /** Work rate of each service. */
  readonly work: Readonly<Record<string, WorkRate>>;
  /**
   * Measurements of engines by service; undefined if not part of this report.
   */
  readonly capacity?: CapacityStats;
  /** Counts of all requests and of late requests, by service. */
  readonly outcomes: Readonly<Record<string, OutcomeCounts>>;
}

/** Result of accepting a digest. */
export interface AcceptedReport {
  /** Name of the set of entries that the digest covers. */
  readonly origin: string;
  /** Quota usage of the origin by customer, since the previous report. */
  readonly increase: AmountsByCustomer;
}

export interface PeerReports {
  /**
   * Applies a digest; undefined if its origin has another active reporter.
   * `sentAtMs`: a time before it was sent, in monotonic milliseconds of this
   * entry; the time of its receipt if absent.
   */
  acceptDigest(
    peer: string,
    digest: Digest,
    sentAtMs?: number,
  ): AcceptedReport | undefined;
  /**
   * Returns this entry's report combined with the reports of all origins from
   * which the receiver gets no other reports.
   */
  aggregateFor(
    scope: DigestScope,
    receiver: string,
    ownReport: AggregateReport,
  ): AggregateReport;
  /** Returns the number of other entries whose reports are not overdue. */
  visiblePeerCount(): number;
  /**
   * Returns the age of the oldest report that is not overdue, in milliseconds;
   * 0 without such reports.
   */
  oldestReportAgeMs(): number;
  /**
   * Returns an upper bound of the time since the known usage of an entry was up
   * to date, in milliseconds; `Infinity` if it has not been reported.
   */
  reportAgeMs(entry: string, entryDomain: string): number;
  /** Whether an entry that sent digests to this entry has stopped to. */
  isSilent(entry: string): boolean;
  /** Returns the work rate of a service, summed over the reports of peers. */
  peerWorkRate(service: string): WorkRate;
  /** Returns the engine measurements of each origin. */
  capacity(): readonly CapacityStats[];
  /** Returns the counts of all and of late requests, for each origin. */
  outcomes(): readonly Readonly<Record<string, OutcomeCounts>>[];
  dump(): unknown;
}

interface OriginState {
  reporter: string;
  receivedAt: number;
  /** A time before the report was sent, in monotonic milliseconds. */
  sentAt: number;
  digest: Digest;
  /** Latest engine measurements; not every digest contains them. */
  capacity: CapacityStats;
  /**
   * Accumulated quota usage of the origin by customer: the sum of the increases
   * between digests. Unlike the usage in a digest, it does not fall if the
   * origin's reporter restarts or is replaced.
   */
  readonly used: Record<string, number>;
}

/**
 * Age at which an entry's report of itself is overdue, in milliseconds: two
 * digests are missing. The entry may be separated by a partition, and both
 * sides of the partition would grant from the same quota. Aggregates of relays
 * take more hops and are overdue only after the whole peer timeout.
 */
export const OVERDUE_MS = 700;

/**
 * Origin of the reports that a relay sends to the entries of its own failure
 * domain: all other entries.
 */
const REST_ORIGIN = 'the rest';

/**
 * Creates the peer reports of one entry.
 *
 * @example
 * const accepted = reports.acceptDigest('a2', digest);
 * if (accepted) { quotas.recordPeerUsage(accepted.increase); }
 */
export function createPeerReports(options: {
  readonly clock: Clock;
  readonly failureDomain: string;
  /**
   * Time without reports after which a reporter may be replaced, in
   * milliseconds.
   */
  readonly reporterTimeoutMs: number;
  /** Length of the quota window, in milliseconds. */
  readonly quotaWindowMs: number;
}): PeerReports {
  const {clock, failureDomain, reporterTimeoutMs, quotaWindowMs} = options;
  const origins = new Map<string, OriginState>();
  /** Time of the last digest from each entry, in monotonic milliseconds. */
  const lastReceivedAt = new Map<string, number>();
  const previousUsageByReporter = new Map<
    string,
    {incarnation: number; used: AmountsByCustomer}
  >();

  function originOf(peer: string, digest: Digest): string {
    const originByScope: Readonly<Record<DigestScope, string>> = {
      own: peer,
      domain: domainOrigin(digest.failureDomain ?? ''),
      rest: REST_ORIGIN,
    };
    return originByScope[digest.scope ?? 'own'];
  }

  function domainOrigin(domain: string): string {
    return `failure domain ${domain}`;
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
   * Returns the usage since the reporter's previous report. The first report of
   * a process counts in full if the process started within the quota window.
   * Any other first report only sets the baseline for the next report: the
   * previous relay has already reported part of the sums in a relay's first
   * report.
   */
  function recordUsageIncrease(
    peer: string,
    digest: Digest,
  ): Record<string, number> {
    const {incarnation = 0, used, scope = 'own', upMs = Infinity} = digest;
    const key = `${peer} ${scope}`;
    const previous = previousUsageByReporter.get(key);
    previousUsageByReporter.set(key, {incarnation, used});
    if (previous === undefined || previous.incarnation !== incarnation) {
      const isCountedInFull = scope === 'own' && upMs < quotaWindowMs;
      return isCountedInFull ? {...used} : {};
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
    const originsByScope: Readonly<
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
    return originsByScope[scope]()
      .filter(([originName]) => originName !== receiver)
      .map(([, origin]) => origin);
  }

  return {
    acceptDigest(peer, digest, sentAtMs = clock.now()) {
      lastReceivedAt.set(peer, clock.now());
      const originName = originOf(peer, digest);
      const increase = recordUsageIncrease(peer, digest);
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
        sentAt: sentAtMs,
        digest,
        capacity,
        used,
      });
      return {origin: originName, increase};
    },
    aggregateFor(scope, receiver, ownReport) {
      const selectedOrigins = originsFor(scope, receiver);
      const used = {...ownReport.used};
      const loads: Record<string, EndpointLoad> = {...ownReport.loads};
      const work = {...ownReport.work};
      const outcomes = {...ownReport.outcomes};
      const {departures} = ownReport;
      let {entries, limits, crashes} = ownReport;
      for (const origin of selectedOrigins) {
        addAmounts(used, origin.used);
        if (isFresh(origin)) {
          addLoadsTo(loads, origin.digest.loads);
          addWorkRates(work, origin.digest.work);
          addOutcomes(outcomes, origin.digest.outcomes);
          const reportAgeMs = clock.now() - origin.receivedAt;
          limits = mergeRateLimitReports(
            limits,
            origin.digest.limits ?? {},
            reportAgeMs,
          );
          crashes = addCrashes(crashes, origin.digest.crashes);
          entries += origin.digest.entries ?? 1;
        }
      }
      const aggregate = {
        entries,
        used,
        loads,
        limits,
        departures,
        work,
        outcomes,
        ...(crashes && {crashes}),
      };
      if (ownReport.capacity === undefined) {
        return aggregate;
      }
      const freshCapacities = selectedOrigins
        .filter(isFresh)
        .map(({capacity}) => capacity);
      return {
        ...aggregate,
        capacity: addCapacityStats([ownReport.capacity, ...freshCapacities]),
      };
    },
    visiblePeerCount: () =>
      [...origins.values()]
        .filter(origin => !isOverdue(origin))
        .reduce((sum, {digest}) => sum + (digest.entries ?? 1), 0),
    oldestReportAgeMs: () =>
      [...origins.values()]
        .filter(origin => !isOverdue(origin))
        .reduce(
          (oldest, {receivedAt}) => Math.max(oldest, clock.now() - receivedAt),
          0,
        ),
    isSilent(entry) {
      const rest = origins.get(REST_ORIGIN);
      const receivedAt = lastReceivedAt.get(entry);
      // Behind a relay, an entry does not hear the others itself.
      return (
        receivedAt !== undefined &&
        clock.now() - receivedAt >= reporterTimeoutMs &&
        (rest === undefined || !isFresh(rest))
      );
    },
    reportAgeMs(entry, entryDomain) {
      const origin =
        origins.get(entry) ??
        origins.get(domainOrigin(entryDomain)) ??
        origins.get(REST_ORIGIN);
      if (origin === undefined) {
        return Infinity;
      }
      // A relay's report of others is as old as the reports that it got.
      const relayMs = origin.reporter === entry ? 0 : reporterTimeoutMs;
      return clock.now() - origin.sentAt + relayMs;
    },
    peerWorkRate: service =>
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
