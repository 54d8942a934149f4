/**
 * Schemas of accepted records as they are stored and relayed.
 *
 * Unknown fields are dropped rather than rejected: during a rolling restart a
 * newer release accepts records with fields that this release lacks.
 */
import {isServingError, validateShape} from '@skylarkfield/base';
import type {RelayedRecord} from '@skylarkfield/protocol';
import * as z from 'zod';
import type {AcceptedRecordTypes, RecordKind} from './contracts.js';

/** Value of a stored accepted object, whose name is the record key. */
export interface AcceptedObject {
  readonly sourceVersion: number;
  readonly isRemoved: boolean;
  readonly value?: unknown;
}

const customerSchema = z.object({
  name: z.string(),
  keyHashes: z.array(z.string()),
  bestUrgency: z.number(),
  weight: z.number(),
  services: z.array(z.string()),
}) satisfies z.ZodType<AcceptedRecordTypes['customer']>;

const serviceSchema = z.object({
  name: z.string(),
  type: z.enum(['model', 'plain']),
  version: z.string(),
  routes: z.array(
    z.object({
      method: z.string(),
      pathPrefix: z.string(),
      isIdempotent: z.boolean(),
    }),
  ),
  targetMs: z.number(),
  timeoutMs: z.number(),
  concurrency: z.number(),
  queue: z.number(),
  fleet: z.object({
    minReplicas: z.number(),
    maxReplicas: z.number(),
    machineClass: z.string(),
    weights: z.string(),
  }),
}) satisfies z.ZodType<AcceptedRecordTypes['service']>;

const moveSchema = z.object({
  name: z.string(),
  service: z.string(),
  from: z.string(),
  to: z.string(),
  deadline: z.number(),
  maxUnprovenShare: z.number(),
}) satisfies z.ZodType<AcceptedRecordTypes['move']>;

const endpointClassSchema = z.object({
  name: z.string(),
  checksFencing: z.boolean(),
}) satisfies z.ZodType<AcceptedRecordTypes['endpoint-class']>;

const acceptedSchemasByKind: Readonly<Record<RecordKind, z.ZodType>> = {
  customer: customerSchema,
  service: serviceSchema,
  move: moveSchema,
  'endpoint-class': endpointClassSchema,
};

/** A map, as stored records may be of any kind. */
const acceptedSchemas: ReadonlyMap<string, z.ZodType> = new Map(
  Object.entries(acceptedSchemasByKind),
);

const acceptedObjectSchema = z.object({
  sourceVersion: z.number(),
  isRemoved: z.boolean(),
  value: z.unknown().optional(),
});

/**
 * Parses a stored accepted object; undefined if this release cannot use it.
 *
 * @example
 * const record = parseAcceptedRecord(object.name, object.value);
 */
export function parseAcceptedRecord(
  key: string,
  value: unknown,
): RelayedRecord | undefined {
  const separator = key.indexOf('.');
  const accepted = acceptedObjectSchema.safeParse(value);
  if (separator < 0 || !accepted.success) {
    return undefined;
  }
  const {sourceVersion, isRemoved} = accepted.data;
  return parseRelayedRecord({
    kind: key.slice(0, separator),
    name: key.slice(separator + 1),
    sourceVersion,
    isRemoved,
    value: accepted.data.value,
  });
}

/**
 * Validates a record from a peer; undefined if this release cannot use it.
 *
 * @example
 * const records = body.records.map(parseRelayedRecord);
 */
export function parseRelayedRecord(
  record: RelayedRecord,
): RelayedRecord | undefined {
  const schema = acceptedSchemas.get(record.kind);
  if (schema === undefined || !Number.isSafeInteger(record.sourceVersion)) {
    return undefined;
  }
  const {kind, name, sourceVersion, isRemoved} = record;
  if (isRemoved) {
    return {kind, name, sourceVersion, isRemoved: true};
  }
  try {
    const value = validateShape(schema, record.value, 'bad-record');
    return {kind, name, sourceVersion, isRemoved: false, value};
  } catch (error) {
    if (isServingError(error, 'bad-record')) {
      return undefined;
    }
    throw error;
  }
}
