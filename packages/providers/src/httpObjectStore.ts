/** The object API over HTTP: conditional requests, a write id header, watches as JSON lines. */
import {
  checkShape,
  parseJson,
  processRandom,
  ServingError,
  systemClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {StoredObject, WriteCondition} from './contracts.js';
import {
  checkStatus,
  createHttpCaller,
  header,
  type HttpCaller,
  type HttpReply,
} from './httpCalls.js';
import {
  createObjectStore,
  type ObjectClient,
  type ObjectStoreSettings,
} from './objectStore.js';
import {
  MAX_VALUE_BYTES,
  type ObjectChange,
  type ObjectWrite,
} from './objectTable.js';
import type {ObjectTransport, TransportWatch} from './objectTransport.js';

/** The header that carries the id of a write, on requests and replies. */
export const WRITE_ID_HEADER = 'x-write-id';
/** The header that carries the store's version. */
export const STORE_VERSION_HEADER = 'x-store-version';

const objectShape = z.object({
  name: z.string(),
  version: z.number(),
  writeId: z.string(),
  value: z.unknown(),
});
const listingShape = z.object({
  version: z.number(),
  objects: z.array(objectShape),
});
const lineShape = z.discriminatedUnion('type', [
  objectShape.extend({type: z.literal('put')}),
  z.object({
    type: z.literal('remove'),
    name: z.string(),
    version: z.number(),
    writeId: z.string(),
  }),
  z.object({type: z.literal('bookmark'), version: z.number()}),
]);
const writtenShape = z.object({version: z.number()});

/**
 * Makes a client of the object API at an address.
 *
 * @example
 * const store = createHttpObjectStore({url: 'http://10.0.0.2:7000', writer: 'a1.7'});
 */
export function createHttpObjectStore(
  options: {
    readonly url: string;
    /** Names this process in its write ids. */
    readonly writer: string;
    readonly clock?: Clock;
    readonly random?: Random;
  } & ObjectStoreSettings,
): ObjectClient {
  const {clock = systemClock(), random = processRandom(), ...rest} = options;
  const transport = httpObjectTransport(createHttpCaller(options.url));
  return createObjectStore({...rest, clock, random, transport});
}

function httpObjectTransport(caller: HttpCaller): ObjectTransport {
  return {
    async get(kind, name, signal) {
      const reply = await caller.send({
        method: 'GET',
        path: objectPath(kind, name),
        hasEffect: false,
        signal,
      });
      checkStatus(reply, [200, 404], false);
      return {
        version: storeVersion(reply),
        object: readObject(kind, name, reply),
      };
    },
    async list(kind, signal) {
      const reply = await caller.send({
        method: 'GET',
        path: `/objects/${encodeURIComponent(kind)}`,
        hasEffect: false,
        signal,
      });
      checkStatus(reply, [200], false);
      const listing = readBody(listingShape, reply);
      return {
        version: listing.version,
        objects: listing.objects.map(object => ({kind, ...object})),
      };
    },
    async put(write, value, signal) {
      const body = JSON.stringify(value);
      checkSize(write, body);
      const reply = await caller.send({
        method: 'PUT',
        path: objectPath(write.kind, write.name),
        headers: writeHeaders(write),
        body,
        hasEffect: true,
        signal,
      });
      checkStatus(reply, [200, 201], true);
      const {version} = readBody(writtenShape, reply);
      const {kind, name, writeId} = write;
      return {kind, name, version, writeId, value};
    },
    async remove(write, signal) {
      const reply = await caller.send({
        method: 'DELETE',
        path: objectPath(write.kind, write.name),
        headers: writeHeaders(write),
        hasEffect: true,
        signal,
      });
      checkStatus(reply, [200, 204, 404], true);
    },
    watch: (kind, from, listener) => watchKind(caller, kind, from, listener),
    dispose: () => caller.dispose(),
  };
}

function watchKind(
  caller: HttpCaller,
  kind: string,
  from: number,
  listener: TransportWatch,
) {
  return caller.stream(`/watch/${encodeURIComponent(kind)}?from=${from}`, {
    onDidOpen: () => listener.onDidOpen(),
    onDidLine(value) {
      const line = checkShape(lineShape, value, 'protocol-violation', 'watch');
      if (line.type === 'bookmark') {
        listener.onDidCatchUp(line.version);
        return;
      }
      listener.onDidChange(toChange(kind, line));
    },
    onDidEnd(status, retryAfterMs) {
      listener.onDidEnd(status === 410 ? 'compacted' : 'lost', retryAfterMs);
    },
  });
}

function toChange(
  kind: string,
  line: Exclude<z.output<typeof lineShape>, {type: 'bookmark'}>,
): ObjectChange {
  const {name, version, writeId} = line;
  if (line.type === 'remove') {
    return {type: 'remove', kind, name, version, writeId};
  }
  const object = {kind, name, version, writeId, value: line.value};
  return {type: 'put', kind, name, version, writeId, object};
}

function objectPath(kind: string, name: string): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function writeHeaders(write: ObjectWrite): Record<string, string> {
  return {
    [WRITE_ID_HEADER]: write.writeId,
    ...conditionHeaders(write.condition),
  };
}

function conditionHeaders(condition: WriteCondition): Record<string, string> {
  switch (condition.type) {
    case 'any':
      return {};
    case 'absent':
      return {'if-none-match': '*'};
    case 'version':
      return {'if-match': `"${condition.version}"`};
  }
}

function checkSize(write: ObjectWrite, body: string): void {
  const bytes = Buffer.byteLength(body);
  if (bytes > MAX_VALUE_BYTES) {
    throw new ServingError(
      'too-large',
      `${write.kind}/${write.name} has ${bytes} bytes, ${MAX_VALUE_BYTES} are allowed`,
    );
  }
}

function storeVersion(reply: HttpReply): number {
  return Number(header(reply.headers, STORE_VERSION_HEADER) ?? 0);
}

function readObject(
  kind: string,
  name: string,
  reply: HttpReply,
): StoredObject | undefined {
  if (reply.status === 404) {
    return undefined;
  }
  const etag = header(reply.headers, 'etag') ?? '';
  return {
    kind,
    name,
    version: Number(etag.replaceAll('"', '')),
    writeId: header(reply.headers, WRITE_ID_HEADER) ?? '',
    value: parseJson(reply.text, 'protocol-violation', 'object'),
  };
}

function readBody<T extends z.ZodType>(
  schema: T,
  reply: HttpReply,
): z.output<T> {
  const value = parseJson(reply.text, 'protocol-violation', 'reply');
  return checkShape(schema, value, 'protocol-violation', 'reply');
}
