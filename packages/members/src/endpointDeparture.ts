/**
 * Whether an endpoint that left has plainly returned on its host.
 *
 * The host list lags, so `live` alone may be from before the departure: work
 * sent there would be cut off. What the list says in order proves more: first
 * that the endpoint left, then that it lives. Even that may be a list that went
 * back in time, which happens when another source of it lags more, so a second
 * sign is asked for: the process has another address, or the time is over by
 * which the old one had to be gone. A process on a host that goes is no return.
 */
import type {ListedEndpoint} from '@skylarkfield/providers';

/** What the list has shown of an endpoint since it was known to leave. */
export interface Departure {
  /** Address that the list gave for the process that left, once it was listed. */
  url: string | undefined;
  /** The list has shown it as leaving, or has named it no more. */
  isShown: boolean;
}

/** What is known of the host that the endpoint left. */
export interface DepartureHost {
  /** The host itself goes, with all its endpoints. */
  readonly isWhole: boolean;
  /** Monotonic milliseconds by which what leaves is gone; undefined when no word said so. */
  readonly goneBy: number | undefined;
}

/**
 * Starts to follow a departure. The last listed entry is undefined where the
 * list has not yet named the endpoint on that host.
 *
 * @example
 * departures.set(endpoint, beginDeparture(listed.get(endpoint)));
 */
export function beginDeparture(listed: ListedEndpoint | undefined): Departure {
  return {url: listed?.url, isShown: listed?.state === 'leaving'};
}

/**
 * Takes in what a new list says of the endpoint on that host, and whether it
 * names the endpoint at all. One that moved is not gone: an old list may come
 * after the new one and show it where it was.
 *
 * @example
 * followDeparture(departure, onHost.get(endpoint), byId.has(endpoint));
 */
export function followDeparture(
  departure: Departure,
  listed: ListedEndpoint | undefined,
  isListed: boolean,
): void {
  // A list that never named it may be too old to, so its absence says nothing.
  const wasListed = departure.url !== undefined;
  departure.isShown ||= listed?.state === 'leaving';
  departure.isShown ||= !isListed && wasListed;
  departure.url ??= listed?.url;
}

/**
 * Tells whether the listed process is a new one that may have work.
 *
 * @example
 * if (isBack(departure, host, item, clock.now())) { takeBack(item.id); }
 */
export function isBack(
  departure: Departure,
  host: DepartureHost,
  listed: ListedEndpoint,
  now: number,
): boolean {
  if (listed.state !== 'live' || !departure.isShown) {
    return false;
  }
  if (host.goneBy !== undefined && now > host.goneBy) {
    return true;
  }
  return !host.isWhole && listed.url !== departure.url;
}
