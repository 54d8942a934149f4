/** Scales each service's endpoints to its demand while the duty is held. */
import {
  scheduleRepeatedly,
  toServingError,
  withTimeLimit,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {
  countSlotsInUse,
  createDemandEstimator,
  createRemovalHold,
  planFleet,
  planningRules,
  type ServiceConfig,
  type DemandSignals,
  type DomainFleet,
  type EndpointNeed,
  type EstimatedService,
  type DemandEstimator,
  type FleetPlan,
  type FleetConfig,
  type PlanningKind,
} from '@skylarkfield/traffic';
import type {
  EndpointOrder,
  PlatformCallResult,
  PlatformOrders,
} from '../contracts.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import {nextCount, withoutDomains} from './orderCounts.js';

/** Interval of planning the endpoints of all services, in milliseconds. */
const PLAN_INTERVAL_MS = 500;

/** Time after which an unfulfilled order is issued again, in milliseconds. */
const ORDER_TIMEOUT_MS = 6_000;

/**
 * Interval at which a failure domain without reclaimable capacity is probed, in
 * milliseconds.
 */
const PROBE_INTERVAL_MS = 3_000;

/** Timeout of one endpoint order, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

type MarketName = keyof DomainFleet;

/** The last order for one market, reclaimable or on-demand, of a domain. */
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
  /** Returns the kind of a service, by which its endpoints are planned. */
  planningKind(service: ServiceConfig): PlanningKind;
  /**
   * Returns the demand for a service over all entries, and the fraction of its
   * requests served late.
   */
  demandSignals(service: string): Omit<DemandSignals, 'readyEndpoints'>;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Plans and orders endpoints until disposed, while the term is valid.
 *
 * @example
 * dutyElections.compete('fleet', term => startFleetDuty({term, ...rest}));
 */
export function startFleetDuty(options: FleetDutyOptions): Disposable {
  const {term, orders, directory, clock, log} = options;
  const issuedOrders = new Map<string, IssuedOrder>();
  /**
   * Time of the next probe for each `service/domain` without reclaimable
   * capacity, in monotonic milliseconds.
   */
  const nextProbeAtByKey = new Map<string, number>();
  const demandEstimators = new Map<string, DemandEstimator>();
  const removalHold = createRemovalHold(clock);
  const startedAt = clock.now();
  let isScaling = false;

  function countReadyInMarket(
    service: string,
    domain: string,
    market: MarketName,
  ): number {
    return directory
      .endpointsOf(service)
      .filter(
        endpoint =>
          endpoint.state === 'ready' &&
          endpoint.failureDomain === domain &&
          endpoint.isReclaimable === (market === 'reclaimable'),
      ).length;
  }

  function countReady(service: string): number {
    return directory.endpointsOf(service).filter(({state}) => state === 'ready')
      .length;
  }

  /**
   * Marks failure domains with draining reclaimable endpoints as scarce, if
   * enough drain: such endpoints indicate that capacity is being reclaimed
   * there.
   */
  function recordReclaims(service: string, kind: PlanningKind): void {
    const drainingCounts = new Map<string, number>();
    for (const endpoint of directory.endpointsOf(service)) {
      const {failureDomain, isReclaimable, state} = endpoint;
      if (
        isReclaimable &&
        state === 'draining' &&
        !directory.isDrained(failureDomain)
      ) {
        const count = drainingCounts.get(failureDomain) ?? 0;
        drainingCounts.set(failureDomain, count + 1);
      }
    }
    const {minDrainingPerReady} = planningRules(kind);
    for (const [domain, drainingCount] of drainingCounts) {
      const readyCount = countReadyInMarket(service, domain, 'reclaimable');
      if (drainingCount >= minDrainingPerReady * readyCount) {
        markScarce(service, domain);
        removalHold.recordReclaim(service);
      }
    }
  }

  function markScarce(service: string, domain: string): void {
    const retryAt = clock.now() + PROBE_INTERVAL_MS;
    nextProbeAtByKey.set(`${service}/${domain}`, retryAt);
  }

  /**
   * Returns the number of ready reclaimable endpoints in each failure domain
   * that is marked as scarce.
   */
  function countReadyInScarceDomains(
    service: string,
    domains: readonly string[],
  ) {
    return new Map(
      domains
        .filter(domain => nextProbeAtByKey.has(`${service}/${domain}`))
        .map(domain => [
          domain,
          countReadyInMarket(service, domain, 'reclaimable'),
        ]),
    );
  }

  function updateNeed(
    service: string,
    estimated: EstimatedService,
    signals: Omit<DemandSignals, 'readyEndpoints'>,
  ): EndpointNeed {
    const estimator =
      demandEstimators.get(service) ?? createDemandEstimator(clock, estimated);
    demandEstimators.set(service, estimator);
    return estimator.update({...signals, readyEndpoints: countReady(service)});
  }

  /**
   * Returns the number of endpoints that may be removed. Only ready endpoints
   * beyond the needed number are removed, since a replacement takes seconds to
   * start.
   */
  function maxRemovalsOf(
    service: string,
    {kind, bootMs}: EstimatedService,
    neededCount: number,
  ): number {
    const delayMs = planningRules(kind).removalDelayMs(bootMs);
    const isStarting = clock.now() - startedAt < delayMs;
    if (isStarting || removalHold.isHeld(service)) {
      return 0;
    }
    return Math.max(0, countReady(service) - neededCount);
  }

  function isPending(key: string, count: number): boolean {
    const lastOrder = issuedOrders.get(key);
    return (
      lastOrder?.count === count &&
      clock.now() - lastOrder.issuedAt < ORDER_TIMEOUT_MS
    );
  }

  /** Returns the orders to issue now for a service to approach the plan. */
  function ordersFor(
    service: string,
    plan: FleetPlan,
    maxEndpoints: number,
    maxRemovals: number,
  ) {
    const newOrders: EndpointOrder[] = [];
    let removalsLeft = maxRemovals;
    for (const [failureDomain, fleet] of Object.entries(plan)) {
      for (const market of ['reclaimable', 'onDemand'] as const) {
        const otherMarket = market === 'onDemand' ? 'reclaimable' : 'onDemand';
        const key = `${service}/${failureDomain}/${market}`;
        const readyCount = countReadyInMarket(service, failureDomain, market);
        const otherMarketCount = countReadyInMarket(
          service,
          failureDomain,
          otherMarket,
        );
        const count = nextCount(
          fleet[market],
          readyCount,
          otherMarketCount,
          maxEndpoints,
          removalsLeft,
        );
        const lastOrder = issuedOrders.get(key);
        const isSettled =
          readyCount === count && (lastOrder?.count ?? count) === count;
        if (isSettled || isPending(key, count)) {
          continue;
        }
        removalsLeft -= Math.max(0, readyCount - count);
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

  async function issueOrder(order: EndpointOrder): Promise<PlatformCallResult> {
    const market: MarketName = order.isReclaimable ? 'reclaimable' : 'onDemand';
    const key = `${order.service}/${order.failureDomain}/${market}`;
    if (!term.isValid()) {
      return 'failed';
    }
    issuedOrders.set(key, {count: order.count, issuedAt: clock.now()});
    const credentials = {holder: options.holder, fencing: term.fencing};
    const answer = await withTimeLimit(
      clock,
      CALL_TIMEOUT_MS,
      term.signal,
      signal => orders.orderEndpoints(credentials, order, signal),
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
   * Orders one more reclaimable endpoint in each scarce failure domain whose
   * probe is due. If the plan used such a domain again after a fixed time
   * instead, it would replace on-demand endpoints by reclaimable endpoints that
   * are not available.
   */
  async function probeScarceDomains(
    service: string,
    {most}: FleetConfig,
  ): Promise<void> {
    for (const [key, retryAt] of nextProbeAtByKey) {
      const [serviceOfKey, failureDomain = ''] = key.split('/');
      const readyCount = countReadyInMarket(
        service,
        failureDomain,
        'reclaimable',
      );
      const otherMarketCount = countReadyInMarket(
        service,
        failureDomain,
        'onDemand',
      );
      if (
        serviceOfKey !== service ||
        retryAt > clock.now() ||
        directory.isDrained(failureDomain)
      ) {
        continue;
      }
      if (readyCount + otherMarketCount >= most) {
        markScarce(service, failureDomain);
        continue;
      }
      const order = {
        service,
        failureDomain,
        count: readyCount + 1,
        isReclaimable: true,
      };
      if ((await issueOrder(order)) === 'accepted') {
        nextProbeAtByKey.delete(key);
      }
    }
  }

  async function scaleService(service: ServiceConfig): Promise<void> {
    const {name, fleet: configuredFleet} = service;
    if (
      configuredFleet === undefined ||
      directory.endpointsOf(name).length === 0
    ) {
      return;
    }
    const fleet = withoutDomains(configuredFleet, directory.isDrained);
    const estimated = {
      kind: options.planningKind(service),
      bootMs: fleet.bootMs,
    };
    recordReclaims(name, estimated.kind);
    await probeScarceDomains(name, fleet);
    const signals = options.demandSignals(name);
    const needed = updateNeed(name, estimated, signals);
    const readyCountByScarceDomain = countReadyInScarceDomains(
      name,
      Object.keys(fleet.prices),
    );
    const plan = planFleet({
      config: fleet,
      needed,
      scarce: readyCountByScarceDomain,
      kind: estimated.kind,
    });
    const newOrders = ordersFor(
      name,
      plan,
      fleet.most,
      maxRemovalsOf(name, estimated, needed.usual),
    );
    if (newOrders.length > 0) {
      log.info(
        {
          service: name,
          ...signals,
          // At the needed number of endpoints; absent if slots are not counted.
          slotsInUse:
            signals.slotDemand &&
            countSlotsInUse(signals.slotDemand, needed.usual),
          needed,
          scarce: [...readyCountByScarceDomain.keys()],
          plan,
        },
        'endpoints planned',
      );
    }
    for (const order of newOrders) {
      await issueOrder(order);
    }
  }

  async function scaleAllServices(): Promise<void> {
    if (isScaling || !term.isValid()) {
      return;
    }
    isScaling = true;
    try {
      for (const service of options.services()) {
        await scaleService(service);
      }
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'ordering endpoints failed');
    } finally {
      isScaling = false;
    }
  }

  return scheduleRepeatedly(
    clock,
    PLAN_INTERVAL_MS,
    () => void scaleAllServices(),
  );
}
