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
const PLAN_INTERVAL_MS = 500;

/** An order that is not carried out by then is given again. */
const ORDER_TIMEOUT_MS = 6_000;

/** How often a failure domain that had no reclaimable endpoints is asked for one. */
const SCARCE_RETRY_INTERVAL_MS = 3_000;

/** Nothing is sent away this soon after the duty was taken: when a system starts, its endpoints register over some seconds. */
const SCALE_DOWN_DELAY_MS = 5_000;

/** Time for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

type Market = keyof DomainFleet;

interface IssuedOrder {
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
  demandSigns(service: string): Omit<DemandSigns, 'present'>;
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
  const issuedOrders = new Map<string, IssuedOrder>();
  /** When a failure domain without reclaimable endpoints is asked again. */
  const scarceRetryAt = new Map<string, number>();
  const demands = new Map<string, FleetDemand>();
  const startedAt = clock.now();
  let isBusy = false;

  function readyInMarket(
    service: string,
    domain: string,
    market: Market,
  ): number {
    return directory
      .forService(service)
      .filter(
        endpoint =>
          endpoint.state === 'ready' &&
          endpoint.failureDomain === domain &&
          endpoint.isReclaimable === (market === 'reclaimable'),
      ).length;
  }

  function readyCount(service: string): number {
    return directory.forService(service).filter(({state}) => state === 'ready')
      .length;
  }

  /** A reclaimable endpoint that leaves shows that its failure domain is being reclaimed. */
  function noteReclaims(service: string): void {
    for (const endpoint of directory.forService(service)) {
      if (endpoint.isReclaimable && endpoint.state === 'draining') {
        markScarce(service, endpoint.failureDomain);
      }
    }
  }

  function markScarce(service: string, domain: string): void {
    const at = clock.now() + SCARCE_RETRY_INTERVAL_MS;
    scarceRetryAt.set(`${service}/${domain}`, at);
  }

  function scarceDomains(service: string, domains: readonly string[]) {
    return new Map(
      domains
        .filter(domain => scarceRetryAt.has(`${service}/${domain}`))
        .map(domain => [domain, readyInMarket(service, domain, 'reclaimable')]),
    );
  }

  function updateNeed(
    service: string,
    signs: Omit<DemandSigns, 'present'>,
  ): EndpointNeed {
    const demand = demands.get(service) ?? createFleetDemand(clock);
    demands.set(service, demand);
    return demand.note({...signs, present: readyCount(service)});
  }

  /** How many may leave: what is ready beyond the need, since a new one takes seconds to start. */
  function surplusLimit(service: string, needed: number): number {
    if (clock.now() - startedAt < SCALE_DOWN_DELAY_MS) {
      return 0;
    }
    return Math.max(0, readyCount(service) - needed);
  }

  /** What to order of one market now, on the way to what the plan wants. */
  function nextCount(
    planned: number,
    current: number,
    otherMarketCount: number,
    most: number,
    surplus: number,
  ): number {
    if (current > planned) {
      return Math.max(planned, current - surplus);
    }
    // Both markets count for the bound: an order beyond it is cut without a word.
    return Math.max(current, Math.min(planned, most - otherMarketCount));
  }

  function isPending(key: string, count: number): boolean {
    const last = issuedOrders.get(key);
    return last?.count === count && clock.now() - last.at < ORDER_TIMEOUT_MS;
  }

  function planOrders(
    service: string,
    plan: FleetPlan,
    most: number,
    needed: number,
  ) {
    const wanted: EndpointOrder[] = [];
    let surplus = surplusLimit(service, needed);
    for (const [failureDomain, fleet] of Object.entries(plan)) {
      for (const market of ['reclaimable', 'onDemand'] as const) {
        const other = market === 'onDemand' ? 'reclaimable' : 'onDemand';
        const key = `${service}/${failureDomain}/${market}`;
        const current = readyInMarket(service, failureDomain, market);
        const otherMarketCount = readyInMarket(service, failureDomain, other);
        const count = nextCount(
          fleet[market],
          current,
          otherMarketCount,
          most,
          surplus,
        );
        const last = issuedOrders.get(key);
        const isSettled = current === count && (last?.count ?? count) === count;
        if (isSettled || isPending(key, count)) {
          continue;
        }
        surplus -= Math.max(0, current - count);
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

  async function issueOrder(order: EndpointOrder): Promise<OrderAnswer> {
    const market: Market = order.isReclaimable ? 'reclaimable' : 'onDemand';
    const key = `${order.service}/${order.failureDomain}/${market}`;
    if (!tenure.isValid()) {
      return 'failed';
    }
    issuedOrders.set(key, {count: order.count, at: clock.now()});
    const answer = await orders.orderEndpoints(
      {holder: options.holder, fencing: tenure.fencing},
      order,
      AbortSignal.any([tenure.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    );
    log.info({...order, answer, fencing: tenure.fencing}, 'endpoints ordered');
    if (answer === 'unavailable') {
      markScarce(order.service, order.failureDomain);
    }
    if (answer !== 'accepted') {
      issuedOrders.delete(key);
    }
    return answer;
  }

  /**
   * Asks scarce failure domains for one more endpoint now and then. Were they
   * planned with again just because time has passed, endpoints that stay would be
   * sent away for reclaimable ones that are not to be had.
   */
  async function probeScarceDomains(
    service: string,
    {most}: FleetTerms,
  ): Promise<void> {
    for (const [key, retryAt] of scarceRetryAt) {
      const [name, failureDomain = ''] = key.split('/');
      const current = readyInMarket(service, failureDomain, 'reclaimable');
      const otherMarketCount = readyInMarket(
        service,
        failureDomain,
        'onDemand',
      );
      if (name !== service || retryAt > clock.now()) {
        continue;
      }
      if (current + otherMarketCount >= most) {
        markScarce(service, failureDomain);
        continue;
      }
      const order = {
        service,
        failureDomain,
        count: current + 1,
        isReclaimable: true,
      };
      if ((await issueOrder(order)) === 'accepted') {
        scarceRetryAt.delete(key);
      }
    }
  }

  async function planService({name, fleet}: DeclaredService): Promise<void> {
    if (fleet === undefined || directory.forService(name).length === 0) {
      return;
    }
    noteReclaims(name);
    await probeScarceDomains(name, fleet);
    const signs = options.demandSigns(name);
    const needed = updateNeed(name, signs);
    const scarce = scarceDomains(name, Object.keys(fleet.prices));
    const plan = planFleet({terms: fleet, needed, scarce});
    const wanted = planOrders(name, plan, fleet.most, needed.usual);
    if (wanted.length > 0) {
      log.info(
        {service: name, ...signs, needed, scarce: [...scarce.keys()], plan},
        'endpoints planned',
      );
    }
    for (const order of wanted) {
      await issueOrder(order);
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

  return every(clock, PLAN_INTERVAL_MS, () => void planAll());
}
