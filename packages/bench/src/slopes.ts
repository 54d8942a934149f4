/**
 * Slopes for the capacity page: what control costs one process as entries,
 * replicas and changes grow. Each part is a plain function; the page's script
 * reads the object that this returns.
 */
import type {MeasureOptions} from './measurements.js';
import {measureIdleEntries} from './slopes/idleEntry.js';
import {
  measureDomainLoss,
  measureFalseAlarms,
  measureMembers,
} from './slopes/memberSlopes.js';
import {measureLoadPolls, measureEncodedSizes} from './slopes/replicaSlopes.js';
import {measureSockets} from './slopes/socketSlopes.js';

const ENTRY_COUNTS = [7, 25, 100, 300] as const;
/** Members simulated for a lost failure domain. */
const DOMAIN_LOSS_ENTRIES = 100;
/** With this many seconds or more the largest size is measured as well. */
const LARGE_COUNT_MIN_SECONDS = 120;
const LARGE_ENTRY_COUNT = 600;

/**
 * Measures all slopes.
 *
 * @example
 * const slopes = await measureSlopes({seed: 1});
 */
export async function measureSlopes(options: MeasureOptions): Promise<object> {
  const {seed, seconds = 0} = options;
  const sizes =
    seconds >= LARGE_COUNT_MIN_SECONDS
      ? [...ENTRY_COUNTS, LARGE_ENTRY_COUNT]
      : ENTRY_COUNTS;
  const idleEntry = await measureIdleEntries();
  const sockets = await measureSockets();
  const loadPolls = await measureLoadPolls();
  const members = [];
  for (const size of sizes) {
    members.push(await measureMembers(seed, size));
  }
  return {
    idleEntry,
    sockets,
    loadPolls,
    sizes: measureEncodedSizes(),
    members,
    domainLoss: [await measureDomainLoss(seed, DOMAIN_LOSS_ENTRIES)],
    falseAlarms: [
      await measureFalseAlarms(seed, 7),
      await measureFalseAlarms(seed, 40),
    ],
  };
}
