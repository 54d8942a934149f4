/** Announces to other entries which services this entry cannot reach. */
import {
  createDisposableStore,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {Membership} from '@skylarkfield/members';
import type {EndpointReach} from '@skylarkfield/routing';

/**
 * Time for which a service must be reached before that is announced, in
 * milliseconds. Callers move on each announcement, so one that does not last is
 * worse than none.
 */
const STABLE_MS = 2_000;

/**
 * Starts to announce the services that this entry is cut off from.
 *
 * @example
 * disposables.add(announceReach({reach, membership, clock}));
 */
export function announceReach({
  reach,
  membership,
  clock,
}: {
  readonly reach: Pick<
    EndpointReach,
    'onDidCutOff' | 'onDidRegain' | 'stateOf'
  >;
  readonly membership: Pick<Membership, 'announceUnreachable'>;
  readonly clock: Clock;
}): Disposable {
  const disposables = createDisposableStore();
  const timersByService = new Map<string, Disposable>();
  const announcedServices = new Set<string>();

  function announce(): void {
    membership.announceUnreachable([...announcedServices].sort());
  }

  function cancelTimer(service: string): void {
    timersByService.get(service)?.dispose();
    timersByService.delete(service);
  }

  disposables.add(
    reach.onDidCutOff(service => {
      cancelTimer(service);
      announcedServices.add(service);
      announce();
    }),
  );
  disposables.add(
    reach.onDidRegain(service => {
      cancelTimer(service);
      timersByService.set(
        service,
        clock.after(STABLE_MS, () => {
          announcedServices.delete(service);
          announce();
        }),
      );
    }),
  );
  disposables.add({
    dispose: () => timersByService.forEach(timer => timer.dispose()),
  });
  return disposables;
}
