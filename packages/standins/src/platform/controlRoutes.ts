/** Routes that inject faults, and that show and change the simulated cloud. */
import type {ServerResponse} from 'node:http';
import {validateShape} from '@skylarkfield/base';
import {listedEndpointSchema, type ObjectTable} from '@skylarkfield/providers';
import type {Polka} from 'polka';
import * as z from 'zod';
import type {CloudModel} from './cloudModel.js';
import type {EndpointList} from './endpointList.js';
import {platformFaultsSchema, type PlatformFaults} from './platformFaults.js';
import {
  readJson,
  routeParameter,
  sendError,
  sendJson,
} from './httpResponses.js';
import type {ObjectApiLoad} from './objectRoutes.js';

const reclaimSchema = z.strictObject({
  host: z.string().optional(),
  failureDomain: z.string().optional(),
  /** Time from the notice until the hosts are gone; 0 if absent. */
  noticeSeconds: z.number().nonnegative().default(0),
});
const offersSchema = z.array(
  z.strictObject({
    failureDomain: z.string(),
    machineClass: z.string(),
    market: z.enum(['reclaimable', 'on-demand']),
    pricePerHour: z.number(),
  }),
);

/**
 * Registers the control routes on an app. The routes ignore injected faults.
 *
 * @example
 * addControlRoutes(app, {table, cloud, endpoints, faults, load, dropWatches});
 */
export function addControlRoutes(
  app: Polka,
  options: {
    readonly table: ObjectTable;
    readonly cloud: CloudModel;
    readonly endpoints: EndpointList;
    readonly faults: PlatformFaults;
    readonly load: ObjectApiLoad;
    readonly dropWatches: () => void;
  },
): void {
  const {table, cloud, endpoints, faults} = options;

  async function respond(
    response: ServerResponse,
    operation: () => unknown,
  ): Promise<void> {
    try {
      sendJson(response, 200, (await operation()) ?? {});
    } catch (error) {
      sendError(response, error);
    }
  }

  app.get('/control/state', (_request, response) => {
    void respond(response, () => ({
      faults,
      load: options.load,
      version: table.version(),
      hosts: cloud.hosts(),
      endpoints: endpoints.visibleEndpoints(),
    }));
  });
  app.post('/control/faults', (request, response) => {
    void respond(response, async () => {
      const body = await readJson(request);
      Object.assign(
        faults,
        validateShape(platformFaultsSchema, body, 'bad-request'),
      );
      if (faults.isDown || faults.isRejectingWatches) {
        options.dropWatches();
      }
    });
  });
  app.post('/control/drop-watches', (_request, response) => {
    void respond(response, () => options.dropWatches());
  });
  app.post('/control/compact', (_request, response) => {
    void respond(response, () => table.compact());
  });
  app.post('/control/offers', (request, response) => {
    void respond(response, async () =>
      cloud.setOffers(
        validateShape(offersSchema, await readJson(request), 'bad-request'),
      ),
    );
  });
  app.post('/control/endpoints', (request, response) => {
    void respond(response, async () =>
      endpoints.set(
        validateShape(
          listedEndpointSchema,
          await readJson(request),
          'bad-request',
        ),
      ),
    );
  });
  app.delete('/control/endpoints/:id', (request, response) => {
    void respond(response, () =>
      endpoints.remove(routeParameter(request, 'id')),
    );
  });
  app.post('/control/reclaim', (request, response) => {
    void respond(response, async () => {
      const body = validateShape(
        reclaimSchema,
        await readJson(request),
        'bad-request',
      );
      return reclaim(body);
    });
  });

  function reclaim(body: z.output<typeof reclaimSchema>) {
    const noticeMs = body.noticeSeconds * 1000;
    const reclaimedHosts = cloud.reclaim(
      host =>
        host.id === body.host || host.failureDomain === body.failureDomain,
      noticeMs,
    );
    const hostIds = new Set(reclaimedHosts.map(host => host.id));
    for (const endpoint of endpoints.visibleEndpoints()) {
      // Endpoints added through `POST /control/endpoints` may run on hosts that
      // the simulated cloud did not start.
      const isAffected =
        endpoint.host === body.host ||
        endpoint.failureDomain === body.failureDomain;
      if (isAffected) {
        hostIds.add(endpoint.host);
      }
    }
    if (noticeMs === 0) {
      endpoints.removeEndpointsOfHosts(hostIds);
    } else {
      endpoints.markLeaving(hostIds);
    }
    return {hosts: [...hostIds]};
  }
}
