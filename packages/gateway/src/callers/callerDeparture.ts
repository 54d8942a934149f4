/** Time at which a caller that has received nothing leaves. */
import type {Route} from '@skylarkfield/traffic';

/** Callers of streams wait for data for the longest of these times. */
const MIN_SILENCE_MS = 2_000;
const SILENCE_TARGETS = 4;
const SILENCE_PAUSES = 8;

/**
 * Returns the time until which a response must begin, in monotonic
 * milliseconds: for a stream the time at which its caller leaves, if that is
 * before the deadline.
 *
 * @example
 * const beginsBefore = callerLeavesAt(route, arrivedAt, deadlineAt);
 */
export function callerLeavesAt(
  {
    kind,
    goalMs,
    longestPauseMs,
  }: Pick<Route, 'kind' | 'goalMs' | 'longestPauseMs'>,
  arrivedAt: number,
  deadlineAt: number,
): number {
  if (kind !== 'streaming') {
    return deadlineAt;
  }
  const silenceMs = Math.max(
    MIN_SILENCE_MS,
    SILENCE_TARGETS * goalMs,
    SILENCE_PAUSES * longestPauseMs,
  );
  return Math.min(deadlineAt, arrivedAt + silenceMs);
}
