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
import {measureLoadPolls, measureSizes} from './slopes/replicaSlopes.js';
import {measureSockets} from './slopes/socketSlopes.js';

const SIZES = [7, 25, 100, 300] as const;
/** Members simulated for a lost failure domain. */
const LOSS_SIZE = 100;
/** With this many seconds or more the largest size is measured as well. */
const LONG_SECONDS = 120;
const LONG_SIZE = 600;

/**
 * Measures all slopes.
 *
 * @example
 * const slopes = await measureSlopes({seed: 1});
 */
export async function measureSlopes(options: MeasureOptions): Promise<object> {
  const {seed, seconds = 0} = options;
  const sizes = seconds >= LONG_SECONDS ? [...SIZES, LONG_SIZE] : SIZES;
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
    sizes: measureSizes(),
    members,
    domainLoss: [await measureDomainLoss(seed, LOSS_SIZE)],
    falseAlarms: [
      await measureFalseAlarms(seed, 7),
      await measureFalseAlarms(seed, 40),
    ],
  };
}
