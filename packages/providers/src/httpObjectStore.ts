/** HTTP client of the object API; a watch is a stream of JSON lines. */
import {
  createFirstOccurrences,
  createSilentLogger,
  isInheritedProperty,
  parseJson,
  processRandom,
  ServingError,
  systemClock,
  validateShape,
  type Clock,
  type Logger,
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

const versionSchema = z.number().int().min(0);
const nameSchema = z
  .string()
  .refine(
    name => !isInheritedProperty(name),
    'must not be the name of an inherited property',
  );
const objectSchema = z.object({
  name: nameSchema,
  version: versionSchema,
  writeId: z.string(),
  value: z.unknown(),
});
const listingSchema = z.object({
  version: versionSchema,
  objects: z.array(z.unknown()),
});
const watchEventSchema = z.discriminatedUnion('type', [
  objectSchema.extend({type: z.literal('put')}),
  z.object({
    type: z.literal('remove'),
    name: nameSchema,
    version: versionSchema,
    writeId: z.string(),
  }),
  z.object({type: z.literal('bookmark'), version: versionSchema}),
]);
const writeResponseSchema = z.object({version: versionSchema});

/** Number of refused objects that are remembered as logged. */
const MAX_LOGGED_OBJECTS = 100;

/** Maximum length of a logged reason, in characters. */
const MAX_LOGGED_LENGTH = 300;

/**
 * Returns the decoded value; undefined, and a log line for the first one of its
 * kind and reason, if the value is refused.
 */
type Decoder = <T extends z.ZodType>(
  schema: T,
  kind: string,
  value: unknown,
) => z.output<T> | undefined;

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
    /** Receives a line for each object that is refused; none by default. */
    readonly log?: Logger;
  } & ObjectStoreSettings,
): ObjectStoreClient {
  const {
    clock = systemClock(),
    random = processRandom(),
    log = createSilentLogger(),
    ...storeSettings
  } = options;
  const transport = createHttpObjectTransport(
    createHttpClient(options.url),
    createDecoder(log),
  );
  return createObjectStore({...storeSettings, clock, random, transport});
}

function createDecoder(log: Logger): Decoder {
  const isFirstMention = createFirstOccurrences(MAX_LOGGED_OBJECTS);
  return (schema, kind, value) => {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
      return parsed.data;
    }
    const reason = parsed.error.issues
      .map(({path, message}) => `${path.map(String).join('.')}: ${message}`)
      .join('; ')
      .slice(0, MAX_LOGGED_LENGTH);
    if (isFirstMention(`${kind} ${reason}`)) {
      log.warn({kind, reason}, 'refused an object; treating it as absent');
    }
    return undefined;
  };
}

function createHttpObjectTransport(
  client: HttpClient,
  decode: Decoder,
): ObjectTransport {
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
        objects: listing.objects.flatMap(value => {
          const object = decode(objectSchema, kind, value);
          return object === undefined ? [] : [{kind, ...object}];
        }),
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
      watchKind(client, decode, kind, fromVersion, listener),
    dispose: () => client.dispose(),
  };
}

function watchKind(
  client: HttpClient,
  decode: Decoder,
  kind: string,
  fromVersion: number,
  listener: TransportWatchListener,
) {
  return client.stream(
    `/watch/${encodeURIComponent(kind)}?from=${fromVersion}`,
    {
      onDidOpen: () => listener.onDidOpen(),
      onDidLine(value) {
        const event = decode(watchEventSchema, kind, value);
        if (event === undefined) {
          return;
        }
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
