/** Computes the starts and stops that turn present into wanted hosts. */
import {parseClientToken} from './clientToken.js';
import type {FleetAction, Host, WantedHosts} from './contracts.js';

/**
 * Upper bound of host starts per round; spreads the replacement of many
 * reclaimed hosts over a few rounds.
 */
const MAX_STARTS_PER_ROUND = 20;

/** Wanted and present hosts of a service in one pool and market. */
interface HostGroup {
  readonly service: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Host['market'];
  wantedCount: number;
  readonly hosts: Host[];
}

/**
 * Returns the starts, followed by the stops. Starts of services that lack the
 * largest fraction of their hosts come first. Surplus hosts are stopped only
 * while enough other hosts of the service run, so a plan that relocates a
 * service never removes the capacity of the service first. Hosts of removed
 * services are stopped; hosts with client tokens of other software are ignored.
 *
 * @example
 * const hosts = await cloud.listHosts();
 * for (const action of planFleetActions(plan.wanted, hosts)) { … }
 */
export function planFleetActions(
  wanted: readonly WantedHosts[],
  hosts: readonly Host[],
): FleetAction[] {
  const groups = groupHosts(wanted, hosts);
  return [...planStarts(groups), ...planStops(groups)];
}

function groupHosts(
  wanted: readonly WantedHosts[],
  hosts: readonly Host[],
): HostGroup[] {
  const groups = new Map<string, HostGroup>();
  function getOrCreateGroup(
    key: Omit<HostGroup, 'wantedCount' | 'hosts'>,
  ): HostGroup {
    const name = [
      key.service,
      key.failureDomain,
      key.machineClass,
      key.market,
    ].join('/');
    const group = groups.get(name) ?? {...key, wantedCount: 0, hosts: []};
    groups.set(name, group);
    return group;
  }
  for (const {count, ...key} of wanted) {
    getOrCreateGroup(key).wantedCount += count;
  }
  for (const host of hosts) {
    const owner = parseClientToken(host.clientToken);
    if (owner === undefined || isLeavingOrGone(host)) {
      continue;
    }
    const {failureDomain, machineClass, market} = host;
    getOrCreateGroup({
      service: owner.service,
      failureDomain,
      machineClass,
      market,
    }).hosts.push(host);
  }
  return [...groups.values()];
}

/**
 * Returns whether a host is leaving or gone. A leaving host does not count as
 * capacity, as it serves requests for a few seconds only.
 */
function isLeavingOrGone(host: Host): boolean {
  return host.state === 'leaving' || host.state === 'gone';
}

function planStarts(groups: readonly HostGroup[]): FleetAction[] {
  const hostCounts = new Map<
    string,
    {wantedHosts: number; missingHosts: number}
  >();
  for (const group of groups) {
    const counts = hostCounts.get(group.service) ?? {
      wantedHosts: 0,
      missingHosts: 0,
    };
    counts.wantedHosts += group.wantedCount;
    counts.missingHosts += Math.max(0, group.wantedCount - group.hosts.length);
    hostCounts.set(group.service, counts);
  }
  const missingFraction = (group: HostGroup) => {
    const {wantedHosts, missingHosts} = hostCounts.get(group.service)!;
    return wantedHosts === 0 ? 0 : missingHosts / wantedHosts;
  };
  return [...groups]
    .sort((a, b) => missingFraction(b) - missingFraction(a))
    .flatMap(group => planGroupStarts(group))
    .slice(0, MAX_STARTS_PER_ROUND);
}

function planGroupStarts(group: HostGroup): FleetAction[] {
  const missingCount = Math.max(0, group.wantedCount - group.hosts.length);
  return Array.from({length: missingCount}, () => ({
    type: 'start',
    service: group.service,
    failureDomain: group.failureDomain,
    machineClass: group.machineClass,
    market: group.market,
    why: `${group.hosts.length} of ${group.wantedCount} wanted hosts exist`,
  }));
}

function planStops(groups: readonly HostGroup[]): FleetAction[] {
  const spareRunningHosts = new Map<string, number>();
  for (const group of groups) {
    const runningCount = group.hosts.filter(
      host => host.state === 'running',
    ).length;
    const previousSpare = spareRunningHosts.get(group.service) ?? 0;
    spareRunningHosts.set(
      group.service,
      previousSpare + runningCount - group.wantedCount,
    );
  }
  return groups.flatMap(group => {
    const surplus = group.hosts.length - group.wantedCount;
    const stopCount = Math.min(
      surplus,
      spareRunningHosts.get(group.service) ?? 0,
    );
    if (stopCount <= 0) {
      return [];
    }
    spareRunningHosts.set(
      group.service,
      (spareRunningHosts.get(group.service) ?? 0) - stopCount,
    );
    return sortByStopPreference(group.hosts)
      .slice(0, stopCount)
      .map(host => ({
        type: 'stop' as const,
        host: host.id,
        why: `${surplus} hosts more than the ${group.wantedCount} wanted`,
      }));
  });
}

/**
 * Sorts hosts in the order in which to stop them. Hosts that do not run yet
 * come first, as they serve no requests.
 */
function sortByStopPreference(hosts: readonly Host[]): Host[] {
  return [...hosts].sort(
    (a, b) =>
      Number(a.state === 'running') - Number(b.state === 'running') ||
      (a.id < b.id ? 1 : -1),
  );
}
