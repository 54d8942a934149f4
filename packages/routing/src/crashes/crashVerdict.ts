/** Verdicts on suspects of crashes, by the crashes that are known. */
import type {CountedCrash} from './crashEvidence.js';
import {suspectKindOf, type SuspectKind} from './crashSuspects.js';

/** Whether a request may be forwarded to an endpoint. */
export type QuarantineVerdict =
  | {readonly type: 'clear'}
  /** Too few endpoints crashed under the request to quarantine it. */
  | {readonly type: 'suspected'; readonly crashes: number}
  /** The quarantine has ended, and this entry may forward the request once. */
  | {readonly type: 'trial'; readonly crashes: number}
  | {
      readonly type: 'quarantined';
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

/** What is known of one suspect. */
export interface CrashHistory {
  readonly suspect: string;
  /** Crashes since its last complete response, in the order of their times. */
  readonly crashes: readonly CountedCrash[];
  /** Wall-clock milliseconds of its last complete response; -Infinity if none. */
  readonly servedAtMs: number;
}

/** Rules for suspects of one kind. */
interface QuarantineRules {
  /** Returns the weight of a crash. */
  weigh(crash: CountedCrash): number;
  /** Weight of the crashes that a quarantine takes, and their incidents. */
  readonly threshold: number;
  readonly minIncidents: number;
  /** Whether it runs where it takes few other requests along. */
  readonly isIsolated: boolean;
}

/** Lifetime of crash evidence in milliseconds. */
export const CRASH_TTL_MS = 3_600_000;

/**
 * Milliseconds within which crashes count as one incident: they may have a
 * common cause other than the suspect, such as the loss of a failure domain.
 */
const INCIDENT_MS = 1_000;

/**
 * Minimum weight of a crash under a prompt part that was never served. Five
 * crashes suffice, however many other requests are lost.
 */
const MIN_UNSERVED_WEIGHT = 0.6;

/**
 * Rounding errors of a sum of weights must not take one more crash to reach the
 * threshold.
 */
const WEIGHT_TOLERANCE = 1e-9;

/**
 * Milliseconds of quarantine after the last crash, by number of incidents. A
 * single incident is weak evidence; each end of a quarantine costs a trial, which
 * may crash one more endpoint.
 */
const QUARANTINE_MS = [10_000, 60_000, CRASH_TTL_MS] as const;

const REQUEST_RULES: QuarantineRules = {
  weigh: () => 1,
  threshold: 3,
  minIncidents: 1,
  isIsolated: true,
};

/**
 * A request that has had complete responses, which callers may repeat often. It
 * takes as many crashes as such a part.
 */
const SERVED_REQUEST_RULES: QuarantineRules = {
  ...REQUEST_RULES,
  weigh: ({weight}) => weight,
  threshold: 5,
  minIncidents: 3,
};

const UNSERVED_PART_RULES: QuarantineRules = {
  weigh: ({weight}) => Math.max(MIN_UNSERVED_WEIGHT, weight),
  threshold: 3,
  minIncidents: 1,
  isIsolated: true,
};

/**
 * A part that has had complete responses runs on many endpoints at once, so
 * crashes of another cause meet it more often.
 */
const SERVED_PART_RULES: QuarantineRules = {
  weigh: ({weight}) => weight,
  threshold: 5,
  minIncidents: 3,
  isIsolated: false,
};

const rulesByKind: Readonly<
  Record<
    SuspectKind,
    {readonly served: QuarantineRules; readonly unserved: QuarantineRules}
  >
> = {
  request: {served: SERVED_REQUEST_RULES, unserved: REQUEST_RULES},
  'prompt-part': {served: SERVED_PART_RULES, unserved: UNSERVED_PART_RULES},
};

function rulesFor(
  {suspect, servedAtMs}: CrashHistory,
  nowMs: number,
): QuarantineRules {
  const {served, unserved} = rulesByKind[suspectKindOf(suspect)];
  return nowMs - servedAtMs < CRASH_TTL_MS ? served : unserved;
}

/** Returns the weight of all crashes that is missing for a quarantine. */
function missingWeight(history: CrashHistory, rules: QuarantineRules): number {
  return history.crashes.reduce(
    (missing, crash) => missing - rules.weigh(crash),
    rules.threshold - WEIGHT_TOLERANCE,
  );
}

/**
 * Returns whether a suspect has crashed enough endpoints for a quarantine.
 *
 * @example
 * if (isOverThreshold(history, wallMs())) { quarantine(history.suspect); }
 */
export function isOverThreshold(history: CrashHistory, nowMs: number): boolean {
  const rules = rulesFor(history, nowMs);
  return (
    missingWeight(history, rules) <= 0 &&
    countIncidents(history.crashes) >= rules.minIncidents
  );
}

/**
 * Returns whether one more crash may put a suspect in quarantine, or it is.
 *
 * @example
 * if (isNearThreshold(history, wallMs())) { log(history.suspect); }
 */
export function isNearThreshold(history: CrashHistory, nowMs: number): boolean {
  return missingWeight(history, rulesFor(history, nowMs)) <= 1;
}

/**
 * Returns whether a suspect is to run where it takes few other requests along.
 * A part that many sound requests have is not.
 *
 * @example
 * if (isSuspicious(history, wallMs())) { return leastLoaded(endpoints); }
 */
export function isSuspicious(history: CrashHistory, nowMs: number): boolean {
  return history.crashes.length > 0 && rulesFor(history, nowMs).isIsolated;
}

/**
 * Returns the remaining milliseconds of a quarantine; 0 or less if it has ended.
 *
 * @example
 * const retryAfterMs = remainingQuarantineMs(history, wallMs());
 */
export function remainingQuarantineMs(
  {crashes}: CrashHistory,
  nowMs: number,
): number {
  const incidents = Math.max(1, countIncidents(crashes));
  const index = Math.min(incidents, QUARANTINE_MS.length) - 1;
  const lastCrashMs = crashes.at(-1)?.atMs ?? -Infinity;
  return lastCrashMs + QUARANTINE_MS[index]! - nowMs;
}

/**
 * Counts the incidents among crashes in the order of their times.
 *
 * @example
 * countIncidents([{atMs: 0}, {atMs: 200}, {atMs: 1_500}]); // 2
 */
export function countIncidents(
  crashes: readonly Pick<CountedCrash, 'atMs'>[],
): number {
  let incidents = 0;
  let incidentStartMs = -Infinity;
  for (const {atMs} of crashes) {
    if (atMs - incidentStartMs >= INCIDENT_MS) {
      incidents += 1;
      incidentStartMs = atMs;
    }
  }
  return incidents;
}

/** Severity of verdicts; the most severe one of its suspects is a request's. */
const SEVERITY: Readonly<Record<QuarantineVerdict['type'], number>> = {
  clear: 0,
  suspected: 1,
  trial: 2,
  quarantined: 3,
};

/**
 * Returns the more severe of two verdicts; of two quarantines the longer one.
 *
 * @example
 * const verdict = verdicts.reduce(moreSevere, {type: 'clear'});
 */
export function moreSevere(
  a: QuarantineVerdict,
  b: QuarantineVerdict,
): QuarantineVerdict {
  if (a.type === 'quarantined' && b.type === 'quarantined') {
    return b.retryAfterMs > a.retryAfterMs ? b : a;
  }
  return SEVERITY[b.type] > SEVERITY[a.type] ? b : a;
}
