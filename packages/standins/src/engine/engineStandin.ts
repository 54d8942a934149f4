/** HTTP server of a simulated engine, with control routes to inject faults. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  ServingError,
  validateShape,
  errorResponses,
  parseJson,
  processRandom,
  systemClock,
  toServingError,
  type Random,
} from '@skylarkfield/base';
import type {EndpointCommand, GenerationRequest} from '@skylarkfield/endpoints';
import polka from 'polka';
import type {EngineCosts} from './engineCosts.js';
import type {EngineFault} from './engineFaults.js';
import {
  createSimulatedEngine,
  type SimulatedEngine,
} from './simulatedEngine.js';
import {
  attemptSchema,
  engineFaultsSchema,
  exportedCacheSchema,
  generationSchema,
  importSourceSchema,
  orderSchema,
} from './engineRequestSchemas.js';

export interface EngineStandinOptions {
  /** 0 picks a free port. */
  readonly port: number;
  readonly host: string;
  readonly service: string;
  readonly version: string;
  readonly role?: string;
  readonly checksFencing?: boolean;
  readonly costs?: Partial<EngineCosts>;
  readonly faults?: readonly EngineFault[];
  readonly random?: Random;
}

export interface EngineStandin {
  readonly url: string;
  readonly port: number;
  readonly simulatedEngine: SimulatedEngine;
  /** Replaces the injected faults, like `POST /control/faults`. */
  setFaults(faults: readonly EngineFault[]): Promise<void>;
  stop(): Promise<void>;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/**
 * Starts an engine stand-in. `POST /control/faults` sets the injected faults,
 * `GET /control/totals` returns the numbers of requests and tokens processed.
 *
 * @example
 * const options = {host: '127.0.0.1', service: 'match', version: 'v1'};
 * const engine = await startEngineStandin({port: 0, ...options});
 * await engine.stop();
 */
export async function startEngineStandin(
  options: EngineStandinOptions,
): Promise<EngineStandin> {
  const clock = systemClock();
  const engine = createSimulatedEngine({
    ...options,
    clock,
    random: options.random ?? processRandom(),
  });
  const sockets = new Set<Socket>();
  const app = polka();
  const server = createServer((request, response) => {
    void app.handler(request as never, response as never);
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  let isListening = false;
  let port = options.port;

  async function listen() {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, options.host, resolve);
    });
    port = (server.address() as AddressInfo).port;
    isListening = true;
  }

  async function close() {
    if (!isListening) {
      return;
    }
    isListening = false;
    const closePromise = new Promise(resolve => server.close(resolve));
    sockets.forEach(socket => socket.destroy());
    await closePromise;
  }

  async function setFaults(faults: readonly EngineFault[]) {
    engine.setFaults(faults);
    if (engine.hasFault('down')) {
      await close();
    } else if (!isListening) {
      await listen();
    }
  }

  function addRoute(
    method: 'get' | 'post',
    path: string,
    handler: Handler,
    isControlRoute = false,
  ) {
    app[method](path, (request, response) => {
      // A paused engine accepts the connection and never responds.
      if (!isControlRoute && engine.hasFault('pause')) {
        return;
      }
      handler(request, response).catch(error => sendError(response, error));
    });
  }

