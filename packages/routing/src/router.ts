/** Chooses endpoints by the load that this entry has placed on them. */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import type {Candidate, Choice, Journey, Router} from './contracts.js';

export interface RouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** The failure domain of this entry. */
  readonly failureDomain: string;
  /** Id of this entry. */
  readonly self: string;
}

/**
 * Makes a router that knows no endpoint yet.
 *
 * @example
 * const router = createRouter({clock, random, decisions, failureDomain: 'a', self: 'e1'});
 * router.setEndpoints(candidates);
 * const choice = router.choose(journey);
 */
export function createRouter(options: RouterOptions): Router {
  const {random} = options;
  let endpoints: readonly Candidate[] = [];
  const leaving = new Set<string>();
  const outstanding = new Map<string, number>();
  const slots = new Map<string, number>();

  function change(endpoint: string, by: number) {
    outstanding.set(endpoint, (outstanding.get(endpoint) ?? 0) + by);
  }

  function isUsable(candidate: Candidate, journey: Journey): boolean {
    return (
      candidate.service === journey.service &&
      candidate.version === journey.version &&
      !leaving.has(candidate.id) &&
      !journey.excluded.has(candidate.id)
    );
  }

  return {
    setEndpoints(next) {
      endpoints = next;
    },
    markLeaving(endpoint) {
      leaving.add(endpoint);
    },
    choose(journey): Choice | undefined {
      const usable = endpoints.filter(item => isUsable(item, journey));
      const loads = usable.map(({id}) => outstanding.get(id) ?? 0);
      const least = Math.min(...loads);
      const chosen = random.pick(usable.filter((_, i) => loads[i] === least));
      if (chosen === undefined) {
        return undefined;
      }
      change(chosen.id, 1);
      return {
        endpoint: chosen.id,
        cachedTokens: 0,
        finish: () => change(chosen.id, -1),
      };
    },
    reportLoad(endpoint, report) {
      slots.set(endpoint, report.slots);
    },
    reportCache: (_endpoint, events) => events.at(-1)?.sequence ?? -1,
    slots: service =>
      endpoints
        .filter(item => item.service === service && !leaving.has(item.id))
        .reduce((sum, item) => sum + (slots.get(item.id) ?? 0), 0),
    dump: () => ({endpoints, leaving: [...leaving]}),
  };
}
