/** Tells callers which entries to connect to. */
import type {Member} from '@skylarkfield/members';

/** Entries in one answer, at most. */
const MOST_ENTRIES = 16;

/** With fewer near entries than this, farther ones are named too: callers must have one left when an entry dies. */
const LEAST_ENTRIES = 2;

/**
 * Addresses of the entries that take new work, for a caller in a failure domain:
 * those beside it, since every byte between failure domains is paid for, and
 * others only where there are too few.
 *
 * @example
 * const addresses = entriesFor(membership.live(), 'zone-a');
 */
export function entriesFor(
  live: readonly Member[],
  failureDomain: string,
): readonly string[] {
  const near = live.filter(member => member.failureDomain === failureDomain);
  const far = live.filter(member => member.failureDomain !== failureDomain);
  const missing = Math.max(0, LEAST_ENTRIES - near.length);
  const byLoad = [...far].sort((a, b) => a.load - b.load);
  const chosen =
    near.length === 0 ? byLoad : [...near, ...byLoad.slice(0, missing)];
  return chosen
    .slice(0, MOST_ENTRIES)
    .map(({callerUrl}) => addressOf(callerUrl));
}

function addressOf(url: string): string {
  return new URL(url).host;
}
