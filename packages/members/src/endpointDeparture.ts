/**
 * Detection of an endpoint that left and returned on the same host.
 *
 * The host list lags, so `live` alone may predate the departure, and requests
 * sent there would be cut off. A return therefore requires a list that shows
 * the endpoint leaving or absent, followed by a list that shows it live. As an
 * older list may arrive after a newer one, a return also requires a new URL or
 * that the deadline of the old process has passed. A new process on a host that
 * itself leaves is not a return.
 */
import type {ListedEndpoint} from '@skylarkfield/providers';

/** Observations of the host list since an endpoint was reported leaving. */
export interface Departure {
  /** Listed URL of the process that leaves; undefined until listed. */
  url: string | undefined;
  /** The list has shown the endpoint as leaving, or no longer contains it. */
  isConfirmed: boolean;
}

/** State of the host that the endpoint leaves. */
export interface DepartureHost {
  /** The host itself leaves, with all its endpoints. */
  readonly isWhole: boolean;
  /** Monotonic milliseconds by which the host is gone; undefined if unknown. */
  readonly goneBy: number | undefined;
}

/**
 * Creates the state of a departure. `listed` is undefined if the list has not
 * shown the endpoint on that host yet.
 *
 * @example
 * departures.set(endpoint, createDeparture(listed.get(endpoint)));
 */
export function createDeparture(listed: ListedEndpoint | undefined): Departure {
  return {url: listed?.url, isConfirmed: listed?.state === 'leaving'};
}

/**
 * Updates a departure from a new list: the endpoint's item on that host, and
 * whether the list contains the endpoint on any host. An endpoint that moved is
 * not absent, as an older list may follow and show it on its former host.
 *
 * @example
 * updateDeparture(departure, onHost.get(endpoint), byId.has(endpoint));
 */
export function updateDeparture(
  departure: Departure,
  listed: ListedEndpoint | undefined,
  isListed: boolean,
): void {
  // Absence of an endpoint never listed proves nothing: the list may be older.
  const wasListed = departure.url !== undefined;
  departure.isConfirmed ||= listed?.state === 'leaving';
  departure.isConfirmed ||= !isListed && wasListed;
  departure.url ??= listed?.url;
}

/**
 * Returns whether the listed process is a new one that may receive work.
 *
 * @example
 * if (hasReturned(departure, host, item, clock.now())) { readmit(item.id); }
 */
export function hasReturned(
  departure: Departure,
  host: DepartureHost,
  listed: ListedEndpoint,
  now: number,
): boolean {
  if (listed.state !== 'live' || !departure.isConfirmed) {
    return false;
  }
  if (host.goneBy !== undefined && now > host.goneBy) {
    return true;
  }
  return !host.isWhole && listed.url !== departure.url;
}
