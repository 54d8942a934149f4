/** Decides when changed endpoints are applied. */
import {throttle, type Clock} from '@skylarkfield/base';
import type {Mirror} from '../mirrors/mirror.js';

/**
 * Minimum interval of applying changed endpoints, in milliseconds. Applying
 * them takes time in proportion to all endpoints, and each registers and
 * changes by itself.
 */
const REFRESH_INTERVAL_MS = 100;

/**
 * Calls `refresh` on changes of the mirrors, at most once per
 * `REFRESH_INTERVAL_MS`; the first complete view, for which callers wait, is
 * applied at once. Returns a function that requests a refresh for other
 * reasons, at the same limited rate.
 *
 * @example
 * const refreshSoon = startEndpointRefresh({
 *   clock, mirrors, isViewLoaded: directory.isLoaded, refresh,
 * });
 */
export function startEndpointRefresh(options: {
  readonly clock: Clock;
  readonly mirrors: readonly Pick<
    Mirror<unknown>,
    'isLoaded' | 'onDidChange'
  >[];
  /** Returns whether a complete view has been applied. */
  readonly isViewLoaded: () => boolean;
  readonly refresh: () => void;
}): () => void {
  const {clock, mirrors, isViewLoaded, refresh} = options;
  const refreshSoon = throttle(clock, REFRESH_INTERVAL_MS, refresh);

  function applyChange(): void {
    const isFirstCompleteView =
      !isViewLoaded() && mirrors.every(mirror => mirror.isLoaded());
    (isFirstCompleteView ? refresh : refreshSoon)();
  }

  mirrors.forEach(mirror => mirror.onDidChange(applyChange));
  return refreshSoon;
}
