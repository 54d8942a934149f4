/** Sums of the figures in the reports of several entries. */
import type {OutcomeCounts, WorkRate} from '@skylarkfield/capacity';
import type {EndpointLoad} from '@skylarkfield/protocol';
import {
  addLoads,
  mergeCrashGossip,
  type CrashGossip,
} from '@skylarkfield/routing';
import {addWork, ZERO_WORK} from '@skylarkfield/traffic';

export type AmountsByCustomer = Readonly<Record<string, number>>;

/**
 * Adds amounts by customer to the totals.
 *
 * @example
 * addAmounts(used, {chain: 1_540});
 */
export function addAmounts(
  totals: Record<string, number>,
  increments: AmountsByCustomer,
): void {
  for (const [name, amount] of Object.entries(increments)) {
    totals[name] = (totals[name] ?? 0) + amount;
  }
}

/**
 * Adds loads by endpoint to the totals.
 *
 * @example
 * addLoadsTo(loads, origin.digest.loads);
 */
export function addLoadsTo(
  totals: Record<string, EndpointLoad>,
  increments: Readonly<Record<string, EndpointLoad>>,
): void {
  for (const [endpoint, load] of Object.entries(increments)) {
    const sum = totals[endpoint];
    totals[endpoint] = sum === undefined ? load : addLoads(sum, load);
  }
}

/**
 * Adds work rates by service to the totals.
 *
 * @example
 * addWorkRates(work, origin.digest.work);
 */
export function addWorkRates(
  totals: Record<string, WorkRate>,
  increments: Readonly<Record<string, WorkRate>>,
): void {
  for (const [service, work] of Object.entries(increments)) {
    totals[service] = addWork(totals[service] ?? ZERO_WORK, work);
  }
}

/**
 * Returns the crashes of both reports.
 *
 * @example
 * crashes = addCrashes(crashes, origin.digest.crashes);
 */
export function addCrashes(
  a: CrashGossip | undefined,
  b: CrashGossip | undefined,
): CrashGossip | undefined {
  return a === undefined || b === undefined ? (a ?? b) : mergeCrashGossip(a, b);
}

/**
 * Adds counts of outcomes by service to the totals.
 *
 * @example
 * addOutcomes(outcomes, origin.digest.outcomes);
 */
export function addOutcomes(
  totals: Record<string, OutcomeCounts>,
  increments: Readonly<Record<string, OutcomeCounts>>,
): void {
  for (const [service, {count, late}] of Object.entries(increments)) {
    const sum = totals[service];
    totals[service] = {
      count: (sum?.count ?? 0) + count,
      late: (sum?.late ?? 0) + late,
    };
  }
}
