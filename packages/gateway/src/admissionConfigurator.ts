/** Keeps admission limits in sync with the policy and the ready endpoints. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {ServiceConfig} from '@skylarkfield/traffic';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {ActivePolicy} from './activePolicy.js';

/**
 * Admitted requests per endpoint slot. Endpoints queue a few themselves, by
 * urgency, since only they see the requests of all entries.
 */
const REQUESTS_PER_SLOT = 2;

/** Queued requests per entry and slot of the service; more would time out. */
const QUEUE_PER_SLOT = 4;

/** Target latency of adaptive limits, in milliseconds; unused by fixed ones. */
const TARGET_LATENCY_MS = 1_000;

export interface AdmissionConfigurator {
  /**
   * Recomputes the limits. Called on each change of the endpoints: an entry
   * that has just started would otherwise keep a limit of one slot and reject
   * requests while endpoints are idle.
   */
  update(): void;
}

/**
 * Creates the configurator; it follows policy changes on its own.
 *
 * @example
 * const configurator = createAdmissionConfigurator({admission, directory,
 *   policy});
 */
export function createAdmissionConfigurator(options: {
  readonly admission: AdmissionController;
  readonly directory: EndpointDirectory;
  readonly policy: ActivePolicy;
}): AdmissionConfigurator {
  const {admission, directory, policy} = options;
  let configured = new Set<string>();

  function slotsOf({name}: ServiceConfig): number {
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
