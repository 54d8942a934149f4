/** Schemas of fields that several record kinds share. */
import * as z from 'zod';

const MAX_NAME_LENGTH = 80;

/** Name of a record or of a service version. */
export const nameField = z
  .string()
  .min(1)
  .max(MAX_NAME_LENGTH)
  .regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    'lower-case letters, digits, dot, hyphen and underscore',
  );

/** SHA-256 of a key as lower-case hex. */
export const keyHashField = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'SHA-256 as 64 lower-case hex digits');

/** RFC 9218 urgency; 0 is the highest priority. */
export const urgencyField = z.int().min(0).max(7);

export const weightField = z.number().positive().max(1000);
export const countField = z.int().min(0).max(1_000_000);
export const pathField = z.string().startsWith('/').max(500);
export const methodField = z
  .string()
  .regex(/^([A-Z]+|\*)$/, 'an upper-case method or *');

const MS_PER_SECOND = 1000;
const MAX_DURATION_MS = 3_600_000;

/** Duration in milliseconds. */
export const durationMsField = z.int().positive().max(MAX_DURATION_MS);

/** Duration in seconds, converted to milliseconds. */
export const durationSecondsField = z
  .number()
  .positive()
  .max(MAX_DURATION_MS / MS_PER_SECOND)
  .transform(seconds => Math.round(seconds * MS_PER_SECOND));
