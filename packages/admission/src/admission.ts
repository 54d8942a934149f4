/** The bulkheads of all services at one entry. */
import {
  ServingError,
  type Clock,
  type DecisionLog,
  type Random,
} from '@skylarkfield/base';
import {createBulkhead, type Bulkhead} from './bulkhead.js';
import type {LimitPolicy} from './concurrencyLimit.js';
import type {Admission} from './contracts.js';

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** How limits adapt; `aimd` unless a measurement compares others. */
  readonly limitPolicy?: LimitPolicy;
}

/** Weight of a customer whose record says nothing, and the least that counts. */
const DEFAULT_WEIGHT = 1;
const LEAST_WEIGHT = 0.001;

/**
 * Makes the admission of one entry.
 *
 * @example
 * const admission = createAdmission({clock, random, decisions});
 * admission.setService('booking', service);
 * const permit = await admission.admit(ask, signal);
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const bulkheads = new Map<string, Bulkhead>();
  const weights = new Map<string, number>();
  let entryCount = 1;

  return {
    async admit(ask, signal) {
      const bulkhead = bulkheads.get(ask.service);
      if (bulkhead === undefined) {
        throw new ServingError('unknown-service', `no service ${ask.service}`);
      }
      return bulkhead.admit(ask, signal);
    },
    tryRetry: service => bulkheads.get(service)?.tryRetry() ?? false,
    setService(name, service) {
      if (service === undefined) {
        bulkheads.get(name)?.close();
        bulkheads.delete(name);
        return;
      }
      const known = bulkheads.get(name);
      if (known !== undefined) {
        known.configure(service);
        return;
      }
      const bulkhead = createBulkhead({
        clock: options.clock,
        random: options.random,
        decisions: options.decisions,
        limitPolicy: options.limitPolicy ?? 'aimd',
        service,
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
      weights.set(customer, Math.max(LEAST_WEIGHT, weight));
    },
    setEntryCount(count) {
      entryCount = Math.max(1, count);
      for (const bulkhead of bulkheads.values()) {
        bulkhead.setEntryCount(entryCount);
      }
    },
    setReportedSlots(service, slots, busy) {
      bulkheads.get(service)?.reportSlots(slots, busy);
    },
    loadFraction: service => bulkheads.get(service)?.loadFraction() ?? 0,
    dump: () => ({
      entryCount,
      customerWeights: Object.fromEntries(weights),
      services: [...bulkheads.values()].map(bulkhead => bulkhead.dump()),
    }),
  };
}
