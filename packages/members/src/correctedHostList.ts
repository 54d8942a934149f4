/**
 * Host list in which leaving endpoints have the state `leaving`, even if the
 * cloud lists them as live.
 */
import {createEmitter, type Clock, type Disposable} from '@skylarkfield/base';
import type {HostList, ListedEndpoint} from '@skylarkfield/providers';

export interface CorrectedHostList extends HostList, Disposable {
  /** Replaces the list and fires its correction. */
  setList(list: readonly ListedEndpoint[]): void;
  /** Schedules one corrected list for all changes of one message or notice. */
  scheduleUpdate(): void;
}

/**
 * Creates a host list that fires nothing until the first list is set, and
 * nothing after it is disposed.
 *
 * @example
 * const correctedList = createCorrectedHostList(clock, isLeaving);
 * hostList.watch(list => correctedList.setList(list));
 */
export function createCorrectedHostList(
  clock: Clock,
  isLeaving: (endpoint: string, host: string) => boolean,
): CorrectedHostList {
  const didCorrect = createEmitter<readonly ListedEndpoint[]>();
  let latestList: readonly ListedEndpoint[] | undefined;
  let isUpdateScheduled = false;
  let isDisposed = false;

  function markLeaving(list: readonly ListedEndpoint[]): ListedEndpoint[] {
    return list.map(listedEndpoint =>
      isLeaving(listedEndpoint.id, listedEndpoint.host)
        ? {...listedEndpoint, state: 'leaving'}
        : listedEndpoint,
    );
  }

  function fireCorrectedList() {
    isUpdateScheduled = false;
    if (latestList !== undefined && !isDisposed) {
      didCorrect.fire(markLeaving(latestList));
    }
  }

  return {
    watch(listener) {
      if (latestList !== undefined) {
        listener(markLeaving(latestList));
      }
      return didCorrect.event(listener);
    },
    setList(list) {
      latestList = list;
      fireCorrectedList();
    },
    scheduleUpdate() {
      if (isUpdateScheduled) {
        return;
      }
      isUpdateScheduled = true;
      clock.after(0, fireCorrectedList);
    },
    dispose() {
      isDisposed = true;
    },
  };
}
