/** Crash evidence as the entries gossip it. */
import {mergeCrashReports, type CrashReport} from './crashEvidence.js';
import {mergeUptimes, type EndpointUptime} from './crashUptimes.js';

/** Recent crash evidence of one entry, or of several. */
export interface CrashGossip extends CrashReport {
  /** Intervals in which endpoints did not crash; absent if there are none. */
  readonly uptimes?: readonly EndpointUptime[] | undefined;
}

/**
 * Merges two gossiped reports.
 *
 * @example
 * const merged = mergeCrashGossip(ownGossip, origin.digest.crashes);
 */
export function mergeCrashGossip(a: CrashGossip, b: CrashGossip): CrashGossip {
  const uptimes = mergeUptimes(a.uptimes, b.uptimes);
  return {
    ...mergeCrashReports(a, b),
    ...(uptimes.length > 0 && {uptimes}),
  };
}
