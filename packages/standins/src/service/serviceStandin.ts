/**
 * A plain service for tests: bookings, advances and kit orders that may not be
 * repeated, look-ups that may, a count of every run, and switchable faults.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {checkShape, parseJson, seededRandom} from '@skylarkfield/base';
import polka from 'polka';
import * as z from 'zod';
import {
  createServiceFaults,
  serviceFault,
  type ServiceFault,
  type ServiceFaultSwitch,
} from './serviceFaults.js';
import {createServiceLoad} from './serviceLoad.js';

export interface ServiceStandinOptions {
  /** 0 takes any free port. */
  readonly port?: number;
  readonly host?: string;
  readonly service: string;
  readonly version?: string;
  /** Requests worked on at once; others wait. */
  readonly slots?: number;
  /** Time that each request takes. */
  readonly workMs?: number;
  /** How much the load report is behind. */
  readonly lagMs?: number;
  readonly seed?: number;
}

/** How often calls that may not be repeated have run. */
export interface ServiceRuns {
  readonly total: number;
  /** Runs per idempotency key, or per `body:ID` for calls without one. */
  readonly byKey: Readonly<Record<string, number>>;
}

export interface ServiceStandin {
  readonly url: string;
  stop(): Promise<void>;
  addFault(fault: ServiceFaultSwitch): void;
  clearFaults(): void;
  runs(): ServiceRuns;
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

const DEFAULT_HOST = '127.0.0.1';
const DEFAULT_SLOTS = 64;
const DEFAULT_LAG_MS = 200;
const MAX_BODY_BYTES = 1_048_576;
const ORDER_ROUTES = ['/bookings', '/advances', '/orders'];

/**
 * Starts the stand-in; resolves once it listens.
 *
 * @example
 * const booking = await startServiceStandin({service: 'booking'});
 * booking.addFault({type: 'close-after', route: '/bookings', count: 1});
 * await booking.stop();
 */
export async function startServiceStandin(
  options: ServiceStandinOptions,
): Promise<ServiceStandin> {
  const host = options.host ?? DEFAULT_HOST;
  const version = options.version ?? 'v1';
  const workMs = options.workMs ?? 0;
  const random = seededRandom(options.seed ?? 1);
  const faults = createServiceFaults(version, random.next);
  const load = createServiceLoad(
    options.slots ?? DEFAULT_SLOTS,
    options.lagMs ?? DEFAULT_LAG_MS,
    () => performance.now(),
  );
  const runs = new Map<string, number>();
  let totalRuns = 0;

  function countRun(key: string): void {
    totalRuns += 1;
    runs.set(key, (runs.get(key) ?? 0) + 1);
  }

  function currentRuns(): ServiceRuns {
    return {total: totalRuns, byKey: Object.fromEntries(runs)};
  }

  /** Answers through a slot, after the work and the fault that hits the request. */
  function worked(
    effect: (request: IncomingMessage, body: string) => () => unknown,
    status: number,
  ): Handler {
    return async (request, response) => {
      const body = await readBody(request);
      const run = effect(request, body);
      const fault = faults.next(pathOf(request), load.running);
      const leave = await load.enter();
      freeWhenDone(response, leave);
      if (fault !== undefined && faultsBefore[fault.type]?.(fault, response)) {
        return;
      }
      await delay(workMs + (fault?.type === 'slow' ? fault.delayMs : 0));
      const answer = run();
      if (fault !== undefined && faultsAfter[fault.type]?.(response)) {
        return;
      }
      sendJson(response, status, answer);
    };
  }

  const orderHandler = worked((request, body) => {
    const key = runKey(request, body);
    return () => {
      countRun(key);
      return {
        confirmation: `${options.service}-${totalRuns}`,
        service: options.service,
        version,
      };
    };
  }, 201);
  const lookUpHandler = worked(
    () => () => ({service: options.service, version, free: ['early', 'late']}),
    200,
  );

  const app = polka({
    onError: (error, _request, response) => {
      const message = error instanceof Error ? error.message : String(error);
      sendJson(response, 400, {message});
    },
  });
  app.get('/health', (_request, response) =>
    sendJson(response, 200, {service: options.service, version}),
  );
  app.get('/load', (_request, response) =>
    sendJson(response, 200, load.report()),
  );
  app.get('/availability', guarded(lookUpHandler));
  app.get(
    '/slow',
    guarded(async (request, response) => {
      await delay(numberInQuery(request, 'ms', 1_000));
      await lookUpHandler(request, response);
    }),
  );
  app.get('/large', (request, response) => {
    response.end(Buffer.alloc(numberInQuery(request, 'bytes', 1_024), 'x'));
  });
  for (const route of ORDER_ROUTES) {
    app.post(route, guarded(orderHandler));
  }
  app.get('/control/runs', (_request, response) =>
    sendJson(response, 200, currentRuns()),
  );
  app.get('/control/faults', (_request, response) =>
    sendJson(response, 200, faults.list()),
  );
  app.post(
    '/control/faults',
    guarded(async (request, response) => {
      const value = parseJson(await readBody(request), 'bad-request', 'fault');
      faults.add(checkShape(serviceFault, value, 'bad-request', 'fault'));
      sendJson(response, 200, faults.list());
    }),
  );
  app.delete('/control/faults', (_request, response) => {
    faults.clear();
    sendJson(response, 200, []);
  });
  app.post(
    '/control/lag',
    guarded(async (request, response) => {
      const value = parseJson(await readBody(request), 'bad-request', 'lag');
      const {lagMs} = checkShape(lagSwitch, value, 'bad-request', 'lag');
      load.setLag(lagMs);
      sendJson(response, 200, {lagMs});
    }),
  );

  const server = createServer(app.handler as unknown as Handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, host, resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://${host}:${port}`,
    async stop() {
      server.closeAllConnections();
      await new Promise<void>(resolve => server.close(() => resolve()));
    },
    addFault: fault => faults.add(fault),
    clearFaults: () => faults.clear(),
    runs: currentRuns,
  };
}

const lagSwitch = z.object({lagMs: z.number().nonnegative()});

/** Faults that keep the effect from happening; true when nothing more is to be done. */
const faultsBefore: Partial<
  Record<
    ServiceFault['type'],
    (fault: ServiceFault, response: ServerResponse) => boolean
  >
> = {
  hang: () => true,
  fail: (fault, response) => {
    sendJson(response, fault.status, {message: 'switched to fail'});
    return true;
  },
  'close-before': (_fault, response) => {
    response.destroy();
    return true;
  },
};

/** Faults between the effect and the answer; true when nothing more is to be done. */
const faultsAfter: Partial<
  Record<ServiceFault['type'], (response: ServerResponse) => boolean>
> = {
  'hang-after': () => true,
  'close-after': response => {
    response.destroy();
    return true;
  },
};

function guarded(handler: Handler): Handler {
  return async (request, response) => {
    try {
      await handler(request, response);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      sendJson(response, 400, {message});
    }
  };
}

/** Frees a slot once the answer has gone out or the caller is gone, also when it went while waiting. */
function freeWhenDone(response: ServerResponse, leave: () => void): void {
  if (response.destroyed) {
    leave();
    return;
  }
  response.once('close', leave);
}

function pathOf(request: IncomingMessage): string {
  return new URL(request.url ?? '/', 'http://service').pathname;
}

function numberInQuery(
  request: IncomingMessage,
  name: string,
  fallback: number,
): number {
  const query = new URL(request.url ?? '/', 'http://service').searchParams;
  return Number(query.get(name) ?? fallback);
}

/** The idempotency key, else the body's `id`, so that runs can be told apart. */
function runKey(request: IncomingMessage, body: string): string {
  const key = request.headers['idempotency-key'];
  if (typeof key === 'string') {
    return key;
  }
  const value = parseJson(body, 'bad-request', 'body');
  const {id} = checkShape(orderBody, value, 'bad-request', 'body');
  return `body:${id}`;
}

const orderBody = z.object({id: z.union([z.string(), z.number()])});

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > MAX_BODY_BYTES) {
      throw new Error(`the body is above ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

function delay(delayMs: number): Promise<void> {
  if (delayMs <= 0) {
    return Promise.resolve();
  }
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
