/** The two schema versions of move records. */
import * as z from 'zod';
import type {Move} from '../contracts.js';
import {createConversion, type Conversions} from './conversion.js';
import {nameField} from './fields.js';

const DEFAULT_MAX_UNPROVEN_SHARE = 0.05;

const schemaV1 = z
  .strictObject({
    schema: z.literal(1),
    service: nameField,
    from: nameField,
    to: nameField,
    /** Wall-clock milliseconds since 1970. */
    deadline: z.int().positive(),
    maxUnprovenShare: z
      .number()
      .gt(0)
      .max(1)
      .default(DEFAULT_MAX_UNPROVEN_SHARE),
  })
  .refine(record => record.from !== record.to, {
    path: ['to'],
    message: 'a version other than from',
  });

/** Version 2 has the deadline in ISO 8601 and the share in percent. */
const schemaV2 = z
  .strictObject({
    schema: z.literal(2),
    service: nameField,
    versions: z.strictObject({from: nameField, to: nameField}),
    finishBy: z.iso.datetime({offset: true}),
    maxUnprovenPercent: z
      .number()
      .gt(0)
      .max(100)
      .default(DEFAULT_MAX_UNPROVEN_SHARE * 100),
  })
  .refine(({versions}) => versions.from !== versions.to, {
    path: ['versions', 'to'],
    message: 'a version other than from',
  });

/** Conversions from each schema version to the accepted form. */
export const moveConversions: Conversions<Move> = {
  1: createConversion(schemaV1, (name, record) => ({
    name,
    service: record.service,
    from: record.from,
    to: record.to,
    deadline: record.deadline,
    maxUnprovenShare: record.maxUnprovenShare,
  })),
  2: createConversion(schemaV2, (name, record) => ({
    name,
    service: record.service,
    from: record.versions.from,
    to: record.versions.to,
    deadline: Date.parse(record.finishBy),
    maxUnprovenShare: record.maxUnprovenPercent / 100,
  })),
};
