/** Settings of a gateway process: schema, defaults, and how they are read. */
import {readFileSync} from 'node:fs';
import {checkShape, parseJson, ServingError} from '@skylarkfield/base';
import * as z from 'zod';

/** An address as `IP:port`; port 0 takes any free one. */
const address = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/, {message: 'an address like 10.0.0.4:8080'})
  .transform(text => {
    const [host = '', port = ''] = text.split(':');
    return {host, port: Number(port)};
  });

const milliseconds = z.number().int().min(1).max(3_600_000);
const seconds = z.number().min(0.001).max(3_600);

/** Schema of a gateway's settings; unknown keys are refused. */
export const gatewaySettingsSchema = z.strictObject({
  /** Unique among entries; a restarted process may keep it. */
  id: z.string().min(1).max(63),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Where callers' requests come in. */
  callers: address,
  /** Where the platform asks whether this process is ready. */
  readiness: address,
  /** Where callers ask which entries to use. */
  lookup: address,
  /** Where other entries connect. */
  inner: address,
  /** Where metrics and the state dump are served. */
  status: address,
  /** What this process may use of its host's processor; all entries count as equal where it is left out. */
  processor: z
    .strictObject({
      /** Part of a core. */
      share: z.number().positive().max(1_024),
      /** Speed of a core against the usual one. */
      speed: z.number().positive().max(1_024).default(1),
    })
    .transform(({share, speed}) => ({cores: share * speed}))
    .optional(),
  /** `IP:port` of other entries' inner ports; some may be stale. */
  seeds: z.array(z.string()).default([]),
  platform: z.strictObject({
    /** `IP:port` of the store. */
    store: z.string().min(1),
    /** `IP:port` that takes orders and usage reports. */
    orders: z.string().min(1),
    /** Calls a second that all entries together may make. */
    callsPerSecond: z.number().min(1).max(1_000_000),
  }),
  /** Text that all entries share, by which they know each other. */
  innerKey: z.string().min(8),
  /** Time from a request to stop until the process is killed. */
  graceSeconds: seconds,
  /** The longest that callers keep a lookup's answer. */
  lookupSeconds: seconds,
  /** How long a revoked key may still be served. */
  keyRevocationMs: milliseconds,
  /** Window over which a customer's quota counts. */
  quotaWindowSeconds: seconds.default(8),
  /** Length of a window of the usage reports. */
  usageWindowSeconds: seconds,
  /** How long after its end a window may be reported. */
  usageLateSeconds: seconds,
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error', 'silent'])
        .default('info'),
    })
    .prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
export type Address = GatewaySettings['callers'];

/**
 * Checks settings and fills in defaults. Throws `bad-settings` with every fault.
 *
 * @example
 * const settings = checkGatewaySettings(JSON.parse(text));
 */
export function checkGatewaySettings(value: unknown): GatewaySettings {
  return checkShape(gatewaySettingsSchema, value, 'bad-settings', 'settings');
}

/**
 * Reads and checks a settings file. Throws `bad-settings`.
 *
 * @example
 * const settings = readGatewaySettings('gateway-a1.json');
 */
export function readGatewaySettings(path: string): GatewaySettings {
  return checkGatewaySettings(parseJson(readText(path), 'bad-settings', path));
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new ServingError(
      'bad-settings',
      `cannot read ${path}: ${String(error)}`,
      {
        faults: [{path, expected: 'a readable file'}],
        cause: error,
      },
    );
  }
}
