/** Admission control of one entry: one bulkhead per service. */
import {
  ServingError,
  type Clock,
  type DecisionLog,
  type Random,
} from '@skylarkfield/base';
import {createBulkhead, type Bulkhead} from './bulkhead.js';
import type {LimitPolicy} from './concurrencyLimit.js';
import type {AdmissionController} from './contracts.js';

export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Limit policy, `aimd` by default; benchmarks compare the other policies. */
  readonly limitPolicy?: LimitPolicy;
}

/** Default weight of a customer, and the lower bound of weights. */
const DEFAULT_WEIGHT = 1;
const MIN_WEIGHT = 0.001;

/**
 * Creates the admission controller of one entry.
 *
 * @example
 * const admission = createAdmissionController({clock, random, decisions});
 * admission.setService('booking', config);
 * const permit = await admission.admit(request, signal);
 */
export function createAdmissionController(
  options: AdmissionControllerOptions,
): AdmissionController {
  const bulkheads = new Map<string, Bulkhead>();
  const weights = new Map<string, number>();
  let entryCount = 1;

  return {
    async admit(request, signal) {
      const bulkhead = bulkheads.get(request.service);
      if (bulkhead === undefined) {
        throw new ServingError(
          'unknown-service',
          `no service ${request.service}`,
        );
      }
      return bulkhead.admit(request, signal);
    },
    tryAcquireRetry: service =>
      bulkheads.get(service)?.tryAcquireRetry() ?? false,
    depositRetry: service => bulkheads.get(service)?.depositRetry(),
    setService(name, config) {
      if (config === undefined) {
        bulkheads.get(name)?.close();
        bulkheads.delete(name);
        return;
      }
      const existing = bulkheads.get(name);
      if (existing !== undefined) {
        existing.configure(config);
        return;
      }
      const bulkhead = createBulkhead({
        clock: options.clock,
        random: options.random,
        decisions: options.decisions,
        limitPolicy: options.limitPolicy ?? 'aimd',
        config,
        entryCount,
        weightOf: customer => weights.get(customer) ?? DEFAULT_WEIGHT,
      });
      bulkheads.set(name, bulkhead);
    },
    setCustomerWeight(customer, weight) {
      if (weight === undefined) {
        weights.delete(customer);
        return;
      }
      weights.set(customer, Math.max(MIN_WEIGHT, weight));
    },
    setEntryCount(count) {
      entryCount = Math.max(1, count);
      for (const bulkhead of bulkheads.values()) {
        bulkhead.setEntryCount(entryCount);
      }
    },
    recordReportedSlots(service, slots, outstanding) {
      bulkheads.get(service)?.recordReportedSlots(slots, outstanding);
    },
    loadFraction: service => bulkheads.get(service)?.loadFraction() ?? 0,
    dump: () => ({
      entryCount,
      customerWeights: Object.fromEntries(weights),
      services: [...bulkheads.values()].map(bulkhead => bulkhead.dump()),
    }),
  };
}
