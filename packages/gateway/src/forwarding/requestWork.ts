/** Records the engine work of requests to models. */
import {answerWork, promptWork, type WorkMeter} from '@skylarkfield/traffic';
import type {CallHead} from '../contracts.js';
import type {ServiceCatalog} from '../policy/serviceCatalog.js';

/** Recorder of engine work; ignores requests without a plausible demand. */
export interface RequestWork {
  /** Records the work of a prompt when its request is accepted. */
  recordPrompt(service: string, head: Pick<CallHead, 'demand'>): void;
  /** Records the work of an answer, of which `eventCount` events were sent. */
  recordAnswer(
    service: string,
    head: Pick<CallHead, 'demand'>,
    eventCount: number,
  ): void;
}

/**
 * Creates a recorder that adds the work to `meter`.
 *
 * @example
 * const requestWork = createRequestWork(engineEstimates.work, services);
 * requestWork.recordPrompt('chat', head);
 */
export function createRequestWork(
  meter: Pick<WorkMeter, 'record'>,
  services: Pick<ServiceCatalog, 'fitsKvCache' | 'tokensPerEvent'>,
): RequestWork {
  return {
    recordPrompt(service, {demand}) {
      if (demand !== undefined && services.fitsKvCache(service, demand)) {
        meter.record(service, promptWork(demand));
      }
    },
    recordAnswer(service, {demand}, eventCount) {
      if (demand !== undefined && services.fitsKvCache(service, demand)) {
        const outputTokens = eventCount * services.tokensPerEvent(service);
        meter.record(service, answerWork(demand, outputTokens));
      }
    },
  };
}
