/** Chooses and probes endpoints to find out whether paths work. */
import type {Clock} from '@skylarkfield/base';

/** An endpoint that can be probed. */
export interface ProbeTarget {
  readonly id: string;
  readonly failureDomain: string;
}

/** What is known of endpoints from requests and earlier probes. */
export interface ProbeHistory {
  /** Endpoints that have failed since they last sent bytes. */
  readonly failedEndpoints: ReadonlySet<string>;
  /** Monotonic milliseconds of the last probe, by endpoint. */
  readonly probedAt: ReadonlyMap<string, number>;
}

/**
 * Time after which the next endpoint is probed while the last probe is
 * unanswered, in milliseconds; far above a round trip.
 */
const PROBE_STAGGER_MS = 50;

/**
 * Returns at most `maxCount` targets: first one of each failure domain, and in
 * each case those that have not failed before others, and those probed longest
 * ago before others. A single endpoint that responds proves that paths work, so
 * the likeliest come first.
 *
 * @example
 * const targets = pickProbeTargets(endpoints, history, 8);
 */
export function pickProbeTargets(
  endpoints: readonly ProbeTarget[],
  {failedEndpoints, probedAt}: ProbeHistory,
  maxCount: number,
): readonly ProbeTarget[] {
  const failureRank = ({id}: ProbeTarget) => (failedEndpoints.has(id) ? 1 : 0);
  const lastProbeAt = ({id}: ProbeTarget) => probedAt.get(id) ?? 0;
  const ranked = [...endpoints].sort(
    (a, b) =>
      failureRank(a) - failureRank(b) || lastProbeAt(a) - lastProbeAt(b),
  );
  const seenDomains = new Set<string>();
  const firstOfDomains = ranked.filter(({failureDomain}) => {
    const isFirst = !seenDomains.has(failureDomain);
    seenDomains.add(failureDomain);
    return isFirst;
  });
  const others = ranked.filter(target => !firstOfDomains.includes(target));
  return [...firstOfDomains, ...others].slice(0, maxCount);
}

/**
 * Starts probes one by one until one is answered, since a single answer suffices
 * and each probe costs a connection. Returns whether one was.
 *
 * @example
 * const isReached = await probeInTurn(clock, targets, target => probe(target));
 */
export async function probeInTurn(
  clock: Clock,
  targets: readonly ProbeTarget[],
  probe: (target: ProbeTarget) => Promise<boolean>,
): Promise<boolean> {
  const answers: Promise<boolean>[] = [];
  for (const target of targets) {
    const answer = probe(target);
    answers.push(answer);
    if (await settlesTrue(clock, answer)) {
      return true;
    }
  }
  return (await Promise.all(answers)).includes(true);
}

/** Returns whether the promise resolves to true within `PROBE_STAGGER_MS`. */
function settlesTrue(
  clock: Clock,
  promise: Promise<boolean>,
): Promise<boolean> {
  return new Promise(resolve => {
    const timer = clock.after(PROBE_STAGGER_MS, () => resolve(false));
    void promise.then(value => {
      timer.dispose();
      resolve(value);
    });
  });
}
