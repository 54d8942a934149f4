/** State kept for a host that endpoints are leaving. */
import type {Clock} from '@skylarkfield/base';
import type {Departure} from './endpointDeparture.js';

/** Source of a report that an endpoint leaves. */
export type LeavingSource = 'notice' | 'list' | 'peer' | 'fault';

export interface LeavingHost {
  readonly host: string;
  /** Like `goneBy`, but in wall-clock milliseconds; 0 if undefined. */
  goneAt: number;
  /**
   * Monotonic milliseconds by which the host is gone; undefined if no report
   * contained a deadline.
   */
  goneBy: number | undefined;
  /** Monotonic milliseconds of the first report about the host. */
  readonly since: number;
  /** Monotonic milliseconds at which the state of the host is dropped. */
  forgetAt: number;
  /** Source of the first report about the host. */
  readonly source: LeavingSource;
  /** Whether the whole host leaves, with all its endpoints, listed or not. */
  isWhole: boolean;
  readonly endpoints: Map<string, Departure>;
  /** Ids of the endpoints that have returned on this host. */
  readonly back: Set<string>;
}

/** Maximum lag of the host list, in milliseconds. */
const MAX_LIST_LAG_MS = 15 * 60_000;
/** Maximum time from a reclaim notice to its deadline, in milliseconds. */
const MAX_NOTICE_MS = 60 * 60_000;

/**
 * Creates the state of a leaving host whose deadline is not known yet.
 *
 * @example
 * const leavingHost = createLeavingHost('h1', 'notice', clock);
 */
export function createLeavingHost(
  host: string,
  source: LeavingSource,
  clock: Clock,
): LeavingHost {
  const now = clock.now();
  return {
    host,
    goneAt: 0,
    goneBy: undefined,
    since: now,
    forgetAt: now + MAX_LIST_LAG_MS,
    source,
    isWhole: false,
    endpoints: new Map(),
    back: new Set(),
  };
}

/**
 * Sets the deadline to `goneAt`, in wall-clock milliseconds, if it is later
 * than the current deadline, as after a second notice.
 *
 * @example
 * extendDeadline(leavingHost, notice.goneAt, clock);
 */
export function extendDeadline(
  leavingHost: LeavingHost,
  goneAt: number,
  clock: Clock,
) {
  if (goneAt <= leavingHost.goneAt) {
    return;
  }
  const noticeMs = Math.max(0, goneAt - clock.wall());
  leavingHost.goneAt = goneAt;
  leavingHost.goneBy = clock.now() + Math.min(MAX_NOTICE_MS, noticeMs);
  leavingHost.forgetAt = leavingHost.goneBy + MAX_LIST_LAG_MS;
}

/**
 * Returns whether a notice has no later deadline than the earlier notices for
 * the host although the endpoint has returned since. Such a notice repeats an
 * earlier one, as after a network partition, and does not apply to the
 * endpoint.
 *
 * @example
 * const isNew = !isRepeatedNotice(leavingHost, notice.goneAt, endpoint);
 */
export function isRepeatedNotice(
  leavingHost: LeavingHost | undefined,
  goneAt: number,
  endpoint: string,
): boolean {
  if (leavingHost === undefined || goneAt <= 0 || goneAt > leavingHost.goneAt) {
    return false;
  }
  return leavingHost.back.has(endpoint);
}
