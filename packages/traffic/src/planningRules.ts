/**
 * Rules for planning a service's endpoints by the kind of its engines.
 *
 * Engines with few slots are the largest cost of a fleet, and their need is
 * known from their slots. All other services keep the general rules.
 */
import type {ServiceConfig} from './contracts.js';

/** Kind of a service in the planning of its endpoints. */
export type PlanningKind = 'general' | 'fewSlots';

/** Rules for planning the endpoints of one service. */
export interface PlanningRules {
  /**
   * Returns the time in milliseconds after the first plan in which the ready
   * endpoints count as the initial fleet, from the boot time of an endpoint.
   * Later ones may have been ordered by the plan: if these counted, every order
   * would raise the need before the first work.
   */
  initialFleetWindowMs(bootMs: number): number;
  /**
   * Fraction of the initial endpoints that is kept until the work rate is
   * known. It is below 1, since operators size the initial fleet for the
   * busiest hour.
   */
  readonly initialFraction: number;
  /**
   * Returns the time in milliseconds after the start of planning during which
   * no endpoints are removed: when the whole system starts, its endpoints
   * register over some seconds.
   */
  removalDelayMs(bootMs: number): number;
  /**
   * Minimum draining endpoints per ready endpoint among the reclaimable ones of
   * a failure domain from which on they count as reclaimed. Reclaims take all
   * of a domain at once; fewer drain when the plan removes some.
   */
  readonly minDrainingPerReady: number;
  /** Fraction of the usual need that on-demand endpoints cover. */
  readonly onDemandFraction: number;
  /**
   * Fraction of the brief need that must remain when two failure domains lose
   * their reclaimable endpoints, while every domain offers further ones.
   */
  readonly secondLossFraction: number;
  /**
   * Upper bound of the need due to late requests, as a multiple of the need due
   * to work and slots, while slots are counted. Absent if lateness raises the
   * need without regard to slots.
   */
  readonly maxScaleUpOverSlots?: number;
}

const GENERAL_REMOVAL_DELAY_MS = 5_000;

const RULES: Readonly<Record<PlanningKind, PlanningRules>> = {
  general: {
    initialFleetWindowMs: () => Infinity,
    initialFraction: 0.6,
    removalDelayMs: () => GENERAL_REMOVAL_DELAY_MS,
    minDrainingPerReady: 0,
    onDemandFraction: 0.25,
    secondLossFraction: 0,
  },
  fewSlots: {
    initialFleetWindowMs: bootMs => bootMs,
    // With 0.8 of the initial fleet, the loss of a failure domain 5 s after the
    // first request left too few for a burst for 3.5 s, and for 1.0 s by the
    // general rules. Most of the fleet is reclaimable by then.
    initialFraction: 0.9,
    // Reclaimable endpoints replace the initial ones from then on.
    removalDelayMs: bootMs => Math.min(bootMs, GENERAL_REMOVAL_DELAY_MS),
    minDrainingPerReady: 4,
    // An on-demand endpoint costs as much as four to five reclaimable ones. On
    // four domains these cover a second loss at about half the price.
    onDemandFraction: 0.1,
    secondLossFraction: 0.75,
    // Lowers the planned fill of the slots from 0.55 to 0.37. Requests that are
    // late at a lower fill wait for something else than a slot.
    maxScaleUpOverSlots: 1.5,
  },
};

/**
 * Returns the kind of a service. Endpoints that warm up are not ready for load
 * when they have started, so their service keeps the general rules.
 *
 * @example
 * const rules = planningRules(planningKindOf(service, 12));
 */
export function planningKindOf(
  {engine, warmUp}: ServiceConfig,
  mostSlots: number,
): PlanningKind {
  return engine !== undefined &&
    engine.slots <= mostSlots &&
    warmUp === undefined
    ? 'fewSlots'
    : 'general';
}

/**
 * Returns the rules for a kind of service.
 *
 * @example
 * const {initialFraction} = planningRules('fewSlots');
 */
export function planningRules(kind: PlanningKind): PlanningRules {
  return RULES[kind];
}