  addRoute('post', '/v1/generate', async (request, response) => {
    const generation = validateShape(
      generationSchema,
      await readBody(request),
      'bad-request',
    );
    streamAnswer(engine, generation as GenerationRequest, response);
  });
  addRoute('post', '/v1/cancel', async (request, response) => {
    const body = validateShape(
      attemptSchema,
      await readBody(request),
      'bad-request',
    );
    engine.cancel(body.attempt);
    sendJson(response, {});
  });
  addRoute('get', '/v1/load', async (_request, response) =>
    sendJson(response, engine.load()),
  );
  addRoute('get', '/v1/cache-events', async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://engine');
    const afterSequence = Number(url.searchParams.get('after') ?? '-1');
    sendJson(response, engine.cacheEvents(afterSequence));
  });
  addRoute('post', '/v1/export', async (request, response) => {
    const body = validateShape(
      attemptSchema,
      await readBody(request),
      'bad-request',
    );
    const exportedCache = engine.exportCache(body.attempt);
    if (exportedCache === undefined) {
      throw new ServingError(
        'not-found',
        'there is no KV cache to export: the attempt is not being decoded',
      );
    }
    const {handle, tokens, bytes} = exportedCache;
    sendJson(response, {handle, tokens, bytes});
  });
  addRoute('get', '/v1/exports/:handle', async (request, response) => {
    const handle = (request.url ?? '').split('/').at(-1) ?? '';
    const exportedCache = engine.getExport(decodeURIComponent(handle));
    if (exportedCache === undefined) {
      throw new ServingError(
        'not-found',
        'there is no export with this handle',
      );
    }
    sendJson(response, exportedCache);
  });
  addRoute('post', '/v1/import', async (request, response) => {
    const source = validateShape(
      importSourceSchema,
      await readBody(request),
      'bad-request',
    );
    const exportedCache = await fetchExport(source);
    await new Promise(resolve =>
      setTimeout(resolve, engine.importDelayMs(exportedCache)),
    );
    engine.importCache(exportedCache);
    const {handle, tokens, bytes} = exportedCache;
    sendJson(response, {handle, tokens, bytes});
  });
  addRoute('post', '/v1/order', async (request, response) => {
    const order = validateShape(
      orderSchema,
      await readBody(request),
      'bad-request',
    );
    engine.executeCommand(order as EndpointCommand);
    sendJson(response, {});
  });
  addRoute('get', '/v1/running', async (_request, response) =>
    sendJson(response, engine.running()),
  );
  addRoute(
    'post',
    '/control/faults',
    async (request, response) => {
      const body = validateShape(
        engineFaultsSchema,
        await readBody(request),
        'bad-request',
      );
      sendJson(response, {});
      await setFaults(body as EngineFault[]);
    },
    true,
  );
  addRoute(
    'get',
    '/control/totals',
    async (_request, response) => sendJson(response, engine.totals()),
    true,
  );

  await listen();
  await setFaults(options.faults ?? []);
  return {
    url: `http://${options.host}:${port}`,
    port,
    simulatedEngine: engine,
    setFaults,
    async stop() {
      engine.dispose();
      await close();
    },
  };
}

/** Streams an answer as server-sent events; a client disconnect cancels it. */
function streamAnswer(
  engine: SimulatedEngine,
  generation: GenerationRequest,
  response: ServerResponse,
) {
  let isResponseStarted = false;
  response.once('close', () => engine.cancel(generation.attempt));
  engine.submit(generation, {
    event(event) {
      if (!isResponseStarted) {
        isResponseStarted = true;
        response.writeHead(200, {'content-type': 'text/event-stream'});
      }
      response.write(`data: ${JSON.stringify(event)}\n\n`);
      if (event.type === 'end') {
        response.end();
      }
    },
    fail(error) {
      if (isResponseStarted) {
        response.destroy();
      } else {
        sendError(response, error);
      }
    },
  });
}

async function fetchExport(source: {url: string; handle: string}) {
  try {
    const url = `${source.url}/v1/exports/${encodeURIComponent(source.handle)}`;
    const response = await fetch(url);
    return exportedCacheSchema.parse(await response.json());
  } catch (error) {
    throw new ServingError(
      'endpoint-failed',
      'cannot fetch the exported KV cache from the source engine',
      {
        cause: error,
      },
    );
  }
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bodyBytes = 0;
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
    bodyBytes += (chunk as Buffer).length;
    if (bodyBytes > MAX_BODY_BYTES) {
      throw new ServingError('too-large', 'the request body is too large');
    }
  }
  return parseJson(Buffer.concat(chunks).toString(), 'bad-request', 'body');
}

function sendJson(response: ServerResponse, value: unknown, status = 200) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

function sendError(response: ServerResponse, error: unknown) {
  const {kind, message} = toServingError(error);
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  sendJson(response, {kind, title: message}, errorResponses[kind].status);
}
