/**
 * Detection of an endpoint that left and returned on the same host.
 *
 * The host list lags: an endpoint listed as `live` may have left since, and
 * requests sent to it would be cut off. A return therefore requires a list that
 * shows the endpoint as leaving or does not contain it, followed by a list that
 * shows it as live. As an older list may arrive after a newer one, a return
 * also requires a new URL or that the deadline of the host has passed. Before
 * the deadline of a host that leaves as a whole, a new process on this host is
 * not a return.
 */
import type {ListedEndpoint} from '@skylarkfield/providers';

/** Observations of the host list since an endpoint was reported leaving. */
export interface Departure {
  /** Listed URL of the leaving process; undefined until a list contains it. */
  url: string | undefined;
  /**
   * Whether a list has shown the endpoint as leaving or no longer contained it.
   */
  isConfirmed: boolean;
}

/** State of the host that the endpoint leaves. */
export interface DepartureHost {
  /** Whether the whole host leaves, with all its endpoints. */
  readonly isWhole: boolean;
  /**
   * Monotonic milliseconds by which the host is gone; undefined if no report
   * contained a deadline.
   */
  readonly goneBy: number | undefined;
}

/**
 * Creates the state of a departure. `listedEndpoint` is undefined if no list
 * has shown the endpoint on its host yet.
 *
 * @example
 * departures.set(endpoint, createDeparture(listedEndpoint));
 */
export function createDeparture(
  listedEndpoint: ListedEndpoint | undefined,
): Departure {
  return {
    url: listedEndpoint?.url,
    isConfirmed: listedEndpoint?.state === 'leaving',
  };
}

/**
 * Updates a departure from a new host list. `listedEndpoint` is the endpoint as
 * listed on the host that it leaves; `isListed` is whether the list contains
 * the endpoint on any host. An endpoint on another host does not count as
 * absent, as an older list may follow and show it on its former host.
 *
 * @example
 * updateDeparture(departure, listedEndpoint, isListed);
 */
export function updateDeparture(
  departure: Departure,
  listedEndpoint: ListedEndpoint | undefined,
  isListed: boolean,
): void {
  // The absence of an endpoint that was never listed proves nothing, as the
  // list may predate the endpoint.
  const wasListed = departure.url !== undefined;
  departure.isConfirmed ||= listedEndpoint?.state === 'leaving';
  departure.isConfirmed ||= !isListed && wasListed;
  departure.url ??= listedEndpoint?.url;
}

/**
 * Returns whether the listed endpoint is a new process that may receive work.
 *
 * @example
 * if (hasReturned(departure, host, listedEndpoint, now)) { readmit(endpoint); }
 */
export function hasReturned(
  departure: Departure,
  host: DepartureHost,
  listedEndpoint: ListedEndpoint,
  now: number,
): boolean {
  if (listedEndpoint.state !== 'live' || !departure.isConfirmed) {
    return false;
  }
  if (host.goneBy !== undefined && now > host.goneBy) {
    return true;
  }
  return !host.isWhole && listedEndpoint.url !== departure.url;
}
