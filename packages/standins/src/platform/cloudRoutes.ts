/** HTTP routes of the simulated cloud API, host list and weight store. */
import type {ServerResponse} from 'node:http';
import {validateShape, ServingError, type Clock} from '@skylarkfield/base';
import type {Polka} from 'polka';
import * as z from 'zod';
import type {CloudModel} from './cloudModel.js';
import type {EndpointList} from './endpointList.js';
import type {PlatformFaults} from './platformFaults.js';
import {
  startJsonLines,
  throwIfDown,
  sendUnavailable,
  readJson,
  routeParameter,
  sendError,
  sendJson,
} from './httpResponses.js';

const startRequestSchema = z.object({
  clientToken: z.string().min(1),
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
});
const reservationSchema = z.object({weights: z.string(), host: z.string()});

/**
 * Registers the cloud API, host list and weight store routes on an app.
 *
 * @example
 * addCloudRoutes(app, {cloud, endpoints, faults, clock});
 */
export function addCloudRoutes(
  app: Polka,
  options: {
    readonly cloud: CloudModel;
    readonly endpoints: EndpointList;
    readonly faults: PlatformFaults;
    readonly clock: Clock;
  },
): void {
  const {cloud, endpoints, faults, clock} = options;
  let nextWeightLoadMs = 0;

  /** Sends the result or error of an operation; 503 if the platform is down. */
  async function respond(
    response: ServerResponse,
    operation: () => unknown,
  ): Promise<void> {
    try {
      throwIfDown(faults);
      sendJson(response, 200, await operation());
    } catch (error) {
      sendError(response, error);
    }
  }

  app.get('/cloud/offers', (_request, response) => {
    void respond(response, () => cloud.offers());
  });
  app.get('/cloud/hosts', (_request, response) => {
    void respond(response, () => cloud.hosts());
  });
  app.post('/cloud/hosts', (request, response) => {
    void respond(response, async () =>
      cloud.start(
        validateShape(
          startRequestSchema,
          await readJson(request),
          'bad-request',
        ),
      ),
    );
  });
  app.delete('/cloud/hosts/:id', (request, response) => {
    void respond(response, () => {
      const id = routeParameter(request, 'id');
      cloud.stop(id);
      endpoints.removeEndpointsOfHosts(new Set([id]));
      return {};
    });
  });
  app.get('/cloud/notices', (_request, response) => {
    if (faults.isDown) {
      sendUnavailable(response);
      return;
    }
    const writeLine = startJsonLines(response);
    cloud.notices().forEach(writeLine);
    const subscription = cloud.onDidAddNotice(writeLine);
    response.once('close', () => subscription.dispose());
  });
  app.get('/endpoints', (_request, response) => {
    if (faults.isDown) {
      sendUnavailable(response);
      return;
    }
    const writeLine = startJsonLines(response);
    writeLine(endpoints.visibleEndpoints());
    const subscription = endpoints.onDidChange(writeLine);
    response.once('close', () => subscription.dispose());
  });
  app.post('/weights/reservations', (request, response) => {
    void respond(response, async () => {
      validateShape(reservationSchema, await readJson(request), 'bad-request');
      const now = clock.now();
      if (now < nextWeightLoadMs) {
        throw new ServingError(
          'overloaded',
          'the rate limit for weight loads is exceeded',
          {
            retryAfterMs: nextWeightLoadMs - now,
          },
        );
      }
      nextWeightLoadMs = now + 1000 / faults.loadsPerSecond;
      return {startAfterMs: 0};
    });
  });
}
