/** Checks of what engines send, by hand on the path of tokens and with zod elsewhere. */
import {ServingError} from '@skylarkfield/base';
import * as z from 'zod';
import type {GenerationEvent} from './contracts.js';

const count = z.number().int().nonnegative();

export const loadReportShape = z.object({
  sequence: count,
  running: count,
  waiting: count,
  slots: count,
  waitingPromptTokens: count,
  cacheUse: z.number().min(0).max(1),
  attempts: z.array(z.string()).optional(),
});

export const cacheEventsShape = z.array(
  z.object({
    sequence: count,
    type: z.enum(['stored', 'evicted', 'cleared']),
    blocks: z.array(z.string()),
  }),
);

export const cacheExportShape = z.object({
  handle: z.string().min(1),
  tokens: count,
  bytes: count,
});

export const runningShape = z.object({
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

/** The answer of an engine that refuses; kinds it may use are those below. */
export const refusalShape = z.object({
  kind: z.enum([
    'bad-request',
    'overloaded',
    'fenced',
    'deadline-exceeded',
    'not-found',
    'endpoint-failed',
    'leaving',
  ]),
  title: z.string(),
});

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Checks by event type; tokens come tens of thousands a second, so no schema library here. */
const eventChecks: Record<string, (event: Record<string, unknown>) => boolean> =
  {
    start: event => isCount(event.promptTokens) && isCount(event.cachedTokens),
    token: event => isCount(event.index) && typeof event.text === 'string',
    end: event =>
      (event.reason === 'stop' || event.reason === 'length') &&
      isCount(event.promptTokens) &&
      isCount(event.cachedTokens) &&
      isCount(event.generatedTokens),
  };

/**
 * Parses the data of one server-sent event of an answer.
 * Throws `protocol-violation` when it is none of the known events.
 *
 * @example
 * const event = parseGenerationEvent(message.data);
 */
export function parseGenerationEvent(data: string): GenerationEvent {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch (error) {
    throw new ServingError('protocol-violation', 'an event is not JSON', {
      cause: error,
    });
  }
  if (typeof value !== 'object' || value === null) {
    throw new ServingError('protocol-violation', 'an event is no object');
  }
  const event = value as Record<string, unknown>;
  const check = Object.hasOwn(eventChecks, String(event.type))
    ? eventChecks[String(event.type)]
    : undefined;
  if (typeof event.attempt !== 'string' || !check?.(event)) {
    throw new ServingError('protocol-violation', 'an event is malformed');
  }
  return value as GenerationEvent;
}
