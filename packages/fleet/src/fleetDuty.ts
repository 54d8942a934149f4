/** Fleet duty: its holder starts and stops hosts according to host plans. */
import {
  createDisposableStore,
  scheduleRepeatedly,
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
import {formatClientToken, parseClientToken} from './clientToken.js';
import type {FleetAction, Host, HostPlan} from './contracts.js';
import {planFleetActions} from './fleetActions.js';
import {planHosts} from './hostPlan.js';
import {createReplicaDemandEstimator} from './replicaDemand.js';
import {createCapacityPoolTracker} from './capacityPools.js';

/** Interval of planning and reconciling, in milliseconds. */
const RECONCILE_INTERVAL_MS = 5_000;

export interface FleetDuty extends Disposable {
  /**
   * Runs one planning round now, in addition to the periodic rounds; does
   * nothing while another round is running.
   */
  reconcile(): Promise<void>;
  dump(): unknown;
}

/**
 * Host start whose reply was lost; retried with the same token unless the cloud
 * lists a host with this token.
 */
interface UnconfirmedStart {
  readonly token: string;
  readonly action: Extract<FleetAction, {type: 'start'}>;
}

/**
 * Starts the fleet duty for a term. Services without a machine class are
 * ignored, as other software manages their hosts.
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
  /** Returns the latest load reports of a service's endpoints. */
  reports(service: string): readonly LoadReport[];
  /** Replaces the planner, for comparison in benchmarks. */
  readonly plan?: typeof planHosts;
}): FleetDuty {
  const {cloud, clock, random, decisions, term, plan = planHosts} = options;
  const disposables = createDisposableStore();
  const capacityPools = createCapacityPoolTracker({clock, random});
  const demandEstimator = createReplicaDemandEstimator();
  const unconfirmedStarts: UnconfirmedStart[] = [];
  let hosts: readonly Host[] = [];
  let plans: ReadonlyMap<string, HostPlan> = new Map();
  let startSequence = 0;
  let isReconciling = false;

  disposables.add(
    scheduleRepeatedly(clock, RECONCILE_INTERVAL_MS, () => void reconcile()),
  );
  disposables.add(
    cloud.watchNotices(notice => {
      const host = hosts.find(item => item.id === notice.host);
      if (host !== undefined) {
        capacityPools.recordReclaim(host.failureDomain, host.machineClass);
        // Replacements take minutes to start, so the seconds from the notice
        // until the host is gone matter.
        void reconcile();
      }
    }),
  );
  disposables.add(toDisposable(() => (plans = new Map())));

  return {
    reconcile,
    dump: () => ({
      fencing: term.fencing,
      plans: [...plans].map(([service, plan]) => ({service, ...plan})),
      hosts,
      openStarts: unconfirmedStarts.length,
      supplies: capacityPools.listPools().map(pool => ({
        ...pool,
        isRefused: {
          reclaimable: pool.isRefused('reclaimable'),
          'on-demand': pool.isRefused('on-demand'),
        },
      })),
    }),
    dispose: () => disposables.dispose(),
  };

  async function reconcile(): Promise<void> {
    if (isReconciling || disposables.isDisposed) {
      return;
    }
    isReconciling = true;
    try {
      await applyPlan();
    } catch (error) {
      const {message} = toServingError(error);
      decisions.recordDecision('fleet', 'cloud', 'skip a round', message);
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
    const offers = await cloud.listOffers(term.signal);
    hosts = await cloud.listHosts(term.signal);
    capacityPools.recordHosts(hosts);
    plans = new Map(
      managedServices.map(service => {
        const demand = demandEstimator.updateDemand(
          service,
          options.reports(service.name),
          countRunningHostsWithoutSpares(service.name),
        );
        return [service.name, plan(demand, offers, capacityPools.listPools())];
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
   * Counts the running hosts of a service, except those in the failure domain
   * with the most of them. Plans over several domains add spare hosts so that
   * the demand is met after the loss of any one domain, unless `maxReplicas`
   * limits them. The count thus estimates the demand of an earlier plan.
   */
  function countRunningHostsWithoutSpares(service: string): number {
    const hostsPerDomain = new Map<string, number>();
    for (const host of hosts) {
      const owner = parseClientToken(host.clientToken)?.service;
      if (owner === service && host.state === 'running') {
        const previousCount = hostsPerDomain.get(host.failureDomain) ?? 0;
        hostsPerDomain.set(host.failureDomain, previousCount + 1);
      }
    }
    const counts = [...hostsPerDomain.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return total - Math.max(0, ...counts);
  }

  /** Retries starts without a reply unless the cloud lists their hosts. */
  async function retryUnconfirmedStarts(): Promise<void> {
    const listedClientTokens = new Set(hosts.map(host => host.clientToken));
    for (const unconfirmed of unconfirmedStarts.splice(0)) {
      if (!listedClientTokens.has(unconfirmed.token) && term.isValid()) {
        await startHost(unconfirmed.action, unconfirmed.token);
      }
    }
  }

  async function execute(action: FleetAction): Promise<void> {
    if (action.type === 'start') {
      if (isInBackoff(action)) {
        return;
      }
      startSequence += 1;
      await startHost(
        action,
        formatClientToken(action.service, term.fencing, startSequence),
      );
      return;
    }
    decisions.recordDecision('fleet', action.host, 'stop host', action.why);
    await cloud.stop(action.host, term.signal);
  }

  /** Returns whether a start is in backoff; rejections in this round count. */
  function isInBackoff(action: UnconfirmedStart['action']): boolean {
    return capacityPools
      .listPools()
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
      decisions.recordDecision(
        'fleet',
        subject,
        `start ${market} host`,
        action.why,
      );
    } catch (error) {
      if (isServingError(error, 'outcome-unknown')) {
        unconfirmedStarts.push({token, action});
        return;
      }
      if (!isServingError(error, 'overloaded')) {
        throw error;
      }
      capacityPools.recordRejection(failureDomain, machineClass, market);
      decisions.recordDecision(
        'fleet',
        subject,
        'look elsewhere',
        'the cloud rejected the start of a host',
      );
    }
  }
}
