/** Orders endpoints so that each service has what its work needs, for as long as the duty is held. */
import {
  every,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Tenure} from '@skylarkfield/duties';
import {
  createFleetDemand,
  planFleet,
  type DeclaredService,
  type DemandSigns,
  type DomainFleet,
  type EndpointNeed,
  type FleetDemand,
  type FleetPlan,
  type FleetTerms,
} from '@skylarkfield/traffic';
import type {EndpointOrder, OrderAnswer, PlatformOrders} from './contracts.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** How often the plan is made anew, in milliseconds. */
const PLAN_MS = 500;

/** An order that is not carried out by then is given again. */
const REPEAT_MS = 6_000;

/** How often a failure domain that had no reclaimable endpoints is asked for one. */
const SCARCE_RETRY_MS = 3_000;

/** Nothing is sent away this soon after the duty was taken: when a system starts, its endpoints register over some seconds. */
const SETTLE_MS = 5_000;

/** Time for one call, in milliseconds. */
const CALL_MS = 1_500;

type Market = keyof DomainFleet;

interface GivenOrder {
  readonly count: number;
  readonly at: number;
}

export interface FleetDutyOptions {
  readonly tenure: Tenure;
  readonly holder: string;
  readonly orders: PlatformOrders;
  readonly directory: EndpointDirectory;
  services(): readonly DeclaredService[];
  /** What a service is asked for over all entries, and how its callers fare. */
  signs(service: string): Omit<DemandSigns, 'present'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Starts to order for as long as the tenure lasts.
 *
 * @example
 * duties.compete('fleet', tenure => startFleetDuty({tenure, ...rest}));
 */
export function startFleetDuty(options: FleetDutyOptions): Disposable {
  const {tenure, orders, directory, clock, log} = options;
  const given = new Map<string, GivenOrder>();
  /** When a failure domain without reclaimable endpoints is asked again. */
  const scarceRetryAt = new Map<string, number>();
  const demands = new Map<string, FleetDemand>();
  const startedAt = clock.now();
  let isBusy = false;

  function present(service: string, domain: string, market: Market): number {
    return directory
      .of(service)
      .filter(
        endpoint =>
          endpoint.state === 'ready' &&
          endpoint.failureDomain === domain &&
          endpoint.isReclaimable === (market === 'reclaimable'),
      ).length;
  }

  function readyCount(service: string): number {
    return directory.of(service).filter(({state}) => state === 'ready').length;
  }

  /** A reclaimable endpoint that leaves shows that its failure domain is being reclaimed. */
  function noteReclaims(service: string): void {
    for (const endpoint of directory.of(service)) {
      if (endpoint.isReclaimable && endpoint.state === 'draining') {
        noteScarce(service, endpoint.failureDomain);
      }
    }
  }

  function noteScarce(service: string, domain: string): void {
    const at = clock.now() + SCARCE_RETRY_MS;
    scarceRetryAt.set(`${service}/${domain}`, at);
  }

  function scarceDomains(service: string, domains: readonly string[]) {
    return new Map(
      domains
        .filter(domain => scarceRetryAt.has(`${service}/${domain}`))
        .map(domain => [domain, present(service, domain, 'reclaimable')]),
    );
  }

  function neededOf(
    service: string,
    signs: Omit<DemandSigns, 'present'>,
  ): EndpointNeed {
    const demand = demands.get(service) ?? createFleetDemand(clock);
    demands.set(service, demand);
    return demand.note({...signs, present: readyCount(service)});
  }

  /** How many may leave: what is ready beyond the need, since a new one takes seconds to start. */
  function mostSurplus(service: string, needed: number): number {
    if (clock.now() - startedAt < SETTLE_MS) {
      return 0;
    }
    return Math.max(0, readyCount(service) - needed);
  }

  /** What to order of one market now, on the way to what the plan wants. */
  function nextCount(
    planned: number,
    have: number,
    others: number,
    most: number,
    surplus: number,
  ): number {
    if (have > planned) {
      return Math.max(planned, have - surplus);
    }
    // Both markets count for the bound: an order beyond it is cut without a word.
    return Math.max(have, Math.min(planned, most - others));
  }

  function isAsked(key: string, count: number): boolean {
    const last = given.get(key);
    return last?.count === count && clock.now() - last.at < REPEAT_MS;
  }

  function wantedOrders(
    service: string,
    plan: FleetPlan,
    most: number,
    needed: number,
  ) {
    const wanted: EndpointOrder[] = [];
    let surplus = mostSurplus(service, needed);
    for (const [failureDomain, fleet] of Object.entries(plan)) {
      for (const market of ['reclaimable', 'onDemand'] as const) {
        const other = market === 'onDemand' ? 'reclaimable' : 'onDemand';
        const key = `${service}/${failureDomain}/${market}`;
        const have = present(service, failureDomain, market);
        const others = present(service, failureDomain, other);
        const count = nextCount(fleet[market], have, others, most, surplus);
        const last = given.get(key);
        const isSettled = have === count && (last?.count ?? count) === count;
        if (isSettled || isAsked(key, count)) {
          continue;
        }
        surplus -= Math.max(0, have - count);
        wanted.push({
          service,
          failureDomain,
          count,
          isReclaimable: market === 'reclaimable',
        });
      }
    }
    return wanted;
  }

  async function give(order: EndpointOrder): Promise<OrderAnswer> {
    const market: Market = order.isReclaimable ? 'reclaimable' : 'onDemand';
    const key = `${order.service}/${order.failureDomain}/${market}`;
    if (!tenure.isValid()) {
      return 'failed';
    }
    given.set(key, {count: order.count, at: clock.now()});
    const answer = await orders.orderEndpoints(
      {holder: options.holder, fencing: tenure.fencing},
      order,
      AbortSignal.any([tenure.signal, AbortSignal.timeout(CALL_MS)]),
    );
    log.info({...order, answer, fencing: tenure.fencing}, 'endpoints ordered');
    if (answer === 'unavailable') {
      noteScarce(order.service, order.failureDomain);
    }
    if (answer !== 'accepted') {
      given.delete(key);
    }
    return answer;
  }

  /**
   * Asks scarce failure domains for one more endpoint now and then. Were they
   * planned with again just because time has passed, endpoints that stay would be
   * sent away for reclaimable ones that are not to be had.
   */
  async function askScarce(service: string, {most}: FleetTerms): Promise<void> {
    for (const [key, retryAt] of scarceRetryAt) {
      const [name, failureDomain = ''] = key.split('/');
      const have = present(service, failureDomain, 'reclaimable');
      const others = present(service, failureDomain, 'onDemand');
      if (name !== service || retryAt > clock.now()) {
        continue;
      }
      if (have + others >= most) {
        noteScarce(service, failureDomain);
        continue;
      }
      const order = {
        service,
        failureDomain,
        count: have + 1,
        isReclaimable: true,
      };
      if ((await give(order)) === 'accepted') {
        scarceRetryAt.delete(key);
      }
    }
  }

  async function planService({name, fleet}: DeclaredService): Promise<void> {
    if (fleet === undefined || directory.of(name).length === 0) {
      return;
    }
    noteReclaims(name);
    await askScarce(name, fleet);
    const signs = options.signs(name);
    const needed = neededOf(name, signs);
    const scarce = scarceDomains(name, Object.keys(fleet.prices));
    const plan = planFleet({terms: fleet, needed, scarce});
    const wanted = wantedOrders(name, plan, fleet.most, needed.usual);
    if (wanted.length > 0) {
      log.info(
        {service: name, ...signs, needed, scarce: [...scarce.keys()], plan},
        'endpoints planned',
      );
    }
    for (const order of wanted) {
      await give(order);
    }
  }

  async function planAll(): Promise<void> {
    if (isBusy || !tenure.isValid()) {
      return;
    }
    isBusy = true;
    try {
      for (const service of options.services()) {
        await planService(service);
      }
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'endpoints not ordered');
    } finally {
      isBusy = false;
    }
  }

  return every(clock, PLAN_MS, () => void planAll());
}
