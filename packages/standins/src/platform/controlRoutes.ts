/** The control port of the stand-in: fault switches and what the cloud should know. */
import type {ServerResponse} from 'node:http';
import {checkShape} from '@skylarkfield/base';
import {listedEndpointShape, type ObjectTable} from '@skylarkfield/providers';
import type {Polka} from 'polka';
import * as z from 'zod';
import type {CloudModel} from './cloudModel.js';
import type {EndpointList} from './endpointList.js';
import {faultsShape, type Faults} from './faults.js';
import {readJson, routeParameter, sendError, sendJson} from './httpReplies.js';
import type {ObjectLoad} from './objectRoutes.js';

const reclaimShape = z.strictObject({
  host: z.string().optional(),
  failureDomain: z.string().optional(),
  /** 0 or absent: gone without notice. */
  noticeSeconds: z.number().nonnegative().default(0),
});
const offersShape = z.array(
  z.strictObject({
    failureDomain: z.string(),
    machineClass: z.string(),
    market: z.enum(['reclaimable', 'on-demand']),
    pricePerHour: z.number(),
  }),
);

/**
 * Adds the control routes to an app; they work also while the platform is down.
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
    readonly faults: Faults;
    readonly load: ObjectLoad;
    readonly dropWatches: () => void;
  },
): void {
  const {table, cloud, endpoints, faults} = options;

  async function answer(
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
    void answer(response, () => ({
      faults,
      load: options.load,
      version: table.version(),
      hosts: cloud.hosts(),
      endpoints: endpoints.shown(),
    }));
  });
  app.post('/control/faults', (request, response) => {
    void answer(response, async () => {
      const wanted = await readJson(request);
      Object.assign(faults, checkShape(faultsShape, wanted, 'bad-request'));
      if (faults.isDown || faults.isRejectingWatches) {
        options.dropWatches();
      }
    });
  });
  app.post('/control/drop-watches', (_request, response) => {
    void answer(response, () => options.dropWatches());
  });
  app.post('/control/compact', (_request, response) => {
    void answer(response, () => table.compact());
  });
  app.post('/control/offers', (request, response) => {
    void answer(response, async () =>
      cloud.setOffers(
        checkShape(offersShape, await readJson(request), 'bad-request'),
      ),
    );
  });
  app.post('/control/endpoints', (request, response) => {
    void answer(response, async () =>
      endpoints.set(
        checkShape(listedEndpointShape, await readJson(request), 'bad-request'),
      ),
    );
  });
  app.delete('/control/endpoints/:id', (request, response) => {
    void answer(response, () =>
      endpoints.remove(routeParameter(request, 'id')),
    );
  });
  app.post('/control/reclaim', (request, response) => {
    void answer(response, async () => {
      const wanted = checkShape(
        reclaimShape,
        await readJson(request),
        'bad-request',
      );
      return reclaim(wanted);
    });
  });

  function reclaim(wanted: z.output<typeof reclaimShape>) {
    const noticeMs = wanted.noticeSeconds * 1000;
    const hosts = cloud.reclaim(
      host =>
        host.id === wanted.host || host.failureDomain === wanted.failureDomain,
      noticeMs,
    );
    const ids = new Set(hosts.map(host => host.id));
    for (const endpoint of endpoints.shown()) {
      // Endpoints registered by hand stand on hosts that this cloud did not start.
      const isMeant =
        endpoint.host === wanted.host ||
        endpoint.failureDomain === wanted.failureDomain;
      if (isMeant) {
        ids.add(endpoint.host);
      }
    }
    if (noticeMs === 0) {
      endpoints.removeHosts(ids);
    } else {
      endpoints.leave(ids);
    }
    return {hosts: [...ids]};
  }
}
