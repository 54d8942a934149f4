/** Finds the customer who holds a key. */
import type {KeyedCustomer} from './contracts.js';

export interface CustomerTable {
  /** Whether requests need a key at all. */
  readonly isKeyed: boolean;
  holderOf(key: string): KeyedCustomer | undefined;
}

/**
 * Makes the table of all customers' keys. Keys are looked up as a whole in a
 * hash table, so that no comparison ends early at the first differing letter.
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
