/** Fields that several record kinds share. */
import * as z from 'zod';

const MAX_NAME_LENGTH = 80;

/** Names of services, versions, classes and the like. */
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

/** RFC 9218 urgency: 0 is the most important. */
export const urgencyField = z.int().min(0).max(7);

export const weightField = z.number().positive().max(1000);
export const countField = z.int().min(0).max(1_000_000);
export const pathField = z.string().startsWith('/').max(500);
export const methodField = z
  .string()
  .regex(/^([A-Z]+|\*)$/, 'an upper-case method or *');

const MS_PER_SECOND = 1000;
const MAX_TIMEOUT_MS = 3_600_000;

/** A time span in milliseconds. */
export const millisField = z.int().positive().max(MAX_TIMEOUT_MS);

/** A time span in seconds, as milliseconds. */
export const secondsField = z
  .number()
  .positive()
  .max(MAX_TIMEOUT_MS / MS_PER_SECOND)
  .transform(seconds => Math.round(seconds * MS_PER_SECOND));
