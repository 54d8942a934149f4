/**
 * Plain service for tests: non-idempotent bookings, advances and kit orders,
 * idempotent lookups, counters of executed calls, and fault injection.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {validateShape, parseJson, seededRandom} from '@skylarkfield/base';
import polka from 'polka';
import * as z from 'zod';
import {
  createServiceFaults,
  serviceFaultSchema,
  type ServiceFault,
  type ServiceFaultInput,
} from './serviceFaults.js';
import {createServiceLoad} from './serviceLoad.js';

export interface ServiceStandinOptions {
  /** 0 picks a free port. */
  readonly port?: number;
  readonly host?: string;
  readonly service: string;
  readonly version?: string;
  /** Maximum number of concurrent requests; further requests wait. */
  readonly slots?: number;
  /** Simulated processing time of each request. */
  readonly workMs?: number;
  /** Delay until the load report shows a change. */
  readonly lagMs?: number;
  readonly seed?: number;
}

/** Numbers of times that non-idempotent calls were executed. */
export interface ServiceRuns {
  readonly total: number;
  /** Runs per idempotency key, or per `body:ID` for calls without a key. */
  readonly byKey: Readonly<Record<string, number>>;
}

export interface ServiceStandin {
  readonly url: string;
  stop(): Promise<void>;
  addFault(fault: ServiceFaultInput): void;
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
const NON_IDEMPOTENT_ROUTES = ['/bookings', '/advances', '/orders'];

/**
 * Starts a service stand-in; resolves once the server is listening.
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

  /** Creates a handler that waits for a slot and applies injected faults. */
  function createWorkHandler(
    prepareEffect: (request: IncomingMessage, body: string) => () => unknown,
    status: number,
  ): Handler {
    return async (request, response) => {
      const body = await readBody(request);
      const runEffect = prepareEffect(request, body);
      const fault = faults.selectFault(requestPath(request), load.running);
      const releaseSlot = await load.acquireSlot();
      releaseOnClose(response, releaseSlot);
      if (
        fault !== undefined &&
        preEffectFaultHandlers[fault.type]?.(fault, response)
      ) {
        return;
      }
      await delay(workMs + (fault?.type === 'slow' ? fault.delayMs : 0));
      const result = runEffect();
      if (
        fault !== undefined &&
        postEffectFaultHandlers[fault.type]?.(response)
      ) {
        return;
      }
      sendJson(response, status, result);
    };
  }

  const nonIdempotentHandler = createWorkHandler((request, body) => {
    const key = getRunKey(request, body);
    return () => {
      countRun(key);
      return {
        confirmation: `${options.service}-${totalRuns}`,
        service: options.service,
        version,
      };
    };
  }, 201);
  const lookupHandler = createWorkHandler(
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
  app.get('/availability', withErrorResponse(lookupHandler));
  app.get(
    '/slow',
    withErrorResponse(async (request, response) => {
      await delay(numericQueryParameter(request, 'ms', 1_000));
      await lookupHandler(request, response);
    }),
  );
  app.get('/large', (request, response) => {
    response.end(
      Buffer.alloc(numericQueryParameter(request, 'bytes', 1_024), 'x'),
    );
  });
  for (const route of NON_IDEMPOTENT_ROUTES) {
    app.post(route, withErrorResponse(nonIdempotentHandler));
  }
  app.get('/control/runs', (_request, response) =>
    sendJson(response, 200, currentRuns()),
  );
  app.get('/control/faults', (_request, response) =>
    sendJson(response, 200, faults.list()),
  );
  app.post(
    '/control/faults',
    withErrorResponse(async (request, response) => {
      const value = parseJson(await readBody(request), 'bad-request', 'fault');
      faults.add(
        validateShape(serviceFaultSchema, value, 'bad-request', 'fault'),
      );
      sendJson(response, 200, faults.list());
    }),
  );
  app.delete('/control/faults', (_request, response) => {
    faults.clear();
    sendJson(response, 200, []);
  });
  app.post(
    '/control/lag',
    withErrorResponse(async (request, response) => {
      const value = parseJson(await readBody(request), 'bad-request', 'lag');
      const {lagMs} = validateShape(lagSchema, value, 'bad-request', 'lag');
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

const lagSchema = z.object({lagMs: z.number().nonnegative()});

/** Fault handlers called before a request runs; true keeps it from running. */
const preEffectFaultHandlers: Partial<
  Record<
    ServiceFault['type'],
    (fault: ServiceFault, response: ServerResponse) => boolean
  >
> = {
  hang: () => true,
  fail: (fault, response) => {
    sendJson(response, fault.status, {message: 'injected failure'});
    return true;
  },
  'close-before': (_fault, response) => {
    response.destroy();
    return true;
  },
};

/** Fault handlers called after a request ran; true suppresses the response. */
const postEffectFaultHandlers: Partial<
  Record<ServiceFault['type'], (response: ServerResponse) => boolean>
> = {
  'hang-after': () => true,
  'close-after': response => {
    response.destroy();
    return true;
  },
};

function withErrorResponse(handler: Handler): Handler {
  return async (request, response) => {
    try {
      await handler(request, response);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      sendJson(response, 400, {message});
    }
  };
}

/**
 * Releases a slot when the response closes. The client may already have
 * disconnected while the request was waiting for the slot.
 */
function releaseOnClose(
  response: ServerResponse,
  releaseSlot: () => void,
): void {
  if (response.destroyed) {
    releaseSlot();
    return;
  }
  response.once('close', releaseSlot);
}

function requestPath(request: IncomingMessage): string {
  return new URL(request.url ?? '/', 'http://service').pathname;
}

function numericQueryParameter(
  request: IncomingMessage,
  name: string,
  fallback: number,
): number {
  const query = new URL(request.url ?? '/', 'http://service').searchParams;
  return Number(query.get(name) ?? fallback);
}

/**
 * Returns the key under which a run is counted: the idempotency key or, if it
 * is absent, the `id` in the body.
 */
function getRunKey(request: IncomingMessage, body: string): string {
  const key = request.headers['idempotency-key'];
  if (typeof key === 'string') {
    return key;
  }
  const value = parseJson(body, 'bad-request', 'body');
  const {id} = validateShape(
    nonIdempotentBodySchema,
    value,
    'bad-request',
    'body',
  );
  return `body:${id}`;
}

const nonIdempotentBodySchema = z.object({
  id: z.union([z.string(), z.number()]),
});

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bodyBytes += chunk.byteLength;
    if (bodyBytes > MAX_BODY_BYTES) {
      throw new Error(`the request body exceeds ${MAX_BODY_BYTES} bytes`);
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
