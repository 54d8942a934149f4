'use strict';
/**
 * Runs two gateways in one process for a short time, with a stand-in platform
 * and endpoint. The build does so to fill V8's code cache with the functions
 * that a process needs to serve its first requests.
 */
const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const http = require('node:http');
const {tmpdir} = require('node:os');
const {join} = require('node:path');

const HOST = 'warm.example';
const KEY = 'warm-key';
const GATEWAY_COUNT = 2;
const PORT_NAMES = ['callers', 'readiness', 'lookup', 'inner', 'status'];
const OBJECTS_PATH = '/skylarkfield/objects/';

/**
 * Timeout for a gateway to become ready, in milliseconds. After the timeout, as
 * on a busy machine, the build continues with a gateway that is not ready.
 */
const READY_TIMEOUT_MS = 10_000;
const POLL_MS = 50;

/** Time for digests, heartbeats and duties to run, in milliseconds. */
const RUN_MS = 2_000;
const LONG_POLL_MS = 200;
const EVENTS_PER_STREAM = 5;

function listen(handler) {
  return new Promise(resolve => {
    const server = http.createServer(handler);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function addressOf(server) {
  return `127.0.0.1:${server.address().port}`;
}

async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({length: count}, () => listen(() => {})),
  );
  const ports = servers.map(server => server.address().port);
  servers.forEach(server => server.close());
  return ports;
}

function toObject(name, spec) {
  return {
    Metadata: {
      Name: name,
      Rev: 2,
      CreateRev: 1,
      Finalizers: [],
      Deleting: false,
    },
    Spec: spec,
    Status: null,
  };
}

function route(name, kind, service) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: 3000,
    GoalMs: 400,
    GapAimMs: 400,
    Service: service,
    Attempts: 2,
    Priority: 1,
  };
}

function configuration() {
  return toObject('main', {
    Version: 1,
    Routes: [
      route('plain', 'idempotent', 'desk'),
      route('stream', 'streaming', 'engine'),
    ],
    Services: [
      {Name: 'desk', MaxConns: 100, Slots: 6},
      {Name: 'engine', MaxConns: 100, Slots: 16, KvTokens: 400000},
    ],
    Limits: {
      HeaderBytes: 16384,
      BodyBytes: 65536,
      HeaderMs: 3000,
      IdleMs: 15000,
    },
    Tenants: [
      {
        Name: 'chain',
        ApiKeys: [KEY],
        RatePerS: 90000,
        Burst: 90000,
        Unit: 'tokens',
        PlainTokens: 100,
      },
    ],
  });
}

function endpoint(name, service, address) {
  return toObject(name, {
    Service: service,
    Addr: address,
    Zone: 'a',
    Version: 'v1',
    Slots: 16,
    State: 'ready',
    ColdLeftMs: 0,
    Seq: 1,
    born: 1,
    Stage: 'unified',
  });
}

function readText(request) {
  return new Promise(resolve => {
    let text = '';
    request.on('data', chunk => (text += chunk));
    request.on('end', () => resolve(text));
  });
}

/** Starts a stand-in platform; its store accepts writes, reports no changes. */
async function startPlatform(endpointAddress) {
  const objects = new Map([
    ['config', new Map([['main', configuration()]])],
    [
      'servers',
      new Map([
        ['w-1', endpoint('w-1', 'desk', endpointAddress)],
        ['w-2', endpoint('w-2', 'engine', endpointAddress)],
      ]),
    ],
  ]);

  function read(kind, name) {
    const stored = objects.get(kind) ?? new Map();
    if (name === undefined) {
      return {Items: [...stored.values()], MorePages: false, CurrentRev: 2};
    }
    return stored.get(name);
  }

  function write(kind, name, text) {
    const {Metadata = {}, Spec} = JSON.parse(text || '{}');
    const object = toObject(name ?? Metadata.Name, Spec);
    const stored = objects.get(kind) ?? new Map();
    objects.set(kind, stored.set(object.Metadata.Name, object));
    return object;
  }

  async function handle(request, response) {
    const text = await readText(request);
    const url = new URL(request.url, 'http://platform');
    const [kind, name] = url.pathname.slice(OBJECTS_PATH.length).split('/');
    if (url.searchParams.has('Watch')) {
      await delay(LONG_POLL_MS);
      sendJson(response, 200, {events: [], CurrentRev: 2});
      return;
    }
    if (!url.pathname.startsWith(OBJECTS_PATH) || request.method === 'DELETE') {
      sendJson(response, 200, {});
      return;
    }
    const body =
      request.method === 'GET' ? read(kind, name) : write(kind, name, text);
    sendJson(response, body === undefined ? 404 : 200, body ?? {});
  }

  return listen((request, response) => void handle(request, response));
}

