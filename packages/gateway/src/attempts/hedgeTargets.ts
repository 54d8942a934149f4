/** Finds endpoints that may serve a request whose endpoint is silent. */
import type {Clock} from '@skylarkfield/base';
import type {Choice, EndpointReach} from '@skylarkfield/routing';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {Stall} from './stallTimer.js';

export interface HedgeTargets {
  /**
   * Returns the endpoints of the service that have not responded since the
   * stall; undefined if none has. While all of them are silent, another one
   * would not answer either.
   */
  findSilentEndpoints(
    service: string,
    stall: Stall,
  ): readonly string[] | undefined;
  /** Whether the request would not delay those of other callers. */
  hasFreeSlot(choice: Pick<Choice, 'endpoint' | 'loadBefore'>): boolean;
}

/**
 * Time from the start of a stall after which bytes from other endpoints show
 * that they are not silent as well, as a fraction of the stall timeout: events
 * of different streams arrive at different times.
 */
const RESPONDING_FRACTION = 0.25;

/**
 * Age of its last bytes at which an endpoint may have fallen silent, in
 * milliseconds; not less than the interval of probes.
 */
const MAX_CONTACT_AGE_MS = 1_000;

/**
 * Creates the hedge targets of one entry.
 *
 * @example
 * const silentEndpoints = hedgeTargets.findSilentEndpoints('chat', stall);
 */
export function createHedgeTargets({
  directory,
  reach,
  clock,
}: {
  readonly directory: Pick<EndpointDirectory, 'get' | 'probeTargets'>;
  readonly reach: Pick<EndpointReach, 'hasRespondedSince'>;
  readonly clock: Clock;
}): HedgeTargets {
  return {
    findSilentEndpoints(service, {silentMs, timeoutMs}) {
      const now = clock.now();
      const since = Math.max(
        now - silentMs + timeoutMs * RESPONDING_FRACTION,
        now - MAX_CONTACT_AGE_MS,
      );
      const endpoints = directory.probeTargets(service).map(({id}) => id);
      const silentEndpoints = endpoints.filter(
        id => !reach.hasRespondedSince(service, id, since),
      );
      return silentEndpoints.length < endpoints.length
        ? silentEndpoints
        : undefined;
    },
    hasFreeSlot({endpoint, loadBefore}) {
      const slots = directory.get(endpoint)?.slots ?? 0;
      return loadBefore.requests < slots;
    },
  };
}
