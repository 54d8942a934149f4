/** The two schema versions of customer records. */
import * as z from 'zod';
import type {Customer} from '../contracts.js';
import {keyHashField, nameField, urgencyField, weightField} from './fields.js';
import {createConversion, type Conversions} from './conversion.js';

const DEFAULT_URGENCY = 3;

const schemaV1 = z.strictObject({
  schema: z.literal(1),
  keyHashes: z.array(keyHashField).min(1),
  bestUrgency: urgencyField.default(DEFAULT_URGENCY),
  weight: weightField.default(1),
  services: z.array(nameField).default([]),
});

/**
 * In version 2 a key may have a note, and access to all services is granted
 * explicitly.
 */
const schemaV2 = z.strictObject({
  schema: z.literal(2),
  keys: z
    .array(
      z.strictObject({
        sha256: keyHashField,
        note: z.string().max(200).optional(),
      }),
    )
    .min(1),
  priority: z
    .strictObject({
      bestUrgency: urgencyField.default(DEFAULT_URGENCY),
      weight: weightField.default(1),
    })
    .default({bestUrgency: DEFAULT_URGENCY, weight: 1}),
  allow: z.union([z.literal('all'), z.array(nameField).min(1)]),
});

/** Conversions from each schema version to the accepted form. */
export const customerConversions: Conversions<Customer> = {
  1: createConversion(schemaV1, (name, record) => ({
    name,
    keyHashes: record.keyHashes,
    bestUrgency: record.bestUrgency,
    weight: record.weight,
    services: record.services,
  })),
  2: createConversion(schemaV2, (name, record) => ({
    name,
    keyHashes: record.keys.map(key => key.sha256),
    bestUrgency: record.priority.bestUrgency,
    weight: record.priority.weight,
    services: record.allow === 'all' ? [] : record.allow,
  })),
};
