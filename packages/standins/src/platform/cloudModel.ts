/** What the stand-in's cloud knows: offers, hosts and the notices it has given. */
import {
  emitter,
  ServingError,
  type Clock,
  type Disposable,
  type Event,
} from '@skylarkfield/base';
import type {Host, Market, Offer, ReclaimNotice} from '@skylarkfield/providers';
import type {Faults} from './faults.js';

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
  /** Throws `overloaded` when the start is refused. */
  start(request: StartRequest): Host;
  stop(id: string): void;
  /** Takes hosts back: with notice, or at once when the span is 0. */
  reclaim(isMeant: (host: Host) => boolean, noticeMs: number): readonly Host[];
  /** Notices of hosts that are still there. */
  notices(): readonly ReclaimNotice[];
  readonly onDidNotice: Event<ReclaimNotice>;
}

const REFUSED_RETRY_MS = 2000;

/** Failure domains, classes and prices of a small cloud. */
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
 * Makes a cloud without hosts.
 *
 * @example
 * const cloud = createCloudModel(systemClock(), healthy());
 */
export function createCloudModel(clock: Clock, faults: Faults): CloudModel {
  const hosts = new Map<string, Host>();
  const noticed = emitter<ReclaimNotice>();
  let offers = defaultOffers;
  let nextHost = 0;
  const timers = createTimers(clock);

  function update(id: string, change: Partial<Host>): void {
    const host = hosts.get(id);
    if (host !== undefined && host.state !== 'gone') {
      hosts.set(id, {...host, ...change});
    }
  }

  return {
    offers: () => offers,
    setOffers(next) {
      offers = next;
    },
    hosts: () => [...hosts.values()].filter(host => host.state !== 'gone'),
    start(request) {
      const known = [...hosts.values()].find(
        host => host.clientToken === request.clientToken,
      );
      if (known !== undefined) {
        return known;
      }
      if (faults.startsToRefuse > 0) {
        faults.startsToRefuse -= 1;
        throw new ServingError('overloaded', 'no capacity for this class', {
          retryAfterMs: REFUSED_RETRY_MS,
        });
      }
      nextHost += 1;
      const host: Host = {
        ...request,
        id: `host-${nextHost}`,
        state: 'starting',
      };
      hosts.set(host.id, host);
      timers.after(faults.startMs, () => {
        if (hosts.get(host.id)?.state === 'starting') {
          update(host.id, {state: 'running'});
        }
      });
      return host;
    },
    stop: id => update(id, {state: 'gone'}),
    reclaim(isMeant, noticeMs) {
      const meant = [...hosts.values()].filter(
        host => host.state !== 'gone' && isMeant(host),
      );
      for (const {id} of meant) {
        if (noticeMs === 0) {
          update(id, {state: 'gone'});
          continue;
        }
        const goneAt = clock.wall() + noticeMs;
        update(id, {state: 'leaving', goneAt});
        noticed.fire({host: id, goneAt});
        timers.after(noticeMs, () => update(id, {state: 'gone'}));
      }
      return meant;
    },
    notices: () =>
      [...hosts.values()]
        .filter(host => host.state === 'leaving')
        .map(host => ({host: host.id, goneAt: host.goneAt ?? clock.wall()})),
    onDidNotice: noticed.event,
    dispose: timers.dispose,
  };
}

/** Timers that end with the cloud: a notice may run for longer than anybody waits. */
function createTimers(clock: Clock) {
  const pending = new Set<Disposable>();
  return {
    after(delayMs: number, callback: () => void) {
      const timer = clock.after(delayMs, () => {
        pending.delete(timer);
        callback();
      });
      pending.add(timer);
    },
    dispose() {
      pending.forEach(timer => timer.dispose());
      pending.clear();
    },
  };
}
