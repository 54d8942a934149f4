/** Hosts that endpoints are leaving; bounded, the oldest host is dropped. */
import type {Clock} from '@skylarkfield/base';
import {
  createLeavingHost,
  extendDeadline,
  type LeavingHost,
  type LeavingSource,
} from './leavingHost.js';

export interface LeavingHostTable {
  get(host: string): LeavingHost | undefined;
  /**
   * Returns the state of a host, added if absent, with its deadline extended to
   * `goneAt` (wall-clock milliseconds; 0 if unknown).
   */
  getOrAdd(host: string, goneAt: number, source: LeavingSource): LeavingHost;
  remove(host: string): void;
  /** Iterates over the hosts in order of their first report. */
  hosts(): IterableIterator<LeavingHost>;
  /**
   * Returns whether the endpoint is leaving the host, or any host if `host` is
   * undefined.
   */
  isLeaving(endpoint: string, host: string | undefined): boolean;
  /** Returns whether the endpoint is leaving a host other than `host`. */
  isLeavingAnotherHost(endpoint: string, host: string): boolean;
}

/**
 * Maximum number of tracked hosts; a failure domain of the largest fleet has
 * fewer hosts.
 */
const MAX_HOSTS = 4_000;

/**
 * Creates a table without hosts.
 *
 * @example
 * const leavingHosts = createLeavingHostTable(clock);
 * leavingHosts.getOrAdd('h1', notice.goneAt, 'notice').isWhole = true;
 */
export function createLeavingHostTable(clock: Clock): LeavingHostTable {
  const hostsById = new Map<string, LeavingHost>();

  function addHost(host: string, source: LeavingSource): LeavingHost {
    const leavingHost = createLeavingHost(host, source, clock);
    hostsById.set(host, leavingHost);
    if (hostsById.size > MAX_HOSTS) {
      const [oldest] = hostsById.keys();
      hostsById.delete(oldest!);
    }
    return leavingHost;
  }

  return {
    get: host => hostsById.get(host),
    getOrAdd(host, goneAt, source) {
      const leavingHost = hostsById.get(host) ?? addHost(host, source);
      extendDeadline(leavingHost, goneAt, clock);
      return leavingHost;
    },
    remove(host) {
      hostsById.delete(host);
    },
    hosts: () => hostsById.values(),
    isLeaving(endpoint, host) {
      if (host === undefined) {
        return [...hostsById.values()].some(({endpoints}) =>
          endpoints.has(endpoint),
        );
      }
      const leavingHost = hostsById.get(host);
      return (
        leavingHost !== undefined &&
        (leavingHost.endpoints.has(endpoint) ||
          (leavingHost.isWhole && !leavingHost.back.has(endpoint)))
      );
    },
    isLeavingAnotherHost: (endpoint, host) =>
      [...hostsById.values()].some(
        leavingHost =>
          leavingHost.host !== host && leavingHost.endpoints.has(endpoint),
      ),
  };
}
