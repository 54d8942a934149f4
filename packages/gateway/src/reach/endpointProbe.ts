/** Probes registered endpoints. */
import type {ResponseHead} from '../contracts.js';
import type {AddressProbe} from './addressProbe.js';

/** Returns whether the endpoint responds within the timeout. Never rejects. */
export type EndpointProbe = (
  endpoint: string,
  timeoutMs: number,
) => Promise<boolean>;

/**
 * Creates the probe of one entry. Any response counts, whatever its status.
 *
 * @example
 * const probe = createEndpointProbe({probe, addressOf, onDidRespond});
 * const isReached = await probe('i-1@7', 300);
 */
export function createEndpointProbe(options: {
  readonly probe: AddressProbe;
  /** Returns the `IP:port` of an endpoint; undefined if it is not registered. */
  addressOf(endpoint: string): string | undefined;
  /** Called with the head of each response. */
  onDidRespond(endpoint: string, head: ResponseHead): void;
}): EndpointProbe {
  return async (endpoint, timeoutMs) => {
    const address = options.addressOf(endpoint);
    if (address === undefined) {
      return false;
    }
    const result = await options.probe(address, timeoutMs, head =>
      options.onDidRespond(endpoint, head),
    );
    return result === 'answered';
  };
}
