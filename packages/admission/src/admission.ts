/** The bulkheads of all services. */
import {
  ServingError,
  type Clock,
  type DecisionLog,
  type Random,
} from '@skylarkfield/base';
import {createBulkhead, type Bulkhead} from './bulkhead.js';
import type {Admission} from './contracts.js';

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
}

/**
 * Makes the admission of one entry.
 *
 * @example
 * const admission = createAdmission({clock, random, decisions});
 * admission.setService('booking', service);
 * const permit = await admission.admit(ask, signal);
 */
export function createAdmission({clock}: AdmissionOptions): Admission {
  const bulkheads = new Map<string, Bulkhead>();
  return {
    async admit(ask, signal) {
      const bulkhead = bulkheads.get(ask.service);
      if (bulkhead === undefined) {
        throw new ServingError('unknown-service', `no service ${ask.service}`);
      }
      return bulkhead.admit(ask, signal);
    },
    tryRetry: service => bulkheads.has(service),
    setService(name, service) {
      if (service === undefined) {
        bulkheads.get(name)?.close();
        bulkheads.delete(name);
        return;
      }
      let bulkhead = bulkheads.get(name);
      if (bulkhead === undefined) {
        bulkhead = createBulkhead(name, clock);
        bulkheads.set(name, bulkhead);
      }
      bulkhead.configure(service.concurrency, service.queue);
    },
    setCustomerWeight() {},
    setEntryCount() {},
    setReportedSlots() {},
    dump: () => [...bulkheads.values()].map(bulkhead => bulkhead.dump()),
  };
}
