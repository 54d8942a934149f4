/** Fleet duty: its holder starts and stops hosts according to the plan. */
import {
  disposableStore,
  every,
  isServingError,
  toDisposable,
  toServingError,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Cloud} from '@skylarkfield/providers';
import type {Service} from '@skylarkfield/records';
import {makeClientToken, readClientToken} from './clientToken.js';
import type {FleetAction, Host, HostPlan} from './contracts.js';
import {planFleetActions} from './fleetActions.js';
import {planHosts} from './hostPlan.js';
import {createReplicaDemandEstimator} from './replicaDemand.js';
import {createCapacityPoolTracker} from './capacityPools.js';

/** Interval of planning and reconciling, in milliseconds. */
const RECONCILE_INTERVAL_MS = 5_000;

export interface FleetDuty extends Disposable {
  /** Runs one round now, in addition to the periodic ones. */
  reconcile(): Promise<void>;
  dump(): unknown;
}

/** Start whose reply was lost; retried unless the token's host is listed. */
interface UnconfirmedStart {
  readonly token: string;
  readonly action: Extract<FleetAction, {type: 'start'}>;
}

/**
 * Starts the duty for a term. Services without a machine class are ignored,
 * as their hosts are managed elsewhere.
 *
 * @example
 * dutyElections.compete('fleet', term => createFleetDuty({...parts, term}));
 */
export function createFleetDuty(options: {
  readonly cloud: Cloud;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly term: DutyTerm;
  services(): readonly Service[];
  /** Latest load reports of a service's endpoints. */
  reports(service: string): readonly LoadReport[];
  /** Replaces the planner, for comparison in benchmarks. */
  readonly plan?: typeof planHosts;
}): FleetDuty {
  const {cloud, clock, random, decisions, term, plan = planHosts} = options;
  const store = disposableStore();
  const capacityPools = createCapacityPoolTracker({clock, random});
  const demandEstimator = createReplicaDemandEstimator();
  const unconfirmedStarts: UnconfirmedStart[] = [];
  let hosts: readonly Host[] = [];
  let plans: ReadonlyMap<string, HostPlan> = new Map();
  let sequence = 0;
  let isReconciling = false;

  store.add(every(clock, RECONCILE_INTERVAL_MS, () => void reconcile()));
  store.add(
    cloud.watchNotices(notice => {
      const host = hosts.find(item => item.id === notice.host);
      if (host !== undefined) {
        capacityPools.recordReclaim(host.failureDomain, host.machineClass);
        // Replacements take minutes to start, so the notice's seconds matter.
        void reconcile();
      }
    }),
  );
  store.add(toDisposable(() => (plans = new Map())));

  return {
    reconcile,
    dump: () => ({
      fencing: term.fencing,
      plans: [...plans].map(([service, plan]) => ({service, ...plan})),
      hosts,
      openStarts: unconfirmedStarts.length,
      supplies: capacityPools.list().map(pool => ({
        ...pool,
        isRefused: {
          reclaimable: pool.isRefused('reclaimable'),
          'on-demand': pool.isRefused('on-demand'),
        },
      })),
    }),
    dispose: () => store.dispose(),
  };

  async function reconcile(): Promise<void> {
    if (isReconciling || store.isDisposed) {
      return;
    }
    isReconciling = true;
    try {
      await applyPlan();
    } catch (error) {
      const {message} = toServingError(error);
      decisions.note('fleet', 'cloud', 'skip a round', message);
    } finally {
      isReconciling = false;
    }
  }

  async function applyPlan(): Promise<void> {
    const managedServices = options
      .services()
      .filter(service => service.fleet.machineClass !== '');
    if (managedServices.length === 0) {
      return;
    }
    const offers = await cloud.offers(term.signal);
    hosts = await cloud.hosts(term.signal);
    capacityPools.observe(hosts);
    plans = new Map(
      managedServices.map(service => {
        const demand = demandEstimator.update(
          service,
          options.reports(service.name),
          runningHostsWithoutSpares(service.name),
        );
        return [service.name, plan(demand, offers, capacityPools.list())];
      }),
    );
    await retryUnconfirmedStarts();
    const wanted = [...plans.values()].flatMap(plan => plan.wanted);
    for (const action of planFleetActions(wanted, hosts)) {
      if (!term.isValid()) {
        return;
      }
      await execute(action);
    }
  }

  /**
   * Counts a service's running hosts outside its largest failure domain, which
   * is the demand of an earlier plan without its spare hosts.
   */
  function runningHostsWithoutSpares(service: string): number {
    const perDomain = new Map<string, number>();
    for (const host of hosts) {
      const owner = readClientToken(host.clientToken)?.service;
      if (owner === service && host.state === 'running') {
        const previousCount = perDomain.get(host.failureDomain) ?? 0;
        perDomain.set(host.failureDomain, previousCount + 1);
      }
    }
    const counts = [...perDomain.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return total - Math.max(0, ...counts);
  }

  /** Retries starts without a reply unless their hosts are listed. */
  async function retryUnconfirmedStarts(): Promise<void> {
    const tokens = new Set(hosts.map(host => host.clientToken));
    for (const unconfirmed of unconfirmedStarts.splice(0)) {
      if (!tokens.has(unconfirmed.token) && term.isValid()) {
        await startHost(unconfirmed.action, unconfirmed.token);
      }
    }
  }

  async function execute(action: FleetAction): Promise<void> {
    if (action.type === 'start') {
      if (isRefused(action)) {
        return;
      }
      sequence += 1;
      await startHost(
        action,
        makeClientToken(action.service, term.fencing, sequence),
      );
      return;
    }
    decisions.note('fleet', action.host, 'stop host', action.why);
    await cloud.stop(action.host, term.signal);
  }

  /** Whether a start is in backoff, also after a rejection this round. */
  function isRefused(action: UnconfirmedStart['action']): boolean {
    return capacityPools
      .list()
      .some(
        pool =>
          pool.failureDomain === action.failureDomain &&
          pool.machineClass === action.machineClass &&
          pool.isRefused(action.market),
      );
  }

  async function startHost(
    action: UnconfirmedStart['action'],
    token: string,
  ): Promise<void> {
    const {failureDomain, machineClass, market} = action;
    const subject = `${action.service} in ${failureDomain}`;
    try {
      const host = await cloud.start(
        {clientToken: token, failureDomain, machineClass, market},
        term.signal,
      );
      hosts = [...hosts.filter(other => other.id !== host.id), host];
      capacityPools.recordStart(failureDomain, machineClass, market);
      decisions.note('fleet', subject, `start ${market} host`, action.why);
    } catch (error) {
      if (isServingError(error, 'outcome-unknown')) {
        unconfirmedStarts.push({token, action});
        return;
      }
      if (!isServingError(error, 'overloaded')) {
        throw error;
      }
      capacityPools.recordRejection(failureDomain, machineClass, market);
      decisions.note(
        'fleet',
        subject,
        'look elsewhere',
        'the cloud rejected the start',
      );
    }
  }
}
