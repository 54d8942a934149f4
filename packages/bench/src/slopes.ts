/**
 * `slopes`: cost of control traffic per process as the numbers of entries,
 * replicas and changes grow. `tools/capacity.mjs` reads the returned object.
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
/** Entries simulated for the loss of a failure domain. */
const DOMAIN_LOSS_ENTRIES = 100;
/** Runs of at least this many seconds also measure `LARGE_ENTRY_COUNT`. */
const LARGE_COUNT_MIN_SECONDS = 120;
const LARGE_ENTRY_COUNT = 600;

/**
 * Measures the cost of idle entries, sockets, load polls and membership.
 *
 * @example
 * const slopes = await measureSlopes({seed: 1});
 */
export async function measureSlopes(options: MeasureOptions): Promise<object> {
  const {seed, seconds = 0} = options;
  const entryCounts =
    seconds >= LARGE_COUNT_MIN_SECONDS
      ? [...ENTRY_COUNTS, LARGE_ENTRY_COUNT]
      : ENTRY_COUNTS;
  const idleEntry = await measureIdleEntries();
  const sockets = await measureSockets();
  const loadPolls = await measureLoadPolls();
  const members = [];
  for (const entries of entryCounts) {
    members.push(await measureMembers(seed, entries));
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
