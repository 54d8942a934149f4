/** Looks up customers by their keys. */
import type {CustomerConfig} from './contracts.js';

export interface CustomerTable {
  /** Whether requests need a key. */
  readonly requiresKey: boolean;
  findByKey(key: string): CustomerConfig | undefined;
}

/**
 * Creates the table of all customers' keys. A hash lookup of the whole key
 * avoids comparisons that stop at the first differing character (a timing side
 * channel).
 *
 * @example
 * const customer = createCustomerTable(policy.customers).findByKey(key);
 */
export function createCustomerTable(
  customers: readonly CustomerConfig[],
): CustomerTable {
  const byKey = new Map<string, CustomerConfig>();
  for (const customer of customers) {
    for (const key of customer.keys) {
      byKey.set(key, customer);
    }
  }
  return {
    requiresKey: customers.length > 0,
    findByKey: key => byKey.get(key),
  };
}
