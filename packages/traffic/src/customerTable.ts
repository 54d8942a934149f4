/** Looks up customers by their keys and names. */
import type {CustomerConfig} from './contracts.js';

/** Customers by key. */
export interface CustomerTable {
  /** Whether requests need a key, that is, whether there are any customers. */
  readonly requiresKey: boolean;
  findByKey(key: string): CustomerConfig | undefined;
  findByName(name: string): CustomerConfig | undefined;
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
  const customersByName = new Map(
    customers.map(customer => [customer.name, customer]),
  );
  const customersByKey = new Map<string, CustomerConfig>();
  for (const customer of customers) {
    for (const key of customer.keys) {
      customersByKey.set(key, customer);
    }
  }
  return {
    requiresKey: customers.length > 0,
    findByKey: key => customersByKey.get(key),
    findByName: name => customersByName.get(name),
  };
}
