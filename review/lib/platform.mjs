/**
 * Stand-in for the users' platform: the metadata store and the API for duties,
 * each on a loopback port of its own.
 */
import {performance} from 'node:perf_hooks';
import http from 'node:http';

const OBJECTS_PATH = '/skylarkfield/objects/';
const PAGE_SIZE = 500;
/** Delay of an answer, in milliseconds. */
const ANSWER_MS = 4;

export async function listen(server) {
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${server.address().port}`;
}

export function sleep(durationMs) {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function readBody(request) {
  let text = '';
  for await (const chunk of request) {
    text += chunk;
  }
  return text;
}

function toWire(object) {
  const {name, revision, created, finalizers, isDeleting, spec, status} =
    object;
  return {
    Metadata: {
      Name: name,
      Rev: revision,
      CreateRev: created,
      Finalizers: finalizers,
      Deleting: isDeleting,
    },
    Spec: spec,
    Status: status,
  };
}

/**
 * Starts the store; it keeps its whole history. In a drill it is away for a
 * moment and returns from a copy that was taken before.
 */
export async function startStore() {
  const objectsByKind = new Map();
  const history = [];
  const waiters = new Set();
  let revision = 100;
  let era = 1;
  let isAway = false;

  function objectsOf(kind) {
    if (!objectsByKind.has(kind)) {
      objectsByKind.set(kind, new Map());
    }
    return objectsByKind.get(kind);
  }

  function record(kind, object, isDeleted) {
    history.push({
      kind,
      revision,
      event: {Object: toWire(object), Deleted: isDeleted},
    });
    [...waiters].forEach(wake => wake());
  }

  function put(kind, name, change) {
    const former = objectsOf(kind).get(name);
    const next = {
      name,
      created: revision + 1,
      finalizers: [],
      isDeleting: false,
      spec: undefined,
      status: undefined,
      ...former,
      ...change,
    };
    if (
      former !== undefined &&
      JSON.stringify(former) === JSON.stringify(next)
    ) {
      return former;
    }
    revision += 1;
    next.revision = revision;
    objectsOf(kind).set(name, next);
    record(kind, next, false);
    return next;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (object !== undefined) {
      revision += 1;
      objectsOf(kind).delete(name);
      record(kind, {...object, revision}, true);
    }
  }

  async function watch(kind, fromRevision, waitMs) {
    const deadline = Date.now() + Math.min(waitMs, 30_000);
    const watchedEra = era;
    for (;;) {
      if (isAway) {
        return {status: 503, body: {}};
      }
      if (era !== watchedEra || fromRevision > revision) {
        return {status: 410, body: {}};
      }
      const events = history
        .filter(item => item.kind === kind && item.revision > fromRevision)
        .map(({event}) => event);
      const leftMs = deadline - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        return {status: 200, body: {events, CurrentRev: revision}};
      }
      await new Promise(resolve => {
        const timer = setTimeout(wake, leftMs);
        waiters.add(wake);
        function wake() {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        }
      });
    }
  }

  function list(kind, afterName) {
    const names = [...objectsOf(kind).keys()]
      .sort()
      .filter(name => afterName === null || name > afterName);
    return {
      Items: names
        .slice(0, PAGE_SIZE)
        .map(name => toWire(objectsOf(kind).get(name))),
      MorePages: names.length > PAGE_SIZE,
      CurrentRev: revision,
    };
  }

  async function handle(request) {
    const {pathname, searchParams: query} = new URL(
      request.url,
      'http://store',
    );
    if (!pathname.startsWith(OBJECTS_PATH)) {
      return {status: 404, body: {}};
    }
    const [kind, name, part] = pathname
      .slice(OBJECTS_PATH.length)
      .split('/')
      .map(decodeURIComponent);
    const text = await readBody(request);
    const body = text === '' ? {} : JSON.parse(text);
    await sleep(ANSWER_MS);
    if (request.method === 'GET' && query.has('Watch')) {
      return watch(
        kind,
        Number(query.get('Watch')),
        Number(query.get('WaitMs') ?? 0),
      );
    }
    if (request.method === 'GET' && name === undefined) {
      return {status: 200, body: list(kind, query.get('SinceRev'))};
    }
    const objectName = name ?? body.Metadata?.Name;
    const object = objectsOf(kind).get(objectName);
    if (request.method === 'POST') {
      return object === undefined
        ? {
            status: 200,
            body: toWire(
              put(kind, objectName, {
                spec: body.Spec,
                finalizers: body.Metadata?.Finalizers ?? [],
              }),
            ),
          }
        : {status: 409, body: toWire(object)};
    }
    if (object === undefined) {
      return {status: 404, body: {}};
    }
    const expected = body.Metadata?.Rev ?? query.get('Rev');
    if (
      request.method !== 'GET' &&
      expected !== undefined &&
      expected !== null &&
      Number(expected) !== object.revision
    ) {
      return {status: 409, body: toWire(object)};
    }
    if (request.method === 'GET') {
      return {status: 200, body: toWire(object)};
    }
    if (request.method === 'DELETE') {
      remove(kind, objectName);
      return {status: 200, body: toWire(object)};
    }
    const change =
      part === 'status'
        ? {status: body.Status}
        : {
            spec: body.Spec,
            finalizers: body.Metadata?.Finalizers ?? object.finalizers,
          };
    return {status: 200, body: toWire(put(kind, objectName, change))};
  }

  const server = http.createServer((request, response) => {
    const answer = isAway
      ? Promise.resolve({status: 503, body: {}})
      : handle(request);
    answer.then(
      ({status, body}) => {
        response.writeHead(status, {
          'content-type': 'application/json',
          'store-era': String(era),
        });
        response.end(JSON.stringify(body));
      },
      () => response.destroy(),
    );
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server);
  return {
    address,
    put: (kind, name, spec) => put(kind, name, {spec}),
    remove,
    get: (kind, name) => objectsOf(kind).get(name),
    names: kind => [...objectsOf(kind).keys()],
    /** Returns a copy of all objects, from which the store can return. */
    takeCopy: () => ({
      revision,
      kinds: [...objectsByKind].map(([kind, objects]) => [
        kind,
        [...objects.values()].map(object => JSON.parse(JSON.stringify(object))),
      ]),
    }),
    /** Makes the store answer 503 until it returns. */
    leave() {
      isAway = true;
      [...waiters].forEach(wake => wake());
    },
    /** Returns from a copy: what was written since it was taken is lost. */
    returnFrom(copy) {
      revision = copy.revision;
      objectsByKind.clear();
      for (const [kind, objects] of copy.kinds) {
        objectsByKind.set(
          kind,
          new Map(objects.map(object => [object.name, object])),
        );
      }
      history.splice(
        0,
        history.length,
        ...history.filter(item => item.revision <= revision),
      );
      era += 1;
      isAway = false;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * Starts the API for duties. Passes every call on with the time of its arrival in
 * monotonic milliseconds, and answers with the status that is returned, by default 200.
 */
export async function startDutyApi(onDidReceive) {
  const server = http.createServer((request, response) => {
    readBody(request).then(
      text => {
        const status = onDidReceive({
          at: performance.now(),
          duty: request.url.slice(1),
          holder: String(request.headers['x-duty-holder']),
          token: Number(request.headers['x-fence-token']),
          body: JSON.parse(text),
        });
        response.writeHead(typeof status === 'number' ? status : 200, {
          'content-type': 'application/json',
        });
        response.end('{}');
      },
      () => response.destroy(),
    );
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server);
  return {
    address,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
