/** Calls to a trial fleet, with the records and endpoints that they need. */
import type {TrialEndpoint, TrialFleet} from './trialFleet.js';
import {TRIAL_CUSTOMER_KEY} from './trialFleet.js';

/** Headers of every call of the trial customer. */
export const trialHeaders: Readonly<Record<string, string>> = {
  authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`,
  'content-type': 'application/json',
};

/** Records of a model service (schema 2) and a plain service (schema 1). */
export const trialRecords: Readonly<Record<string, unknown>> = {
  match: {
    schema: 2,
    type: 'model',
    version: 'v1',
    latency: {targetSeconds: 1.5, timeoutSeconds: 30},
  },
  booking: {
    schema: 1,
    type: 'plain',
    version: 'v1',
    targetMs: 300,
    timeoutMs: 10_000,
    routes: [
      {method: 'GET', pathPrefix: '/', idempotent: true},
      {method: 'POST', pathPrefix: '/', idempotent: false},
    ],
  },
};

/**
 * Writes the trial records, as an operator would.
 *
 * @example
 * await putTrialRecords(fleet);
 */
export async function putTrialRecords(fleet: TrialFleet): Promise<void> {
  for (const [name, value] of Object.entries(trialRecords)) {
    await fleet.store.put('service', name, value, {type: 'any'});
  }
}

/**
 * Describes a replica of the trial model.
 *
 * @example
 * const endpoints = [trialEngineEndpoint('m1', 'a'), trialEngineEndpoint('m2', 'b')];
 */
export function trialEngineEndpoint(
  id: string,
  failureDomain: string,
): TrialEndpoint {
  return {id, type: 'engine', service: 'match', version: 'v1', failureDomain};
}

/**
 * Describes an endpoint of the trial plain service.
 *
 * @example
 * const endpoints = [trialServiceEndpoint('b1', 'a')];
 */
export function trialServiceEndpoint(
  id: string,
  failureDomain: string,
): TrialEndpoint {
  return {
    id,
    type: 'service',
    service: 'booking',
    version: 'v1',
    failureDomain,
  };
}

/** Streamed answer as received by the caller. */
export interface StreamedAnswer {
  readonly status: number;
  readonly text: string;
  /** Whether the stream ended with `[DONE]`. */
  readonly isComplete: boolean;
  /** Data of the error event; undefined if the stream has none. */
  readonly error: string | undefined;
  readonly usage: Readonly<Record<string, number>> | undefined;
}

/**
 * Streams one chat answer to its end; calls `onToken` with the number of tokens
 * received so far.
 *
 * @example
 * const answer = await streamChat(entry, 'match this oak', 40);
 */
export async function streamChat(
  entryUrl: string,
  content: string,
  maxTokens: number,
  onToken: (count: number) => void = () => {},
): Promise<StreamedAnswer> {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: trialHeaders,
    body: JSON.stringify({
      model: 'match',
      stream: true,
      max_tokens: maxTokens,
      messages: [{role: 'user', content}],
    }),
  });
  let received = '';
  let reportedCount = 0;
  for await (const chunk of response.body ?? []) {
    received += Buffer.from(chunk as Uint8Array).toString('utf8');
    const count = received.split('"content":').length - 1;
    if (count > reportedCount) {
      reportedCount = count;
      onToken(count);
    }
  }
  return parseStream(response.status, received);
}

interface Chunk {
  readonly choices: readonly [{readonly delta: {readonly content?: string}}];
  readonly usage?: Readonly<Record<string, number>>;
}

function parseStream(status: number, received: string): StreamedAnswer {
  const lines = received.split('\n');
  const chunks = lines
    .filter(line => line.startsWith('data: {"id"'))
    .map(line => JSON.parse(line.slice('data: '.length)) as Chunk);
  const errorLine = lines.indexOf('event: error');
  return {
    status,
    text: chunks.map(chunk => chunk.choices[0].delta.content ?? '').join(''),
    isComplete: lines.includes('data: [DONE]'),
    error: errorLine === -1 ? undefined : lines[errorLine + 1],
    usage: chunks.find(chunk => chunk.usage !== undefined)?.usage,
  };
}

/** Reply to an order. */
export interface OrderReply {
  readonly status: number;
  readonly text: string;
  /** Field `run` of an error reply, such as `not-run`; undefined if absent. */
  readonly run: string | undefined;
}

/**
 * Sends one order with an idempotency key.
 *
 * @example
 * const reply = await sendOrder(entry, 'shift-17');
 */
export async function sendOrder(
  entryUrl: string,
  key: string,
): Promise<OrderReply> {
  const response = await fetch(`${entryUrl}/services/booking/bookings`, {
    method: 'POST',
    headers: {...trialHeaders, 'idempotency-key': key},
    body: JSON.stringify({shift: key}),
  });
  const text = await response.text();
  const run = /"run":"([a-z-]+)"/.exec(text)?.[1];
  return {status: response.status, text, run};
}

/**
 * Returns how often the order with each idempotency key has run, summed over
 * the given endpoints.
 *
 * @example
 * (await fetchRunsByKey(fleet, ['b1', 'b2'])).get('shift-17'); // 1
 */
export async function fetchRunsByKey(
  fleet: TrialFleet,
  endpoints: readonly string[],
): Promise<ReadonlyMap<string, number>> {
  const sums = new Map<string, number>();
  for (const id of endpoints) {
    const runs = (await fleet.control(fleet.endpoints.get(id)!, 'runs')) as {
      byKey: Record<string, number>;
    };
    for (const [key, count] of Object.entries(runs.byKey)) {
      sums.set(key, (sums.get(key) ?? 0) + count);
    }
  }
  return sums;
}
