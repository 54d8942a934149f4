/** Authentication of customers by bearer key. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {ServingError} from '@skylarkfield/base';
import type {Configuration, Customer} from '@skylarkfield/records';

/** Number of leading hex digits of a key hash that select its index bucket. */
const INDEX_PREFIX_DIGITS = 4;

export interface CustomerKeys {
  /** Returns the customer of a key, or throws `unauthenticated`. */
  authenticate(key: string | undefined): Customer;
}

interface IndexedHash {
  readonly hash: Buffer;
  readonly customer: Customer;
}

/**
 * Creates an index of the keys of the customer records in force. Only hashes
 * are stored; whole hashes are compared in constant time. A key removed from a
 * record is rejected as soon as that change is in force at this entry.
 *
 * @example
 * const keys = createCustomerKeys(configuration);
 * const customer = keys.authenticate(parseBearerKey(request.headers));
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
      const bucket = index.get(
        hash.toString('hex').slice(0, INDEX_PREFIX_DIGITS),
      );
      const match = bucket?.find(candidate =>
        timingSafeEqual(candidate.hash, hash),
      );
      if (match === undefined) {
        throw new ServingError(
          'unauthenticated',
          'the bearer key is not recognized',
        );
      }
      return match.customer;
    },
  };
}

function indexHashes(configuration: Configuration): Map<string, IndexedHash[]> {
  const index = new Map<string, IndexedHash[]>();
  for (const customer of configuration.list('customer')) {
    for (const keyHash of customer.keyHashes) {
      const prefix = keyHash.slice(0, INDEX_PREFIX_DIGITS);
      const bucket = index.get(prefix) ?? [];
      bucket.push({hash: Buffer.from(keyHash, 'hex'), customer});
      index.set(prefix, bucket);
    }
  }
  return index;
}
