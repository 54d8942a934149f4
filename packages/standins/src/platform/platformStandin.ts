/** HTTP server that simulates the platform for tests, demos and benchmarks. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock, type Clock} from '@skylarkfield/base';
import {createObjectTable, type ObjectTable} from '@skylarkfield/providers';
import polka from 'polka';
import {createCloudModel} from './cloudModel.js';
import {addCloudRoutes} from './cloudRoutes.js';
import {addControlRoutes} from './controlRoutes.js';
import {createEndpointList} from './endpointList.js';
import {createPlatformFaults, type PlatformFaults} from './platformFaults.js';
import {sendError} from './httpResponses.js';
import {addObjectRoutes} from './objectRoutes.js';

export interface PlatformStandin {
  readonly url: string;
  /** Stored objects, which tests can read and write without HTTP. */
  readonly table: ObjectTable;
  /** Injected faults; `POST /control/faults` changes the same object. */
  readonly faults: PlatformFaults;
  /** Closes every open watch. */
  dropWatches(): void;
  stop(): Promise<void>;
}

/**
 * Starts a platform stand-in; port 0 picks a free port.
 *
 * @example
 * const platform = await startPlatformStandin({port: 0});
 * const store = createHttpObjectStore({url: platform.url, writer: 'test'});
 */
export async function startPlatformStandin(options: {
  readonly port: number;
  readonly host?: string;
  readonly clock?: Clock;
  readonly faults?: Partial<PlatformFaults>;
  /** Minimum number of object changes that are kept for watches to resume. */
  readonly historyLimit?: number;
}): Promise<PlatformStandin> {
  const {host = '127.0.0.1', clock = systemClock()} = options;
  const faults = {...createPlatformFaults(), ...options.faults};
  const table = createObjectTable(options.historyLimit);
  const cloud = createCloudModel(clock, faults);
  const endpoints = createEndpointList(clock, faults);
  const app = polka({
    onError: (error, _request, response) => sendError(response, error),
  });
  const {load, dropWatches} = addObjectRoutes(app, {table, faults, clock});
  addCloudRoutes(app, {cloud, endpoints, faults, clock});
  addControlRoutes(app, {
    table,
    cloud,
    endpoints,
    faults,
    load,
    dropWatches,
  });
  const server = await listen(app, options.port, host);
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://${host}:${port}`,
    table,
    faults,
    dropWatches,
    stop() {
      cloud.dispose();
      return close(server);
    },
  };
}

function listen(app: polka.Polka, port: number, host: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    app.listen({port, host}, (error?: Error) => {
      if (error !== undefined) {
        reject(error);
      }
    });
    const server = app.server as Server;
    server.once('error', reject);
    server.once('listening', () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
