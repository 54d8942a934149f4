/** Looks up customers by their keys. */
import type {KeyedCustomer} from './contracts.js';

export interface CustomerTable {
  /** Whether requests need a key. */
  readonly isKeyed: boolean;
  holderOf(key: string): KeyedCustomer | undefined;
}

/**
 * Creates the table of all customers' keys. A hash lookup of the whole key
 * avoids comparisons that stop at the first differing character (a timing side
 * channel).
 *
 * @example
 * const customer = createCustomerTable(policy.customers).holderOf(key);
 */
export function createCustomerTable(
  customers: readonly KeyedCustomer[],
): CustomerTable {
  const byKey = new Map<string, KeyedCustomer>();
  for (const customer of customers) {
    for (const key of customer.keys) {
      byKey.set(key, customer);
    }
  }
  return {
    isKeyed: customers.length > 0,
    holderOf: key => byKey.get(key),
  };
}
