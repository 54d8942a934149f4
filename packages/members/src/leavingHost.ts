/** What is remembered of a host from which endpoints leave. */
import type {Clock} from '@skylarkfield/base';
import type {Departure} from './endpointDeparture.js';

/** Where the first word came from. */
export type LeavingSource = 'notice' | 'list' | 'peer' | 'fault';

export interface LeavingHost {
  readonly host: string;
  goneAt: number;
  /** Monotonic milliseconds by which it is gone; undefined when no word said so. */
  goneBy: number | undefined;
  /** Monotonic milliseconds. */
  readonly since: number;
  forgetAt: number;
  readonly source: LeavingSource;
  /** All endpoints there leave, also those not yet listed. */
  isWhole: boolean;
  readonly endpoints: Map<string, Departure>;
  /** Those that are back. */
  readonly back: Set<string>;
}

/** The host list is never older than this, in milliseconds. */
const LONGEST_LIST_LAG_MS = 15 * 60_000;
/** Longest notice that is believed, in milliseconds. */
const LONGEST_NOTICE_MS = 60 * 60_000;
/**
 * Begins to remember a host; its time is not known yet.
 *
 * @example
 * const known = beginLeavingHost('h1', 'notice', clock);
 */
export function beginLeavingHost(
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
    forgetAt: now + LONGEST_LIST_LAG_MS,
    source,
    isWhole: false,
    endpoints: new Map(),
    back: new Set(),
  };
}

/**
 * Takes in a time that is later than the known one, as of a second notice.
 *
 * @example
 * postpone(known, notice.goneAt, clock);
 */
export function postpone(known: LeavingHost, goneAt: number, clock: Clock) {
  if (goneAt <= known.goneAt) {
    return;
  }
  const noticeMs = Math.max(0, goneAt - clock.wall());
  known.goneAt = goneAt;
  known.goneBy = clock.now() + Math.min(LONGEST_NOTICE_MS, noticeMs);
  known.forgetAt = known.goneBy + LONGEST_LIST_LAG_MS;
}

/**
 * A notice told again, as after a cut, says nothing of an endpoint that is back since.
 *
 * @example
 * const news = endpoints.filter(id => !isRepeat(known, goneAt, id));
 */
export function isRepeat(
  known: LeavingHost | undefined,
  goneAt: number,
  endpoint: string,
): boolean {
  if (known === undefined || goneAt <= 0 || goneAt > known.goneAt) {
    return false;
  }
  return known.back.has(endpoint);
}
