/** What to start and stop now, to get from the hosts there are to those wanted. */
import {readClientToken} from './clientToken.js';
import type {FleetStep, Host, WantedHosts} from './contracts.js';

/** Starts asked for in one round; a wave is answered over a few rounds instead of at once. */
const STARTS_PER_ROUND = 20;

/** Wanted and present hosts of one service, place and market. */
interface Bin {
  readonly service: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Host['market'];
  wanted: number;
  readonly hosts: Host[];
}

/**
 * Finds the steps, most needed first: services that lack the largest part of
 * their hosts start first. Hosts beyond the plan are stopped only when enough
 * others of the service run, so that a plan that moves a service elsewhere
 * never takes its capacity away first. Hosts that are not ours, or whose
 * service is gone, are reported and left alone or stopped.
 *
 * @example
 * for (const step of fleetSteps(plan.wanted, await cloud.hosts())) { … }
 */
export function fleetSteps(
  wanted: readonly WantedHosts[],
  hosts: readonly Host[],
): FleetStep[] {
  const bins = fillBins(wanted, hosts);
  return [...startSteps(bins), ...stopSteps(bins)];
}

function fillBins(
  wanted: readonly WantedHosts[],
  hosts: readonly Host[],
): Bin[] {
  const bins = new Map<string, Bin>();
  function binOf(key: Omit<Bin, 'wanted' | 'hosts'>): Bin {
    const name = [
      key.service,
      key.failureDomain,
      key.machineClass,
      key.market,
    ].join('/');
    const bin = bins.get(name) ?? {...key, wanted: 0, hosts: []};
    bins.set(name, bin);
    return bin;
  }
  for (const {count, ...key} of wanted) {
    binOf(key).wanted += count;
  }
  for (const host of hosts) {
    const owner = readClientToken(host.clientToken);
    if (owner === undefined || isLost(host)) {
      continue;
    }
    const {failureDomain, machineClass, market} = host;
    binOf({
      service: owner.service,
      failureDomain,
      machineClass,
      market,
    }).hosts.push(host);
  }
  return [...bins.values()];
}

/** A leaving host serves for seconds more; it no longer counts as capacity. */
function isLost(host: Host): boolean {
  return host.state === 'leaving' || host.state === 'gone';
}

function startSteps(bins: readonly Bin[]): FleetStep[] {
  const lacking = new Map<string, {wanted: number; missing: number}>();
  for (const bin of bins) {
    const service = lacking.get(bin.service) ?? {wanted: 0, missing: 0};
    service.wanted += bin.wanted;
    service.missing += Math.max(0, bin.wanted - bin.hosts.length);
    lacking.set(bin.service, service);
  }
  const need = (bin: Bin) => {
    const {wanted, missing} = lacking.get(bin.service)!;
    return wanted === 0 ? 0 : missing / wanted;
  };
  return [...bins]
    .sort((a, b) => need(b) - need(a))
    .flatMap(bin => startsOf(bin))
    .slice(0, STARTS_PER_ROUND);
}

function startsOf(bin: Bin): FleetStep[] {
  const missing = Math.max(0, bin.wanted - bin.hosts.length);
  return Array.from({length: missing}, () => ({
    type: 'start',
    service: bin.service,
    failureDomain: bin.failureDomain,
    machineClass: bin.machineClass,
    market: bin.market,
    why: `${bin.hosts.length} of ${bin.wanted} hosts are there`,
  }));
}

function stopSteps(bins: readonly Bin[]): FleetStep[] {
  const spare = new Map<string, number>();
  for (const bin of bins) {
    const running = bin.hosts.filter(host => host.state === 'running').length;
    const before = spare.get(bin.service) ?? 0;
    spare.set(bin.service, before + running - bin.wanted);
  }
  return bins.flatMap(bin => {
    const surplus = bin.hosts.length - bin.wanted;
    const mayStop = Math.min(surplus, spare.get(bin.service) ?? 0);
    if (mayStop <= 0) {
      return [];
    }
    spare.set(bin.service, (spare.get(bin.service) ?? 0) - mayStop);
    return leastNeeded(bin.hosts)
      .slice(0, mayStop)
      .map(host => ({
        type: 'stop' as const,
        host: host.id,
        why: `${surplus} more than the ${bin.wanted} wanted`,
      }));
  });
}

/** Hosts that do not run yet go first: nothing is served by them. */
function leastNeeded(hosts: readonly Host[]): Host[] {
  return [...hosts].sort(
    (a, b) =>
      Number(a.state === 'running') - Number(b.state === 'running') ||
      (a.id < b.id ? 1 : -1),
  );
}
