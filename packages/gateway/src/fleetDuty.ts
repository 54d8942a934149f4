/** Scales each service's endpoints to its demand while the duty is held. */
import {
  every,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {
  createDemandEstimator,
  planFleet,
  type ServiceConfig,
  type DemandSignals,
  type DomainFleet,
  type EndpointNeed,
  type DemandEstimator,
  type FleetPlan,
  type FleetConfig,
} from '@skylarkfield/traffic';
import type {
  EndpointOrder,
  EndpointOrderResult,
  PlatformOrders,
} from './contracts.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** Planning interval, in milliseconds. */
const PLAN_INTERVAL_MS = 500;

/** Time after which an unfulfilled order is issued again, in milliseconds. */
const ORDER_TIMEOUT_MS = 6_000;

/** Interval of probing for reclaimable capacity, in milliseconds. */
const SCARCE_RETRY_INTERVAL_MS = 3_000;

/**
 * Time after taking the duty without scaling down, in milliseconds: at a
 * system's start, its endpoints register over some seconds.
 */
const SCALE_DOWN_DELAY_MS = 5_000;

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

type Market = keyof DomainFleet;

interface IssuedOrder {
  readonly count: number;
  readonly issuedAt: number;
}

export interface FleetDutyOptions {
  readonly term: DutyTerm;
  readonly holder: string;
  readonly orders: PlatformOrders;
  readonly directory: EndpointDirectory;
  services(): readonly ServiceConfig[];
  /** Demand for a service over all entries, and the fraction served late. */
  demandSignals(service: string): Omit<DemandSignals, 'present'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Starts to issue orders for the duration of the term.
 *
 * @example
 * dutyElections.compete('fleet', term => startFleetDuty({term, ...rest}));
 */
export function startFleetDuty(options: FleetDutyOptions): Disposable {
  const {term, orders, directory, clock, log} = options;
  const issuedOrders = new Map<string, IssuedOrder>();
  /** Next probe time by `service/domain` without reclaimable capacity. */
  const scarceRetryAt = new Map<string, number>();
  const estimators = new Map<string, DemandEstimator>();
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

  /**
   * Draining reclaimable endpoints indicate that their failure domain is being
   * reclaimed.
   */
  function recordReclaims(service: string): void {
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
    signals: Omit<DemandSignals, 'present'>,
  ): EndpointNeed {
    const estimator = estimators.get(service) ?? createDemandEstimator(clock);
    estimators.set(service, estimator);
    return estimator.update({...signals, present: readyCount(service)});
  }

  /**
   * Number of endpoints that may be removed: those ready beyond the need, since
   * a replacement takes seconds to start.
   */
  function surplusLimit(service: string, needed: number): number {
    if (clock.now() - startedAt < SCALE_DOWN_DELAY_MS) {
      return 0;
    }
    return Math.max(0, readyCount(service) - needed);
  }

  /** Returns the next count to order in a market, towards the planned one. */
  function nextCount(
    plannedCount: number,
    currentCount: number,
    otherMarketCount: number,
    maxEndpoints: number,
    surplus: number,
  ): number {
    if (currentCount > plannedCount) {
      return Math.max(plannedCount, currentCount - surplus);
    }
    // The limit covers both markets; the platform truncates an order beyond it
    // without an error.
    return Math.max(
      currentCount,
      Math.min(plannedCount, maxEndpoints - otherMarketCount),
    );
  }

  function isPending(key: string, count: number): boolean {
    const lastOrder = issuedOrders.get(key);
    return (
      lastOrder?.count === count &&
      clock.now() - lastOrder.issuedAt < ORDER_TIMEOUT_MS
    );
  }

  function ordersFor(
    service: string,
    plan: FleetPlan,
    maxEndpoints: number,
    needed: number,
  ) {
    const newOrders: EndpointOrder[] = [];
    let surplus = surplusLimit(service, needed);
    for (const [failureDomain, fleet] of Object.entries(plan)) {
      for (const market of ['reclaimable', 'onDemand'] as const) {
        const other = market === 'onDemand' ? 'reclaimable' : 'onDemand';
        const key = `${service}/${failureDomain}/${market}`;
        const currentCount = readyInMarket(service, failureDomain, market);
        const otherMarketCount = readyInMarket(service, failureDomain, other);
        const count = nextCount(
          fleet[market],
          currentCount,
          otherMarketCount,
          maxEndpoints,
          surplus,
        );
        const lastOrder = issuedOrders.get(key);
        const isSettled =
          currentCount === count && (lastOrder?.count ?? count) === count;
        if (isSettled || isPending(key, count)) {
          continue;
        }
        surplus -= Math.max(0, currentCount - count);
        newOrders.push({
          service,
          failureDomain,
          count,
          isReclaimable: market === 'reclaimable',
        });
      }
    }
    return newOrders;
  }

  async function issueOrder(
    order: EndpointOrder,
  ): Promise<EndpointOrderResult> {
    const market: Market = order.isReclaimable ? 'reclaimable' : 'onDemand';
    const key = `${order.service}/${order.failureDomain}/${market}`;
    if (!term.isValid()) {
      return 'failed';
    }
    issuedOrders.set(key, {count: order.count, issuedAt: clock.now()});
    const answer = await orders.orderEndpoints(
      {holder: options.holder, fencing: term.fencing},
      order,
      AbortSignal.any([term.signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]),
    );
    log.info({...order, answer, fencing: term.fencing}, 'endpoints ordered');
    if (answer === 'unavailable') {
      markScarce(order.service, order.failureDomain);
    }
    if (answer !== 'accepted') {
      issuedOrders.delete(key);
    }
    return answer;
  }

  /**
   * Periodically orders one more endpoint in scarce failure domains. If the
   * plan used them again after a fixed time, it would remove on-demand
   * endpoints for reclaimable ones that are not available.
   */
  async function probeScarceDomains(
    service: string,
    {most}: FleetConfig,
  ): Promise<void> {
    for (const [key, retryAt] of scarceRetryAt) {
      const [name, failureDomain = ''] = key.split('/');
      const currentCount = readyInMarket(service, failureDomain, 'reclaimable');
      const otherMarketCount = readyInMarket(
        service,
        failureDomain,
        'onDemand',
      );
      if (name !== service || retryAt > clock.now()) {
        continue;
      }
      if (currentCount + otherMarketCount >= most) {
        markScarce(service, failureDomain);
        continue;
      }
      const order = {
        service,
        failureDomain,
        count: currentCount + 1,
        isReclaimable: true,
      };
      if ((await issueOrder(order)) === 'accepted') {
        scarceRetryAt.delete(key);
      }
    }
  }

  async function planService({name, fleet}: ServiceConfig): Promise<void> {
    if (fleet === undefined || directory.forService(name).length === 0) {
      return;
    }
    recordReclaims(name);
    await probeScarceDomains(name, fleet);
    const signals = options.demandSignals(name);
    const needed = updateNeed(name, signals);
    const scarce = scarceDomains(name, Object.keys(fleet.prices));
    const plan = planFleet({config: fleet, needed, scarce});
    const newOrders = ordersFor(name, plan, fleet.most, needed.usual);
    if (newOrders.length > 0) {
      log.info(
        {service: name, ...signals, needed, scarce: [...scarce.keys()], plan},
        'endpoints planned',
      );
    }
    for (const order of newOrders) {
      await issueOrder(order);
    }
  }

  async function planAll(): Promise<void> {
    if (isBusy || !term.isValid()) {
      return;
    }
    isBusy = true;
    try {
      for (const service of options.services()) {
        await planService(service);
      }
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'ordering endpoints failed');
    } finally {
      isBusy = false;
    }
  }

  return every(clock, PLAN_INTERVAL_MS, () => void planAll());
}
