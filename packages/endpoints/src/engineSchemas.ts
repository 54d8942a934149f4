/** Validation of engine responses: events by hand, other responses by zod. */
import {ServingError} from '@skylarkfield/base';
import * as z from 'zod';
import type {GenerationEvent} from './contracts.js';

const nonNegativeInteger = z.number().int().nonnegative();

export const loadReportSchema = z.object({
  sequence: nonNegativeInteger,
  running: nonNegativeInteger,
  waiting: nonNegativeInteger,
  slots: nonNegativeInteger,
  waitingPromptTokens: nonNegativeInteger,
  cacheUse: z.number().min(0).max(1),
  attempts: z.array(z.string()).optional(),
});

export const cacheEventsSchema = z.array(
  z.object({
    sequence: nonNegativeInteger,
    type: z.enum(['stored', 'evicted', 'cleared']),
    blocks: z.array(z.string()),
  }),
);

export const cacheExportSchema = z.object({
  handle: z.string().min(1),
  tokens: nonNegativeInteger,
  bytes: nonNegativeInteger,
});

export const runningStateSchema = z.object({
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

/** Error response of an engine, with the error kinds that it may use. */
export const errorResponseSchema = z.object({
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

function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Hand-written: zod is too slow for tens of thousands of tokens a second. */
const eventValidators: Record<
  string,
  (event: Record<string, unknown>) => boolean
> = {
  start: event =>
    isNonNegativeInteger(event.promptTokens) &&
    isNonNegativeInteger(event.cachedTokens),
  token: event =>
    isNonNegativeInteger(event.index) && typeof event.text === 'string',
  end: event =>
    (event.reason === 'stop' || event.reason === 'length') &&
    isNonNegativeInteger(event.promptTokens) &&
    isNonNegativeInteger(event.cachedTokens) &&
    isNonNegativeInteger(event.generatedTokens),
};

/**
 * Parses the data of one server-sent event of an answer.
 * Throws `protocol-violation` unless it is a valid generation event.
 *
 * @example
 * const event = parseGenerationEvent(message.data);
 */
export function parseGenerationEvent(data: string): GenerationEvent {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch (error) {
    throw new ServingError('protocol-violation', 'event data is not JSON', {
      cause: error,
    });
  }
  if (typeof value !== 'object' || value === null) {
    throw new ServingError('protocol-violation', 'event data is not an object');
  }
  const event = value as Record<string, unknown>;
  const validator = Object.hasOwn(eventValidators, String(event.type))
    ? eventValidators[String(event.type)]
    : undefined;
  if (typeof event.attempt !== 'string' || !validator?.(event)) {
    throw new ServingError(
      'protocol-violation',
      'event has an unknown type or invalid fields',
    );
  }
  return value as GenerationEvent;
}
