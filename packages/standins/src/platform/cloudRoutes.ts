/** Cloud API, host list and weight store of the stand-in. */
import type {ServerResponse} from 'node:http';
import {checkShape, ServingError, type Clock} from '@skylarkfield/base';
import type {Polka} from 'polka';
import * as z from 'zod';
import type {CloudModel} from './cloudModel.js';
import type {EndpointList} from './endpointList.js';
import type {Faults} from './faults.js';
import {
  beginLines,
  checkUp,
  sendDown,
  readJson,
  routeParameter,
  sendError,
  sendJson,
} from './httpReplies.js';

const startShape = z.object({
  clientToken: z.string().min(1),
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
});
const reservationShape = z.object({weights: z.string(), host: z.string()});

/**
 * Adds the routes to an app.
 *
 * @example
 * addCloudRoutes(app, {cloud, endpoints, faults, clock});
 */
export function addCloudRoutes(
  app: Polka,
  options: {
    readonly cloud: CloudModel;
    readonly endpoints: EndpointList;
    readonly faults: Faults;
    readonly clock: Clock;
  },
): void {
  const {cloud, endpoints, faults, clock} = options;
  let nextLoadAt = 0;

  /** Answers with what the operation returns, unless the platform is down. */
  async function answer(
    response: ServerResponse,
    operation: () => unknown,
  ): Promise<void> {
    try {
      checkUp(faults);
      sendJson(response, 200, await operation());
    } catch (error) {
      sendError(response, error);
    }
  }

  app.get('/cloud/offers', (_request, response) => {
    void answer(response, () => cloud.offers());
  });
  app.get('/cloud/hosts', (_request, response) => {
    void answer(response, () => cloud.hosts());
  });
  app.post('/cloud/hosts', (request, response) => {
    void answer(response, async () =>
      cloud.start(
        checkShape(startShape, await readJson(request), 'bad-request'),
      ),
    );
  });
  app.delete('/cloud/hosts/:id', (request, response) => {
    void answer(response, () => {
      const id = routeParameter(request, 'id');
      cloud.stop(id);
      endpoints.removeHosts(new Set([id]));
      return {};
    });
  });
  app.get('/cloud/notices', (_request, response) => {
    if (faults.isDown) {
      sendDown(response);
      return;
    }
    const writeLine = beginLines(response);
    cloud.notices().forEach(writeLine);
    const subscription = cloud.onDidNotice(writeLine);
    response.once('close', () => subscription.dispose());
  });
  app.get('/endpoints', (_request, response) => {
    if (faults.isDown) {
      sendDown(response);
      return;
    }
    const writeLine = beginLines(response);
    writeLine(endpoints.shown());
    const subscription = endpoints.onDidChange(writeLine);
    response.once('close', () => subscription.dispose());
  });
  app.post('/weights/reservations', (request, response) => {
    void answer(response, async () => {
      checkShape(reservationShape, await readJson(request), 'bad-request');
      const now = clock.now();
      if (now < nextLoadAt) {
        throw new ServingError('overloaded', 'the rate of loads is used up', {
          retryAfterMs: nextLoadAt - now,
        });
      }
      nextLoadAt = now + 1000 / faults.loadsPerSecond;
      return {startAfterMs: 0};
    });
  });
}
