/** Keeps the admission in step with the policy's services and the endpoints that are there. */
import type {Admission} from '@skylarkfield/admission';
import type {DeclaredService} from '@skylarkfield/traffic';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {ActivePolicy} from './activePolicy.js';

/**
 * Requests at an endpoint for each of its places. Endpoints queue a few
 * themselves, by urgency, and see there what no entry sees: the requests of all
 * the others.
 */
const REQUESTS_PER_SLOT = 2;

/** Requests that wait at one entry for each place of its service: about as long as they are of use. */
const QUEUE_PER_SLOT = 4;

/** What the admission measures latency against; fixed limits do not use it. */
const TARGET_LATENCY_MS = 1_000;

export interface AdmissionConfigurator {
  /**
   * Counts the places anew. Called as soon as endpoints change: an entry that
   * has just started would take one place for all until the next count, and
   * refuse while endpoints are free.
   */
  update(): void;
}

/**
 * Makes the feed; it follows the policy by itself.
 *
 * @example
 * const feed = createAdmissionFeed({admission, directory, policy});
 */
export function createAdmissionConfigurator(options: {
  readonly admission: Admission;
  readonly directory: EndpointDirectory;
  readonly policy: ActivePolicy;
}): AdmissionConfigurator {
  const {admission, directory, policy} = options;
  let configured = new Set<string>();

  function slotsOf({name}: DeclaredService): number {
    const ready = directory
      .forService(name)
      .filter(({state}) => state === 'ready');
    return ready.reduce((sum, {slots}) => sum + slots, 0);
  }

  function update(): void {
    const services = policy.services();
    const names = new Set(services.map(({name}) => name));
    for (const name of configured) {
      if (!names.has(name)) {
        admission.setService(name, undefined);
      }
    }
    configured = names;
    for (const service of services) {
      const slots = Math.max(1, slotsOf(service));
      admission.setService(service.name, {
        name: service.name,
        concurrency: slots * REQUESTS_PER_SLOT,
        queue: slots * QUEUE_PER_SLOT,
        targetMs: TARGET_LATENCY_MS,
      });
    }
  }

  policy.onDidChange(update);
  update();
  return {update};
}
