/** Reads JSON files and sends HTTP requests for commands. */
import {readFileSync} from 'node:fs';
import type {Readable} from 'node:stream';
import {
  errorResponses,
  parseJson,
  readText as readBodyText,
  ServingError,
  systemClock,
  type ErrorKind,
} from '@skylarkfield/base';
import {request} from 'undici';

const RESPONSE_TIMEOUT_MS = 10_000;

/** Bounds of a response body; the largest are dumps of a whole entry. */
const BODY_BOUNDS = {maxBytes: 64 * 1024 * 1024, timeoutMs: 60_000};

/**
 * Reads the body of a response, within bounds of size and time.
 *
 * @example
 * const text = await readBody(response.body);
 */
export function readBody(body: Readable): Promise<string> {
  return readBodyText(body, BODY_BOUNDS, systemClock());
}

/**
 * Reads a JSON file, or standard input if the path is `-`. Throws an error of
 * the given kind if the file cannot be read or is not JSON.
 *
 * @example
 * const record = readJsonFile('booking.json', 'bad-record');
 */
export function readJsonFile(path: string, kind: ErrorKind): unknown {
  return parseJson(readText(path, kind), kind, path);
}

function readText(path: string, kind: ErrorKind): string {
  try {
    return readFileSync(path === '-' ? 0 : path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ServingError(kind, `cannot read ${path}: ${reason}`, {
      cause: error,
    });
  }
}

/** Maximum length of an unrecognized error body in an error message. */
const MAX_SHOWN_CHARACTERS = 300;

/** A complete HTTP response of an entry or stand-in. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/**
 * Sends an HTTP request, with `key` as bearer token if present. Throws
 * `endpoint-unavailable` if there is no response.
 *
 * @example
 * const response = await sendHttpRequest('http://127.0.0.1:9000/dump', {key});
 */
export async function sendHttpRequest(
  url: string,
  options: {
    readonly key?: string | undefined;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | undefined;
  },
): Promise<HttpResponse> {
  try {
    const response = await request(url, {
      method: (options.method ?? 'GET') as 'GET',
      headers: {
        ...options.headers,
        ...(options.key === undefined
          ? {}
          : {authorization: `Bearer ${options.key}`}),
      },
      body: options.body ?? null,
      headersTimeout: RESPONSE_TIMEOUT_MS,
    });
    const text = await readBody(response.body);
    return {status: response.statusCode, headers: response.headers, text};
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ServingError(
      'endpoint-unavailable',
      `no answer from ${new URL(url).origin}: ${reason}`,
      {cause: error},
    );
  }
}

/**
 * Sends a request and parses the JSON response; throws if the status is 400 or
 * above.
 *
 * @example
 * const dump = await requestJson('http://127.0.0.1:9000/dump', {key});
 */
export async function requestJson(
  url: string,
  options: Parameters<typeof sendHttpRequest>[1],
): Promise<unknown> {
  const response = await sendHttpRequest(url, options);
  if (response.status < 400) {
    return parseJson(response.text, 'protocol-violation', url);
  }
  throw toResponseError(response);
}

/** Error response body: a problem document of an entry or a stand-in error. */
interface ErrorBody {
  readonly kind: ErrorKind;
  readonly detail?: string;
  readonly message?: string;
  readonly run?: 'not-run' | 'may-have-run';
}

/**
 * Converts an error response to an error of the kind named in the body.
 *
 * @example
 * if (response.status >= 400) { throw toResponseError(response); }
 */
export function toResponseError(response: HttpResponse): ServingError {
  const body = parseErrorBody(response.text);
  if (body === undefined) {
    return new ServingError(
      'protocol-violation',
      `status ${response.status}: ${response.text.slice(0, MAX_SHOWN_CHARACTERS)}`,
    );
  }
  const run = body.run ?? 'not-run';
  const reason = body.detail ?? body.message ?? '';
  return new ServingError(body.kind, `${reason} (${run})`, {run});
}

function parseErrorBody(text: string): ErrorBody | undefined {
  try {
    const body = JSON.parse(text) as ErrorBody;
    return body.kind in errorResponses ? body : undefined;
  } catch {
    return undefined;
  }
}
