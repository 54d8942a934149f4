/** HTTP client of the object API; a watch is a stream of JSON lines. */
import {
  validateShape,
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
  createHttpClient,
  headerValue,
  type HttpClient,
  type HttpResponse,
} from './httpCalls.js';
import {
  createObjectStore,
  type ObjectStoreClient,
  type ObjectStoreSettings,
} from './objectStore.js';
import {
  MAX_VALUE_BYTES,
  type ObjectChange,
  type ObjectWrite,
} from './objectTable.js';
import type {
  ObjectTransport,
  TransportWatchListener,
} from './objectTransport.js';

/** Header with the id of a write, on requests and responses. */
export const WRITE_ID_HEADER = 'x-write-id';
/** Response header with the store version. */
export const STORE_VERSION_HEADER = 'x-store-version';

const objectSchema = z.object({
  name: z.string(),
  version: z.number(),
  writeId: z.string(),
  value: z.unknown(),
});
const listingSchema = z.object({
  version: z.number(),
  objects: z.array(objectSchema),
});
const watchEventSchema = z.discriminatedUnion('type', [
  objectSchema.extend({type: z.literal('put')}),
  z.object({
    type: z.literal('remove'),
    name: z.string(),
    version: z.number(),
    writeId: z.string(),
  }),
  z.object({type: z.literal('bookmark'), version: z.number()}),
]);
const writeResponseSchema = z.object({version: z.number()});

/**
 * Creates a client of the object API at a base URL.
 *
 * @example
 * const store = createHttpObjectStore({url: 'http://10.0.0.2:7000', writer: 'a1.7'});
 */
export function createHttpObjectStore(
  options: {
    readonly url: string;
    /** Identifies this process in its write ids. */
    readonly writer: string;
    readonly clock?: Clock;
    readonly random?: Random;
  } & ObjectStoreSettings,
): ObjectStoreClient {
  const {
    clock = systemClock(),
    random = processRandom(),
    ...storeSettings
  } = options;
  const transport = createHttpObjectTransport(createHttpClient(options.url));
  return createObjectStore({...storeSettings, clock, random, transport});
}

function createHttpObjectTransport(client: HttpClient): ObjectTransport {
  return {
    // This API names no era.
    era: () => 0,
    async get(kind, name, signal) {
      const response = await client.send({
        method: 'GET',
        path: objectPath(kind, name),
        isWrite: false,
        signal,
      });
      checkStatus(response, [200, 404], false);
      return {
        version: parseStoreVersion(response),
        object: parseObject(kind, name, response),
      };
    },
    async list(kind, signal) {
      const response = await client.send({
        method: 'GET',
        path: `/objects/${encodeURIComponent(kind)}`,
        isWrite: false,
        signal,
      });
      checkStatus(response, [200], false);
      const listing = parseBody(listingSchema, response);
      return {
        version: listing.version,
        objects: listing.objects.map(object => ({kind, ...object})),
      };
    },
    async put(write, value, signal) {
      const body = JSON.stringify(value);
      checkSize(write, body);
      const response = await client.send({
        method: 'PUT',
        path: objectPath(write.kind, write.name),
        headers: writeHeaders(write),
        body,
        isWrite: true,
        signal,
      });
      checkStatus(response, [200, 201], true);
      const {version} = parseBody(writeResponseSchema, response);
      const {kind, name, writeId} = write;
      return {kind, name, version, writeId, value};
    },
    async remove(write, signal) {
      const response = await client.send({
        method: 'DELETE',
        path: objectPath(write.kind, write.name),
        headers: writeHeaders(write),
        isWrite: true,
        signal,
      });
      checkStatus(response, [200, 204, 404], true);
    },
    watch: (kind, fromVersion, listener) =>
      watchKind(client, kind, fromVersion, listener),
    dispose: () => client.dispose(),
  };
}

function watchKind(
  client: HttpClient,
  kind: string,
  fromVersion: number,
  listener: TransportWatchListener,
) {
  return client.stream(
    `/watch/${encodeURIComponent(kind)}?from=${fromVersion}`,
    {
      onDidOpen: () => listener.onDidOpen(),
      onDidLine(value) {
        const event = validateShape(
          watchEventSchema,
          value,
          'protocol-violation',
          'watch',
        );
        if (event.type === 'bookmark') {
          listener.onDidCatchUp(event.version);
          return;
        }
        listener.onDidChange(toChange(kind, event));
      },
      onDidEnd(status, retryAfterMs) {
        listener.onDidEnd(status === 410 ? 'compacted' : 'lost', retryAfterMs);
      },
    },
  );
}

function toChange(
  kind: string,
  event: Exclude<z.output<typeof watchEventSchema>, {type: 'bookmark'}>,
): ObjectChange {
  const {name, version, writeId} = event;
  if (event.type === 'remove') {
    return {type: 'remove', kind, name, version, writeId};
  }
  const object = {kind, name, version, writeId, value: event.value};
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
      `${write.kind}/${write.name} has ${bytes} bytes, the limit is ${MAX_VALUE_BYTES}`,
    );
  }
}

function parseStoreVersion(response: HttpResponse): number {
  return Number(headerValue(response.headers, STORE_VERSION_HEADER) ?? 0);
}

function parseObject(
  kind: string,
  name: string,
  response: HttpResponse,
): StoredObject | undefined {
  if (response.status === 404) {
    return undefined;
  }
  const etag = headerValue(response.headers, 'etag') ?? '';
  return {
    kind,
    name,
    version: Number(etag.replaceAll('"', '')),
    writeId: headerValue(response.headers, WRITE_ID_HEADER) ?? '',
    value: parseJson(response.text, 'protocol-violation', 'object'),
  };
}

function parseBody<T extends z.ZodType>(
  schema: T,
  response: HttpResponse,
): z.output<T> {
  const value = parseJson(response.text, 'protocol-violation', 'reply');
  return validateShape(schema, value, 'protocol-violation', 'reply');
}
