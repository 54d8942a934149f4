/** The two schema versions of service records. */
import * as z from 'zod';
import type {Service} from '../contracts.js';
import {createConversion, type Conversions} from './conversion.js';
import {
  countField,
  durationMsField,
  durationSecondsField,
  methodField,
  nameField,
  pathField,
} from './fields.js';

const DEFAULT_CONCURRENCY = 64;
const DEFAULT_QUEUE_LENGTH = 128;
const serviceTypeField = z.enum(['model', 'plain']);

const schemaV1 = z
  .strictObject({
    schema: z.literal(1),
    type: serviceTypeField,
    version: nameField,
    routes: z
      .array(
        z.strictObject({
          method: methodField,
          pathPrefix: pathField,
          idempotent: z.boolean(),
        }),
      )
      .default([]),
    targetMs: durationMsField,
    timeoutMs: durationMsField,
    concurrency: countField.min(1).default(DEFAULT_CONCURRENCY),
    queue: countField.default(DEFAULT_QUEUE_LENGTH),
    minReplicas: countField.default(0),
    maxReplicas: countField.default(0),
    machineClass: z.string().max(80).default(''),
    weights: z.string().max(200).default(''),
  })
  .refine(record => record.timeoutMs >= record.targetMs, {
    path: ['timeoutMs'],
    message: 'at least targetMs',
  })
  .refine(record => record.maxReplicas >= record.minReplicas, {
    path: ['maxReplicas'],
    message: 'at least minReplicas',
  });

/**
 * Version 2 groups fields by concern; durations are in seconds and routes are
 * strings.
 */
const schemaV2 = z
  .strictObject({
    schema: z.literal(2),
    type: serviceTypeField,
    version: nameField,
    routes: z
      .array(
        z.strictObject({
          match: z
            .string()
            .regex(
              /^([A-Z]+|\*) \/\S*$/,
              'a method or *, a space and a path prefix, like POST /bookings',
            ),
          repeatable: z.boolean(),
        }),
      )
      .default([]),
    latency: z.strictObject({
      targetSeconds: durationSecondsField,
      timeoutSeconds: durationSecondsField,
    }),
    limits: z
      .strictObject({
        concurrency: countField.min(1).default(DEFAULT_CONCURRENCY),
        queue: countField.default(DEFAULT_QUEUE_LENGTH),
      })
      .default({concurrency: DEFAULT_CONCURRENCY, queue: DEFAULT_QUEUE_LENGTH}),
    fleet: z
      .strictObject({
        replicas: z.strictObject({min: countField, max: countField}),
        machineClass: z.string().max(80),
        weights: z.string().max(200).default(''),
      })
      .default({replicas: {min: 0, max: 0}, machineClass: '', weights: ''}),
  })
  .refine(({latency}) => latency.timeoutSeconds >= latency.targetSeconds, {
    path: ['latency', 'timeoutSeconds'],
    message: 'at least targetSeconds',
  })
  .refine(({fleet}) => fleet.replicas.max >= fleet.replicas.min, {
    path: ['fleet', 'replicas', 'max'],
    message: 'at least min',
  });

/** Conversions from each schema version to the accepted form. */
export const serviceConversions: Conversions<Service> = {
  1: createConversion(schemaV1, (name, record) => ({
    name,
    type: record.type,
    version: record.version,
    routes: record.routes.map(route => ({
      method: route.method,
      pathPrefix: route.pathPrefix,
      isIdempotent: route.idempotent,
    })),
    targetMs: record.targetMs,
    timeoutMs: record.timeoutMs,
    concurrency: record.concurrency,
    queue: record.queue,
    fleet: {
      minReplicas: record.minReplicas,
      maxReplicas: record.maxReplicas,
      machineClass: record.machineClass,
      weights: record.weights,
    },
  })),
  2: createConversion(schemaV2, (name, record) => ({
    name,
    type: record.type,
    version: record.version,
    routes: record.routes.map(toRoute),
    targetMs: record.latency.targetSeconds,
    timeoutMs: record.latency.timeoutSeconds,
    concurrency: record.limits.concurrency,
    queue: record.limits.queue,
    fleet: {
      minReplicas: record.fleet.replicas.min,
      maxReplicas: record.fleet.replicas.max,
      machineClass: record.fleet.machineClass,
      weights: record.fleet.weights,
    },
  })),
};

function toRoute(route: {match: string; repeatable: boolean}) {
  const [method = '*', pathPrefix = '/'] = route.match.split(' ');
  return {method, pathPrefix, isIdempotent: route.repeatable};
}
