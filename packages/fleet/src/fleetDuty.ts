/** The duty that keeps the fleet: one holder starts and stops hosts by the plan. */
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
import type {Tenure} from '@skylarkfield/duties';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Cloud} from '@skylarkfield/providers';
import type {Service} from '@skylarkfield/records';
import {makeClientToken, readClientToken} from './clientToken.js';
import type {FleetStep, Host, HostPlan} from './contracts.js';
import {fleetSteps} from './fleetSteps.js';
import {planHosts} from './hostPlan.js';
import {createReplicaDemand} from './replicaDemand.js';
import {createSupplies} from './supplies.js';

/** How often the plan is made and followed, in milliseconds. */
const ROUND_MS = 5_000;

export interface FleetDuty extends Disposable {
  /** One round; rounds also run by themselves. */
  round(): Promise<void>;
  dump(): unknown;
}

/** A start whose reply was lost: asked again with the same token until its host shows. */
interface OpenStart {
  readonly token: string;
  readonly step: Extract<FleetStep, {type: 'start'}>;
}

/**
 * Starts the duty for a tenure. Services without a machine class are left alone:
 * their hosts are somebody else's.
 *
 * @example
 * duties.compete('fleet', tenure => createFleetDuty({...parts, tenure}));
 */
export function createFleetDuty(options: {
  readonly cloud: Cloud;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly tenure: Tenure;
  services(): readonly Service[];
  /** Latest load reports of a service's endpoints. */
  reports(service: string): readonly LoadReport[];
  /** Another way to plan, to measure this one against. */
  readonly plan?: typeof planHosts;
}): FleetDuty {
  const {cloud, clock, random, decisions, tenure, plan = planHosts} = options;
  const owned = disposableStore();
  const supplies = createSupplies({clock, random});
  const demand = createReplicaDemand();
  const openStarts: OpenStart[] = [];
  let hosts: readonly Host[] = [];
  let plans: ReadonlyMap<string, HostPlan> = new Map();
  let sequence = 0;
  let isWorking = false;

  owned.add(every(clock, ROUND_MS, () => void round()));
  owned.add(
    cloud.watchNotices(notice => {
      const host = hosts.find(item => item.id === notice.host);
      if (host !== undefined) {
        supplies.noteReclaim(host.failureDomain, host.machineClass);
        // Replacements take minutes to start: the notice is worth its seconds.
        void round();
      }
    }),
  );
  owned.add(toDisposable(() => (plans = new Map())));

  return {
    round,
    dump: () => ({
      fencing: tenure.fencing,
      plans: [...plans].map(([service, plan]) => ({service, ...plan})),
      hosts,
      openStarts: openStarts.length,
      supplies: supplies.list().map(supply => ({
        ...supply,
        isRefused: {
          reclaimable: supply.isRefused('reclaimable'),
          'on-demand': supply.isRefused('on-demand'),
        },
      })),
    }),
    dispose: () => owned.dispose(),
  };

  async function round(): Promise<void> {
    if (isWorking || owned.isDisposed) {
      return;
    }
    isWorking = true;
    try {
      await followPlan();
    } catch (error) {
      const {message} = toServingError(error);
      decisions.note('fleet', 'cloud', 'skip a round', message);
    } finally {
      isWorking = false;
    }
  }

  async function followPlan(): Promise<void> {
    const managed = options
      .services()
      .filter(service => service.fleet.machineClass !== '');
    if (managed.length === 0) {
      return;
    }
    const offers = await cloud.offers(tenure.signal);
    hosts = await cloud.hosts(tenure.signal);
    supplies.observe(hosts);
    plans = new Map(
      managed.map(service => {
        const wanted = demand.update(
          service,
          options.reports(service.name),
          hostsWithoutSpare(service.name),
        );
        return [service.name, plan(wanted, offers, supplies.list())];
      }),
    );
    await retryOpenStarts();
    const wanted = [...plans.values()].flatMap(plan => plan.wanted);
    for (const step of fleetSteps(wanted, hosts)) {
      if (!tenure.isValid()) {
        return;
      }
      await carryOut(step);
    }
  }

  /**
   * Running hosts of a service without those of its fullest failure domain:
   * what an earlier plan thought necessary, apart from its spare hosts.
   */
  function hostsWithoutSpare(service: string): number {
    const perDomain = new Map<string, number>();
    for (const host of hosts) {
      const owner = readClientToken(host.clientToken)?.service;
      if (owner === service && host.state === 'running') {
        const before = perDomain.get(host.failureDomain) ?? 0;
        perDomain.set(host.failureDomain, before + 1);
      }
    }
    const counts = [...perDomain.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return total - Math.max(0, ...counts);
  }

  /** A host whose start's reply was lost shows in the list by its token, or is asked for again. */
  async function retryOpenStarts(): Promise<void> {
    const tokens = new Set(hosts.map(host => host.clientToken));
    for (const open of openStarts.splice(0)) {
      if (!tokens.has(open.token) && tenure.isValid()) {
        await start(open.step, open.token);
      }
    }
  }

  async function carryOut(step: FleetStep): Promise<void> {
    if (step.type === 'start') {
      if (isRefused(step)) {
        return;
      }
      sequence += 1;
      await start(
        step,
        makeClientToken(step.service, tenure.fencing, sequence),
      );
      return;
    }
    decisions.note('fleet', step.host, 'stop host', step.why);
    await cloud.stop(step.host, tenure.signal);
  }

  /** A refusal earlier in this round counts for the rest of it. */
  function isRefused(step: OpenStart['step']): boolean {
    return supplies
      .list()
      .some(
        supply =>
          supply.failureDomain === step.failureDomain &&
          supply.machineClass === step.machineClass &&
          supply.isRefused(step.market),
      );
  }

  async function start(step: OpenStart['step'], token: string): Promise<void> {
    const {failureDomain, machineClass, market} = step;
    const subject = `${step.service} in ${failureDomain}`;
    try {
      const host = await cloud.start(
        {clientToken: token, failureDomain, machineClass, market},
        tenure.signal,
      );
      hosts = [...hosts.filter(other => other.id !== host.id), host];
      supplies.noteStart(failureDomain, machineClass, market);
      decisions.note('fleet', subject, `start ${market} host`, step.why);
    } catch (error) {
      if (isServingError(error, 'outcome-unknown')) {
        openStarts.push({token, step});
        return;
      }
      if (!isServingError(error, 'overloaded')) {
        throw error;
      }
      supplies.noteRefusal(failureDomain, machineClass, market);
      decisions.note(
        'fleet',
        subject,
        'look elsewhere',
        'the start was refused',
      );
    }
  }
}
