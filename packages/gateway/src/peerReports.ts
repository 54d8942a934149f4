/**
 * What the other entries have said of their use and load, and sums of it for
 * those who do not hear them.
 *
 * Each part of the system has one speaker at a time: an entry for itself, a
 * relay for its failure domain or for all the rest. Two relays that both spoke
 * for a part would count it twice.
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

/** Use and load of one or more entries. */
export interface AggregateReport {
  /** Entries that it covers. */
  readonly entries: number;
  readonly used: Amounts;
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Limits that endpoints have named to them. */
  readonly limits: LimitReports;
  /** Crashes of endpoints that are told now; undefined when there are none. */
  readonly crashes?: CrashReport | undefined;
  readonly work: Readonly<Record<string, WorkRate>>;
  /** What was seen of engines; undefined when it is not to be told now. */
  readonly capacity?: CapacitySums;
  readonly outcomes: Readonly<Record<string, OutcomeSums>>;
}

/** A digest that counts. */
export interface AcceptedReport {
  /** The part of the system that it is about. */
  readonly source: string;
  /** Quota amounts that the part has used since its previous report. */
  readonly increase: Amounts;
}

export interface PeerReports {
  /** Takes a digest; undefined when another speaker is heard for the same part. */
  take(peer: string, digest: Digest): AcceptedReport | undefined;
  /** The own part with what others have said, as far as a receiver of the scope does not hear it elsewhere. */
  aggregateFor(
    scope: DigestScope,
    receiver: string,
    own: AggregateReport,
  ): AggregateReport;
  /** Entries, other than this one, covered by reports that are not overdue. */
  visiblePeers(): number;
  /** Work that the others report for a service. */
  workOf(service: string): WorkRate;
  /** What each other part has seen of engines. */
  capacity(): readonly CapacitySums[];
  /** How callers fare at each other part. */
  outcomes(): readonly Readonly<Record<string, OutcomeSums>>[];
  dump(): unknown;
}

interface SourceState {
  reporter: string;
  receivedAt: number;
  digest: Digest;
  /** As last told: not every digest repeats it. */
  capacity: CapacitySums;
  /** Sum of the increases heard; it never falls when a speaker restarts or changes. */
  readonly used: Record<string, number>;
}

/**
 * Age from which an entry's report is overdue, in milliseconds: two digests are
 * missed. It may be cut off, and both sides would grant from the same quota.
 * Sums of relays come over more hops and are given the whole silence.
 */
export const OVERDUE_MS = 700;

/** Name of the part that a relay speaks of to the entries of its own failure domain. */
const REST = 'the rest';

/**
 * Makes the reports of one entry.
 *
 * @example
 * const taken = reports.take('a2', digest);
 * if (taken !== undefined) { quotas.noteIncrease(taken.increase); }
 */
export function createPeerReports(options: {
  readonly clock: Clock;
  readonly failureDomain: string;
  /** Silence after which a part may get another speaker, in milliseconds. */
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
   * Usage since the speaker's previous report. The first report of a process
   * counts in full when all of it lies within the quota window; otherwise it
   * only sets the base, and so do first sums of a relay, parts of which were
   * heard from its predecessor.
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