function sendJson(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}

function startEndpoint() {
  return listen(async (request, response) => {
    await readText(request);
    response.writeHead(200, {
      'X-Try-Id': request.headers['x-try-id'],
      'X-Reply-Seal': 'warm',
      'X-Replica-Load': '1,0,16',
    });
    if (!request.url.startsWith('/stream/')) {
      response.end('x'.repeat(800));
      return;
    }
    for (let id = 1; id <= EVENTS_PER_STREAM; id++) {
      response.write(`id: ${id}\ndata: ${'x'.repeat(80)}\n\n`);
      await delay(5);
    }
    response.end();
  });
}

function createSettings(index, ports, platform) {
  const [own] = ports.slice(index);
  return {
    id: `warm-${index}`,
    failureDomain: 'a',
    region: 'r',
    ...Object.fromEntries(
      PORT_NAMES.map((name, position) => [name, `127.0.0.1:${own[position]}`]),
    ),
    seeds: ports.map(([, , , inner]) => `127.0.0.1:${inner}`),
    platform: {store: platform, orders: platform, callsPerSecond: 400},
    innerKey: 'known-to-all-entries',
    graceSeconds: 2,
    lookupSeconds: 5,
    keyRevocationMs: 5000,
    usageWindowSeconds: 1,
    usageLateSeconds: 2,
  };
}

/** Sends one request; returns the response status, or 0 without a response. */
function send(port, path, headers, body) {
  return new Promise(resolve => {
    const request = http.request(
      {
        host: '127.0.0.1',
        port,
        path,
        headers,
        method: body === undefined ? 'GET' : 'POST',
        agent: false,
      },
      response => {
        response.resume();
        response.once('end', () => resolve(response.statusCode));
        response.once('error', () => resolve(0));
      },
    );
    request.once('error', () => resolve(0));
    request.end(body);
  });
}

function delay(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitUntilReady(port) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if ((await send(port, '/skylarkfield/readyz', {})) === 200) {
      return;
    }
    await delay(POLL_MS);
  }
}

async function callBothRoutes(port, round) {
  const headers = {Host: HOST, 'X-Key': KEY, 'X-Deadline-Ms': '3000'};
  await send(port, '/plain/x', {...headers, 'X-Try-Id': `p${round}`});
  await send(
    port,
    '/stream/x',
    {
      ...headers,
      'X-Try-Id': `s${round}`,
      'X-Model': 'm',
      'X-Token-Counts': '900,80',
      'X-Prompt-Prefix': '5c1e07a2:500,91bd3f06:400',
    },
    '{}',
  );
}

/**
 * Starts the gateways and sends some requests. `startGateway` accepts the
 * path of a settings file and returns before the gateway is ready.
 */
async function warmUp(startGateway) {
  const folder = mkdtempSync(join(tmpdir(), 'skylarkfield-warm-'));
  try {
    const endpointServer = await startEndpoint();
    const platform = await startPlatform(addressOf(endpointServer));
    const allPorts = await freePorts(GATEWAY_COUNT * PORT_NAMES.length);
    const ports = Array.from({length: GATEWAY_COUNT}, (_, index) =>
      allPorts.slice(
        index * PORT_NAMES.length,
        (index + 1) * PORT_NAMES.length,
      ),
    );
    ports.forEach((_, index) => {
      const path = join(folder, `${index}.json`);
      const settings = createSettings(index, ports, addressOf(platform));
      writeFileSync(path, JSON.stringify(settings));
      startGateway(path);
    });
    for (const [callers, readiness, lookup] of ports) {
      await waitUntilReady(readiness);
      await send(
        lookup,
        `/skylarkfield/resolve?Name=${HOST}&Region=r&Zone=a`,
        {},
      );
      for (let round = 0; round < 3; round++) {
        await callBothRoutes(callers, round);
      }
    }
    await delay(RUN_MS);
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}

module.exports = {warmUp};
