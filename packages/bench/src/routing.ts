/** Compares recomputed tokens and first-token latency of routing policies. */
import {quantileSorted} from 'simple-statistics';
import {policies, type PolicyName} from './routing/policies.js';
import {replayWorkload, type RoutingReplayResult} from './routing/replay.js';
import {workloads, type Workload} from './routing/workloads.js';
import {measureDecisionTime} from './routing/decisionTime.js';

const DEFAULT_SECONDS = 90;

/** Results of one policy on one workload. */
interface PolicyFigures {
  readonly requests: number;
  readonly prefilledTokens: number;
  /** Tokens computed although some replica had computed them before. */
  readonly recomputedTokens: number;
  /** Cached prompt tokens divided by those of one unlimited shared cache. */
  readonly shareOfBound: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  /** Requests of the busiest replica divided by the mean per replica. */
  readonly busiest: number;
}

/**
 * Measures every policy on both workloads, with the same sessions for each
 * policy.
 *
 * @example
 * const result = await measureRouting({seed: 101});
 */
export async function measureRouting(options: {
  readonly seed: number;
  readonly seconds?: number;
}): Promise<object> {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const users = Object.fromEntries(
    workloads.map(workload => [
      workload.name,
      measureWorkload(workload, options.seed, seconds),
    ]),
  );
  return {seed: options.seed, seconds, users, decisions: measureDecisionTime()};
}

function measureWorkload(workload: Workload, seed: number, seconds: number) {
  const names = Object.keys(policies) as PolicyName[];
  const figures = Object.fromEntries(
    names.map(policy => [
      policy,
      summarize(replayWorkload({workload, policy, seed, seconds})),
    ]),
  ) as Record<PolicyName, PolicyFigures>;
  const baselines = names
    .filter(name => name !== 'skylarkfield')
    .map(name => figures[name]);
  const skylarkfield = figures.skylarkfield;
  const minRecomputedTokens = Math.min(
    ...baselines.map(item => item.recomputedTokens),
  );
  const minFirstTokenP95Ms = Math.min(
    ...baselines.map(item => item.firstTokenP95Ms),
  );
  return {
    policies: figures,
    recomputedMoreThanBestPlain:
      skylarkfield.recomputedTokens - minRecomputedTokens,
    firstTokenP95AgainstBestPlain: round(
      skylarkfield.firstTokenP95Ms / minFirstTokenP95Ms,
      3,
    ),
  };
}

function summarize(result: RoutingReplayResult): PolicyFigures {
  const sortedFirstTokenMs = [...result.firstTokenMs].sort((a, b) => a - b);
  const cachedTokens = result.promptTokens - result.prefilledTokens;
  const maxCachedTokens = result.promptTokens - result.boundTokens;
  return {
    requests: result.requests,
    prefilledTokens: result.prefilledTokens,
    recomputedTokens: result.prefilledTokens - result.boundTokens,
    shareOfBound: round(cachedTokens / maxCachedTokens, 4),
    firstTokenP50Ms: round(quantileSorted(sortedFirstTokenMs, 0.5), 1),
    firstTokenP95Ms: round(quantileSorted(sortedFirstTokenMs, 0.95), 1),
    busiest: round(result.busiest, 2),
  };
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
