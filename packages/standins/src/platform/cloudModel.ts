/** Simulated cloud: machine offers, hosts and reclaim notices. */
import {
  createEmitter,
  ServingError,
  type Clock,
  type Disposable,
  type Event,
} from '@skylarkfield/base';
import type {Host, Market, Offer, ReclaimNotice} from '@skylarkfield/providers';
import type {PlatformFaults} from './platformFaults.js';

export interface StartRequest {
  readonly clientToken: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
}

export interface CloudModel extends Disposable {
  offers(): readonly Offer[];
  setOffers(offers: readonly Offer[]): void;
  hosts(): readonly Host[];
  /**
   * Starts a host, or returns the host that the client token already started.
   * Throws `overloaded` when the start is rejected.
   */
  start(request: StartRequest): Host;
  stop(id: string): void;
  /** Reclaims hosts `noticeMs` after a notice, or without notice if 0. */
  reclaim(
    isAffected: (host: Host) => boolean,
    noticeMs: number,
  ): readonly Host[];
  /** Returns the reclaim notices of all hosts in state `leaving`. */
  notices(): readonly ReclaimNotice[];
  readonly onDidAddNotice: Event<ReclaimNotice>;
}

const START_RETRY_AFTER_MS = 2000;

/** Offers of a small cloud: two machine classes in four failure domains. */
export const defaultOffers: readonly Offer[] = ['a', 'b', 'c', 'd'].flatMap(
  (failureDomain, index) => [
    {
      failureDomain,
      machineClass: 'gpu-small',
      market: 'reclaimable' as const,
      pricePerHour: 0.4 + index * 0.05,
    },
    {
      failureDomain,
      machineClass: 'gpu-small',
      market: 'on-demand' as const,
      pricePerHour: 1.2,
    },
    {
      failureDomain,
      machineClass: 'cpu-small',
      market: 'reclaimable' as const,
      pricePerHour: 0.03 + index * 0.005,
    },
    {
      failureDomain,
      machineClass: 'cpu-small',
      market: 'on-demand' as const,
      pricePerHour: 0.1,
    },
  ],
);

/**
 * Creates a cloud without hosts.
 *
 * @example
 * const cloud = createCloudModel(systemClock(), createPlatformFaults());
 */
export function createCloudModel(
  clock: Clock,
  faults: PlatformFaults,
): CloudModel {
  const hosts = new Map<string, Host>();
  const noticeEmitter = createEmitter<ReclaimNotice>();
  let offers = defaultOffers;
  let lastHostNumber = 0;
  const timers = createTimerSet(clock);

  function updateHost(id: string, change: Partial<Host>): void {
    const host = hosts.get(id);
    if (host !== undefined && host.state !== 'gone') {
      hosts.set(id, {...host, ...change});
    }
  }

  return {
    offers: () => offers,
    setOffers(newOffers) {
      offers = newOffers;
    },
    hosts: () => [...hosts.values()].filter(host => host.state !== 'gone'),
    start(request) {
      const existingHost = [...hosts.values()].find(
        host => host.clientToken === request.clientToken,
      );
      if (existingHost !== undefined) {
        return existingHost;
      }
      if (faults.startsToRefuse > 0) {
        faults.startsToRefuse -= 1;
        throw new ServingError(
          'overloaded',
          'no capacity for this machine class',
          {
            retryAfterMs: START_RETRY_AFTER_MS,
          },
        );
      }
      lastHostNumber += 1;
      const host: Host = {
        ...request,
        id: `host-${lastHostNumber}`,
        state: 'starting',
      };
      hosts.set(host.id, host);
      timers.after(faults.startMs, () => {
        if (hosts.get(host.id)?.state === 'starting') {
          updateHost(host.id, {state: 'running'});
        }
      });
      return host;
    },
    stop: id => updateHost(id, {state: 'gone'}),
    reclaim(isAffected, noticeMs) {
      const affectedHosts = [...hosts.values()].filter(
        host => host.state !== 'gone' && isAffected(host),
      );
      for (const {id} of affectedHosts) {
        if (noticeMs === 0) {
          updateHost(id, {state: 'gone'});
          continue;
        }
        const goneAt = clock.wall() + noticeMs;
        updateHost(id, {state: 'leaving', goneAt});
        noticeEmitter.fire({host: id, goneAt});
        timers.after(noticeMs, () => updateHost(id, {state: 'gone'}));
      }
      return affectedHosts;
    },
    notices: () =>
      [...hosts.values()]
        .filter(host => host.state === 'leaving')
        .map(host => ({host: host.id, goneAt: host.goneAt ?? clock.wall()})),
    onDidAddNotice: noticeEmitter.event,
    dispose: timers.dispose,
  };
}

/**
 * Creates timers that are cancelled when the cloud is disposed, because a
 * reclaim notice may end after the disposal.
 */
function createTimerSet(clock: Clock) {
  const pendingTimers = new Set<Disposable>();
  return {
    after(delayMs: number, callback: () => void) {
      const timer = clock.after(delayMs, () => {
        pendingTimers.delete(timer);
        callback();
      });
      pendingTimers.add(timer);
    },
    dispose() {
      pendingTimers.forEach(timer => timer.dispose());
      pendingTimers.clear();
    },
  };
}
