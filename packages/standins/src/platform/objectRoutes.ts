/** The object API of the stand-in. */
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
import type {Faults} from './faults.js';
import {
  beginLines,
  checkUp,
  readJson,
  routeParameter,
  sendError,
  sendJson,
  type RoutedRequest,
} from './httpReplies.js';

/** Calls that the object API has answered. */
export interface ObjectLoad {
  reads: number;
  writes: number;
  watchCalls: number;
  openWatches: number;
  refused: number;
}

const ONE_SECOND_MS = 1000;

/**
 * Adds the object API's routes to an app.
 *
 * @example
 * const routes = addObjectRoutes(app, {table, faults, clock});
 */
export function addObjectRoutes(
  app: Polka,
  options: {
    readonly table: ObjectTable;
    readonly faults: Faults;
    readonly clock: Clock;
  },
) {
  const {table, faults, clock} = options;
  const load: ObjectLoad = {
    reads: 0,
    writes: 0,
    watchCalls: 0,
    openWatches: 0,
    refused: 0,
  };
  const watches = new Set<ServerResponse>();
  let windowStart = clock.now();
  let callsInWindow = 0;

  /** Counts a call; refuses it when the second's calls are used up. */
  function countCall(): void {
    const now = clock.now();
    if (now - windowStart >= ONE_SECOND_MS) {
      windowStart = now;
      callsInWindow = 0;
    }
    callsInWindow += 1;
    if (callsInWindow > faults.callsPerSecond) {
      load.refused += 1;
      throw new ServingError('overloaded', 'too many calls in this second', {
        retryAfterMs: ONE_SECOND_MS,
      });
    }
  }

  async function pause(spanMs: number): Promise<void> {
    if (spanMs > 0) {
      await sleep(clock, spanMs);
    }
  }

  async function read(
    response: ServerResponse,
    operation: () => void,
  ): Promise<void> {
    try {
      countCall();
      load.reads += 1;
      await pause(faults.delayMs);
      checkUp(faults);
      operation();
    } catch (error) {
      sendError(response, error);
    }
  }

  async function write(
    request: IncomingMessage,
    response: ServerResponse,
    operation: (body: unknown) => () => void,
  ): Promise<void> {
    try {
      countCall();
      load.writes += 1;
      const body = await readJson(request);
      await pause(faults.delayMs / 2);
      checkUp(faults);
      const reply = operation(body);
      if (faults.repliesToLose > 0) {
        faults.repliesToLose -= 1;
        response.destroy();
        return;
      }
      await pause(faults.delayMs / 2);
      reply();
    } catch (error) {
      sendError(response, error);
    }
  }

  app.get('/objects/:kind', (request, response) => {
    void read(response, () => {
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
    void read(response, () => {
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
    void write(request, response, body => {
      const object = table.put(toWrite(request), body);
      const etag = `"${object.version}"`;
      return () => sendJson(response, 200, {version: object.version}, {etag});
    });
  });

  app.delete('/objects/:kind/:name', (request, response) => {
    void write(request, response, () => {
      table.remove(toWrite(request));
      return () => sendJson(response, 200, {version: table.version()});
    });
  });

  app.get('/watch/:kind', (request, response) => {
    try {
      countCall();
      checkUp(faults);
    } catch (error) {
      sendError(response, error);
      return;
    }
    load.watchCalls += 1;
    if (faults.isRejectingWatches) {
      response.destroy();
      return;
    }
    follow(
      routeParameter(request, 'kind'),
      Number(request.query['from'] ?? 0),
      response,
    );
  });

  function follow(kind: string, from: number, response: ServerResponse): void {
    const backlog = table.changesSince(kind, from);
    if (backlog === undefined) {
      sendJson(response, 410, {message: 'changes since then are not kept'});
      return;
    }
    const writeLine = beginLines(response);
    function tell(value: unknown): void {
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
      tell(toLine(change));
    }
    tell({type: 'bookmark', version: table.version()});
    const subscription = table.onDidChange(change => {
      if (change.kind === kind) {
        tell(toLine(change));
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
    /** Ends every open watch. */
    dropWatches() {
      for (const response of watches) {
        response.destroy();
      }
    },
  };
}

function toLine(
  change: Parameters<Parameters<ObjectTable['onDidChange']>[0]>[0],
) {
  const {type, name, version, writeId} = change;
  const value = change.type === 'put' ? change.object.value : undefined;
  return {type, name, version, writeId, value};
}

function toWrite(request: RoutedRequest): ObjectWrite {
  return {
    kind: routeParameter(request, 'kind'),
    name: routeParameter(request, 'name'),
    writeId: String(request.headers[WRITE_ID_HEADER] ?? ''),
    condition: toCondition(request),
  };
}

function toCondition(request: RoutedRequest): WriteCondition {
  if (request.headers['if-none-match'] === '*') {
    return {type: 'absent'};
  }
  const match = request.headers['if-match'];
  if (match === undefined) {
    return {type: 'any'};
  }
  return {type: 'version', version: Number(match.replaceAll('"', ''))};
}
