/** State held for a host that endpoints are leaving. */
import type {Clock} from '@skylarkfield/base';
import type {Departure} from './endpointDeparture.js';

/** Source of the first report. */
export type LeavingSource = 'notice' | 'list' | 'peer' | 'fault';

export interface LeavingHost {
  readonly host: string;
  goneAt: number;
  /** Monotonic milliseconds by which the host is gone; undefined if unknown. */
  goneBy: number | undefined;
  /** Monotonic milliseconds of the first report. */
  readonly since: number;
  /** Monotonic milliseconds at which this state is dropped. */
  forgetAt: number;
  readonly source: LeavingSource;
  /** The host itself leaves with all its endpoints, including unlisted ones. */
  isWhole: boolean;
  readonly endpoints: Map<string, Departure>;
  /** Endpoints that have returned. */
  readonly back: Set<string>;
}

/** Maximum lag of the host list, in milliseconds. */
const MAX_LIST_LAG_MS = 15 * 60_000;
/** Maximum time from a reclaim notice to its deadline, in milliseconds. */
const MAX_NOTICE_MS = 60 * 60_000;

/**
 * Creates the state of a host without a deadline.
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
 * Applies a deadline that is later than the known deadline, like that of a
 * second notice.
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
 * Returns whether a notice is a repetition, as after a network partition, that
 * does not apply to an endpoint that has returned since.
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
