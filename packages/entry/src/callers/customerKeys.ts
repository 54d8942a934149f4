/** Which customer a key belongs to. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {ServingError} from '@skylarkfield/base';
import type {Configuration, Customer} from '@skylarkfield/records';

/** Hex digits by which hashes are grouped; the rest is compared in constant time. */
const INDEX_DIGITS = 4;

export interface CustomerKeys {
  /** The customer of a key. Throws `unauthenticated`. */
  authenticate(key: string | undefined): Customer;
}

interface IndexedHash {
  readonly hash: Buffer;
  readonly customer: Customer;
}

/**
 * Follows the customers in force. Only hashes are kept; a key that is taken
 * out of a record stops working as soon as the record is in force here.
 *
 * @example
 * const keys = createCustomerKeys(configuration);
 * const customer = keys.authenticate(bearerKey(request.headers));
 */
export function createCustomerKeys(configuration: Configuration): CustomerKeys {
  let index = indexHashes(configuration);
  configuration.onDidChange(kind => {
    if (kind === 'customer') {
      index = indexHashes(configuration);
    }
  });
  return {
    authenticate(key) {
      if (key === undefined) {
        throw new ServingError('unauthenticated', 'no bearer key was given');
      }
      const hash = createHash('sha256').update(key).digest();
      const group = index.get(hash.toString('hex').slice(0, INDEX_DIGITS));
      const found = group?.find(entry => timingSafeEqual(entry.hash, hash));
      if (found === undefined) {
        throw new ServingError('unauthenticated', 'the key is not known');
      }
      return found.customer;
    },
  };
}

function indexHashes(configuration: Configuration): Map<string, IndexedHash[]> {
  const index = new Map<string, IndexedHash[]>();
  for (const customer of configuration.list('customer')) {
    for (const hex of customer.keyHashes) {
      const prefix = hex.slice(0, INDEX_DIGITS);
      const group = index.get(prefix) ?? [];
      group.push({hash: Buffer.from(hex, 'hex'), customer});
      index.set(prefix, group);
    }
  }
  return index;
}
