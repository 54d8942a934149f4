/** JSON files and HTTP answers that commands read. */
import {readFileSync} from 'node:fs';
import {
  errorAnswers,
  parseJson,
  ServingError,
  type ErrorKind,
} from '@skylarkfield/base';
import {request} from 'undici';

/** Time that a process has to answer a command, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;

/**
 * Reads a JSON file, or standard input for `-`. Throws an error of the given kind.
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

/** Characters of an answer that is no problem which are shown. */
const SHOWN_CHARACTERS = 300;

/** An answer of an entry's HTTP port. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}

/**
 * Calls an HTTP address with a bearer key. Throws `endpoint-unavailable` when
 * there is no answer.
 *
 * @example
 * const answer = await callHttp('http://127.0.0.1:9000/dump', {key});
 */
export async function callHttp(
  url: string,
  options: {
    readonly key?: string | undefined;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | undefined;
  },
): Promise<HttpAnswer> {
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
      headersTimeout: ANSWER_TIMEOUT_MS,
    });
    const text = await response.body.text();
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
 * Like `callHttp` for JSON answers; turns a problem answer into its error.
 *
 * @example
 * const dump = await callForJson('http://127.0.0.1:9000/dump', {key});
 */
export async function callForJson(
  url: string,
  options: Parameters<typeof callHttp>[1],
): Promise<unknown> {
  const answer = await callHttp(url, options);
  if (answer.status < 400) {
    return parseJson(answer.text, 'protocol-violation', url);
  }
  throw toAnsweredError(answer);
}

/** What refusals look like: problems of entries, plain errors of stand-ins. */
interface Refusal {
  readonly kind: ErrorKind;
  readonly detail?: string;
  readonly message?: string;
  readonly run?: 'not-run' | 'may-have-run';
}

/**
 * The error that a refusing answer stands for.
 *
 * @example
 * if (answer.status >= 400) { throw toAnsweredError(answer); }
 */
export function toAnsweredError(answer: HttpAnswer): ServingError {
  const refusal = parseRefusal(answer.text);
  if (refusal === undefined) {
    return new ServingError(
      'protocol-violation',
      `status ${answer.status}: ${answer.text.slice(0, SHOWN_CHARACTERS)}`,
    );
  }
  const run = refusal.run ?? 'not-run';
  const reason = refusal.detail ?? refusal.message ?? '';
  return new ServingError(refusal.kind, `${reason} (${run})`, {run});
}

function parseRefusal(text: string): Refusal | undefined {
  try {
    const refusal = JSON.parse(text) as Refusal;
    return refusal.kind in errorAnswers ? refusal : undefined;
  } catch {
    return undefined;
  }
}
