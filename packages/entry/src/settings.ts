/** Settings of an entry process: schema, defaults and loading. */
import {readFileSync} from 'node:fs';
import {validateShape, parseJson, ServingError} from '@skylarkfield/base';
import * as z from 'zod';

const port = z.number().int().min(0).max(65_535);
const milliseconds = z.number().int().min(1).max(3_600_000);

const tls = z.strictObject({
  /** Path of the certificate chain, PEM. */
  cert: z.string().min(1),
  /** Path of the private key, PEM. */
  key: z.string().min(1),
  /** Path of the trusted certificate authorities of peers, PEM. */
  ca: z.string().min(1).optional(),
});

const listener = z.strictObject({
  host: z.string().min(1).default('127.0.0.1'),
  /** 0 selects a free port. */
  port,
  tls: tls.optional(),
});

/** Secret: inline, or a reference that keeps it out of the settings file. */
const secret = z.union([
  z.strictObject({env: z.string().min(1)}),
  z.strictObject({file: z.string().min(1)}),
  z.strictObject({value: z.string().min(8)}),
]);

const limits = z.strictObject({
  /** Maximum size of a request body, in bytes. */
  bodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
  /**
   * Memory for the bodies of all requests in progress, in bytes, beyond the first
   * 8 KiB of each; at least four times `bodyBytes`.
   */
  allBodiesBytes: z
    .number()
    .int()
    .min(1024)
    .max(1_099_511_627_776)
    .default(33_554_432),
  /** Maximum size of the request headers, in bytes. */
  headerBytes: z.number().int().min(1024).max(1_048_576).default(16_384),
  /** Maximum number of open connections per HTTP port. */
  connections: z.number().int().min(1).max(1_000_000).default(10_000),
  /** Timeout for receiving the request headers, in milliseconds. */
  headerMs: milliseconds.default(10_000),
  /** Timeout for receiving a whole request, in milliseconds. */
  requestMs: milliseconds.default(30_000),
  /** Bytes buffered for a slow caller before backpressure applies. */
  bufferedBytes: z.number().int().min(1024).max(16_777_216).default(262_144),
  /** Time within which a slow caller must drain the buffer, in milliseconds. */
  stalledReaderMs: milliseconds.default(30_000),
});

/** Schema of an entry's settings; unknown keys are rejected. */
export const entrySettingsSchema = z.strictObject({
  /** Unique among entries; a restarted process may reuse its id. */
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    message: 'lower-case letters, digits and hyphens, at most 63',
  }),
  failureDomain: z.string().min(1),
  region: z.string().min(1).default('default'),
  callers: listener,
  inner: listener,
  admin: listener,
  /** URLs given to other processes, if not those of the listen addresses. */
  advertised: z
    .strictObject({
      callers: z.url().optional(),
      inner: z.url().optional(),
    })
    .prefault({}),
  platform: z.strictObject({
    url: z.url(),
    /**
     * Maximum calls to the platform per second by all entries together,
     * long-polled watches included.
     */
    callsPerSecond: z.number().min(1).max(100_000).default(400),
    /** Timeout of one call to the platform, in milliseconds. */
    timeoutMs: milliseconds.default(2_000),
  }),
  /** URLs of peers' inner ports, for startup without a reachable platform. */
  seeds: z.array(z.url()).default([]),
  keys: z.strictObject({inner: secret, admin: secret}),
  limits: limits.prefault({}),
  /** Time for requests in flight to end in a graceful stop, in milliseconds. */
  drainMs: milliseconds.default(30_000),
  /**
   * Time that a stopping entry keeps accepting requests after notifying its
   * peers, in milliseconds, to serve callers with an outdated lookup result.
   */
  lingerMs: z.number().int().min(0).max(60_000).default(1_000),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error', 'silent'])
        .default('info'),
    })
    .prefault({}),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type ListenerSettings = EntrySettings['callers'];
export type Secret = EntrySettings['keys']['inner'];

/**
 * Validates settings and applies defaults. Throws `bad-settings` with all
 * faults.
 *
 * @example
 * const settings = validateEntrySettings(JSON.parse(text));
 */
export function validateEntrySettings(value: unknown): EntrySettings {
  return validateShape(entrySettingsSchema, value, 'bad-settings', 'settings');
}

/**
 * Reads and validates a settings file. Throws `bad-settings` when the file
 * can't be read or its content is invalid.
 *
 * @example
 * const settings = readEntrySettings('entry-a1.json');
 */
export function readEntrySettings(path: string): EntrySettings {
  const text = readTextFile(path);
  return validateEntrySettings(parseJson(text, 'bad-settings', path));
}

/**
 * Resolves a secret; `path` names the setting in errors. Throws `bad-settings`
 * when the secret is missing or too short.
 *
 * @example
 * const key = resolveSecret(settings.keys.inner, 'keys.inner');
 */
export function resolveSecret(secretSetting: Secret, path: string): string {
  const text = readSecret(secretSetting).trim();
  if (text.length >= 8) {
    return text;
  }
  const expected = 'a secret of at least 8 characters';
  throw new ServingError('bad-settings', `${path}: ${expected}`, {
    faults: [{path, expected}],
  });
}

function readSecret(secretSetting: Secret): string {
  if ('env' in secretSetting) {
    return process.env[secretSetting.env] ?? '';
  }
  if ('file' in secretSetting) {
    return readTextFile(secretSetting.file);
  }
  return secretSetting.value;
}

function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ServingError('bad-settings', `cannot read ${path}: ${reason}`, {
      faults: [{path, expected: 'a readable file'}],
      cause: error,
    });
  }
}
