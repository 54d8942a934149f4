/** HTTP routes of the simulated object API. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import {
  STORE_VERSION_HEADER,
  WRITE_ID_HEADER,
  type ObjectTable,
  type ObjectWrite,
  type WriteCondition,
} from '@skylarkfield/providers';
import type {Polka} from 'polka';
import type {PlatformFaults} from './platformFaults.js';
import {
  startJsonLines,
  throwIfDown,
  readJson,
  routeParameter,
  sendError,
  sendJson,
  type RoutedRequest,
} from './httpResponses.js';

/** Numbers of object API calls since the start, and of open watches. */
export interface ObjectApiLoad {
  reads: number;
  writes: number;
  watchCalls: number;
  openWatches: number;
  refused: number;
}

const RATE_WINDOW_MS = 1000;

/**
 * Registers the routes of the object API on an app.
 *
 * @example
 * const routes = addObjectRoutes(app, {table, faults, clock});
 */
export function addObjectRoutes(
  app: Polka,
  options: {
    readonly table: ObjectTable;
    readonly faults: PlatformFaults;
    readonly clock: Clock;
  },
) {
  const {table, faults, clock} = options;
  const load: ObjectApiLoad = {
    reads: 0,
    writes: 0,
    watchCalls: 0,
    openWatches: 0,
    refused: 0,
  };
  const watches = new Set<ServerResponse>();
  let windowStartMs = clock.now();
  let callsInWindow = 0;

  /** Counts a call; throws `overloaded` above `callsPerSecond`. */
  function checkRateLimit(): void {
    const now = clock.now();
    if (now - windowStartMs >= RATE_WINDOW_MS) {
      windowStartMs = now;
      callsInWindow = 0;
    }
    callsInWindow += 1;
    if (callsInWindow > faults.callsPerSecond) {
      load.refused += 1;
      throw new ServingError(
        'overloaded',
        'the rate limit of the object API is exceeded',
        {
          retryAfterMs: RATE_WINDOW_MS,
        },
      );
    }
  }

  async function delay(durationMs: number): Promise<void> {
    if (durationMs > 0) {
      await sleep(clock, durationMs);
    }
  }

  async function handleRead(
    response: ServerResponse,
    sendResponse: () => void,
  ): Promise<void> {
    try {
      checkRateLimit();
      load.reads += 1;
      await delay(faults.delayMs);
      throwIfDown(faults);
      sendResponse();
    } catch (error) {
      sendError(response, error);
    }
  }

  /**
   * Handles a write. `applyWrite` stores the change and returns a function that
   * sends the response, so that a fault can lose the response.
   */
  async function handleWrite(
    request: IncomingMessage,
    response: ServerResponse,
    applyWrite: (body: unknown) => () => void,
  ): Promise<void> {
    try {
      checkRateLimit();
      load.writes += 1;
      const body = await readJson(request);
      await delay(faults.delayMs / 2);
      throwIfDown(faults);
      const sendResponse = applyWrite(body);
      if (faults.repliesToLose > 0) {
        faults.repliesToLose -= 1;
        response.destroy();
        return;
      }
      await delay(faults.delayMs / 2);
      sendResponse();
    } catch (error) {
      sendError(response, error);
    }
  }

  app.get('/objects/:kind', (request, response) => {
    void handleRead(response, () => {
      const {version, objects} = table.list(routeParameter(request, 'kind'));
      sendJson(response, 200, {
        version,
        objects: objects.map(object => ({
          name: object.name,
          version: object.version,
          writeId: object.writeId,
          value: object.value,
        })),
      });
    });
  });

  app.get('/objects/:kind/:name', (request, response) => {
    void handleRead(response, () => {
      const object = table.get(
        routeParameter(request, 'kind'),
        routeParameter(request, 'name'),
      );
      const headers = {[STORE_VERSION_HEADER]: String(table.version())};
      if (object === undefined) {
        sendJson(response, 404, {message: 'no such object'}, headers);
        return;
      }
      sendJson(response, 200, object.value, {
        ...headers,
        etag: `"${object.version}"`,
        [WRITE_ID_HEADER]: object.writeId,
      });
    });
  });

  app.put('/objects/:kind/:name', (request, response) => {
    void handleWrite(request, response, body => {
      const object = table.put(parseWrite(request), body);
      const etag = `"${object.version}"`;
      return () => sendJson(response, 200, {version: object.version}, {etag});
    });
  });

  app.delete('/objects/:kind/:name', (request, response) => {
    void handleWrite(request, response, () => {
      table.remove(parseWrite(request));
      return () => sendJson(response, 200, {version: table.version()});
    });
  });

  app.get('/watch/:kind', (request, response) => {
    try {
      checkRateLimit();
      throwIfDown(faults);
    } catch (error) {
      sendError(response, error);
      return;
    }
    load.watchCalls += 1;
    if (faults.isRejectingWatches) {
      response.destroy();
      return;
    }
    streamChanges(
      routeParameter(request, 'kind'),
      Number(request.query['from'] ?? 0),
      response,
    );
  });

  function streamChanges(
    kind: string,
    fromVersion: number,
    response: ServerResponse,
  ): void {
    const backlog = table.changesSince(kind, fromVersion);
    if (backlog === undefined) {
      sendJson(response, 410, {
        message: 'the changes since this version were compacted',
      });
      return;
    }
    const writeLine = startJsonLines(response);
    function sendDelayed(value: unknown): void {
      const send = () => {
        if (!faults.isSilent) {
          writeLine(value);
        }
      };
      if (faults.delayMs === 0) {
        send();
        return;
      }
      clock.after(faults.delayMs, send);
    }
    for (const change of backlog) {
      sendDelayed(toWatchEvent(change));
    }
    sendDelayed({type: 'bookmark', version: table.version()});
    const subscription = table.onDidChange(change => {
      if (change.kind === kind) {
        sendDelayed(toWatchEvent(change));
      }
    });
    watches.add(response);
    load.openWatches = watches.size;
    response.once('close', () => {
      subscription.dispose();
      watches.delete(response);
      load.openWatches = watches.size;
    });
  }

  return {
    load,
    /** Closes every open watch. */
    dropWatches() {
      for (const response of watches) {
        response.destroy();
      }
    },
  };
}

function toWatchEvent(
  change: Parameters<Parameters<ObjectTable['onDidChange']>[0]>[0],
) {
  const {type, name, version, writeId} = change;
  const value = change.type === 'put' ? change.object.value : undefined;
  return {type, name, version, writeId, value};
}

function parseWrite(request: RoutedRequest): ObjectWrite {
  return {
    kind: routeParameter(request, 'kind'),
    name: routeParameter(request, 'name'),
    writeId: String(request.headers[WRITE_ID_HEADER] ?? ''),
    condition: parseCondition(request),
  };
}

function parseCondition(request: RoutedRequest): WriteCondition {
  if (request.headers['if-none-match'] === '*') {
    return {type: 'absent'};
  }
  const ifMatch = request.headers['if-match'];
  if (ifMatch === undefined) {
    return {type: 'any'};
  }
  return {type: 'version', version: Number(ifMatch.replaceAll('"', ''))};
}
