/**
 * The accepted form as it is stored and relayed.
 *
 * Unknown fields are dropped and not refused: during a rolling restart a newer
 * release accepts records with fields that this one does not know yet.
 */
import {isServingError, checkShape} from '@skylarkfield/base';
import type {RelayedRecord} from '@skylarkfield/protocol';
import * as z from 'zod';
import type {AcceptedRecords, RecordKind} from './contracts.js';

/** What an accepted object holds; its name is the record's key. */
export interface AcceptedObject {
  readonly sourceVersion: number;
  readonly isRemoved: boolean;
  readonly value?: unknown;
}

const customer = z.object({
  name: z.string(),
  keyHashes: z.array(z.string()),
  bestUrgency: z.number(),
  weight: z.number(),
  services: z.array(z.string()),
}) satisfies z.ZodType<AcceptedRecords['customer']>;

const service = z.object({
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
}) satisfies z.ZodType<AcceptedRecords['service']>;

const move = z.object({
  name: z.string(),
  service: z.string(),
  from: z.string(),
  to: z.string(),
  deadline: z.number(),
  maxUnprovenShare: z.number(),
}) satisfies z.ZodType<AcceptedRecords['move']>;

const endpointClass = z.object({
  name: z.string(),
  checksFencing: z.boolean(),
}) satisfies z.ZodType<AcceptedRecords['endpoint-class']>;

const shapes: Readonly<Record<RecordKind, z.ZodType>> = {
  customer,
  service,
  move,
  'endpoint-class': endpointClass,
};

const acceptedObject = z.object({
  sourceVersion: z.number(),
  isRemoved: z.boolean(),
  value: z.unknown().optional(),
});

/**
 * Reads an accepted object; undefined when this release cannot use it.
 *
 * @example
 * const record = readAccepted(object.name, object.value);
 */
export function readAccepted(
  key: string,
  value: unknown,
): RelayedRecord | undefined {
  const dot = key.indexOf('.');
  const accepted = acceptedObject.safeParse(value);
  if (dot < 0 || !accepted.success) {
    return undefined;
  }
  const {sourceVersion, isRemoved} = accepted.data;
  return checkRelayed({
    kind: key.slice(0, dot),
    name: key.slice(dot + 1),
    sourceVersion,
    isRemoved,
    value: accepted.data.value,
  });
}

/**
 * Checks a record that a peer has relayed; undefined when this release cannot use it.
 *
 * @example
 * const usable = body.records.map(checkRelayed).filter(record => record !== undefined);
 */
export function checkRelayed(record: RelayedRecord): RelayedRecord | undefined {
  const shape = shapes[record.kind as RecordKind];
  if (shape === undefined || !Number.isSafeInteger(record.sourceVersion)) {
    return undefined;
  }
  const {kind, name, sourceVersion, isRemoved} = record;
  if (isRemoved) {
    return {kind, name, sourceVersion, isRemoved: true};
  }
  try {
    const value = checkShape(shape, record.value, 'bad-record');
    return {kind, name, sourceVersion, isRemoved: false, value};
  } catch (error) {
    if (isServingError(error, 'bad-record')) {
      return undefined;
    }
    throw error;
  }
}
