/** Settings of a gateway process: schema, defaults and loading. */
import {readFileSync} from 'node:fs';
import {validateShape, parseJson, ServingError} from '@skylarkfield/base';
import * as z from 'zod';

/** An address in the form `IP:port`; port 0 selects any free port. */
const addressSchema = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/, {message: 'an address like 10.0.0.4:8080'})
  .transform(text => {
    const [host = '', port = ''] = text.split(':');
    return {host, port: Number(port)};
  });

const millisecondsSchema = z.number().int().min(1).max(3_600_000);
const secondsSchema = z.number().min(0.001).max(3_600);

/** Schema of the settings; unknown keys are rejected. */
export const gatewaySettingsSchema = z.strictObject({
  /** Unique among running entries; may be reused after a restart. */
  id: z.string().min(1).max(63),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Listen address for callers' requests. */
  callers: addressSchema,
  /** Listen address for the platform's readiness checks. */
  readiness: addressSchema,
  /** Listen address for callers that look up entries. */
  lookup: addressSchema,
  /** Listen address for connections from other entries. */
  inner: addressSchema,
  /** Listen address for metrics and state dumps. */
  status: addressSchema,
  /** Processor capacity; an entry without this setting counts as one core. */
  processor: z
    .strictObject({
      /** Number of cores; may be a fraction. */
      share: z.number().positive().max(1_024),
      /** Speed of a core relative to the standard core. */
      speed: z.number().positive().max(1_024).default(1),
    })
    .transform(({share, speed}) => ({cores: share * speed}))
    .optional(),
  /**
   * Memory of the machine, in megabytes; a twelfth of it may hold the bodies
   * of requests.
   */
  memoryMb: z.number().min(64).max(1_048_576).default(350),
  /**
   * `IP:port` of the inner ports of other entries, to find the fleet after a
   * start; some may be outdated.
   */
  seeds: z.array(z.string()).default([]),
  platform: z.strictObject({
    /** `IP:port` of the store. */
    store: z.string().min(1),
    /** `IP:port` of the API for orders and usage reports. */
    orders: z.string().min(1),
    /** Calls per second that the platform allows for all entries together. */
    callsPerSecond: z.number().min(1).max(1_000_000),
  }),
  /** Shared secret with which entries authenticate each other. */
  innerKey: z.string().min(8),
  /** Time from the stop request until the process is killed, in seconds. */
  graceSeconds: secondsSchema,
  /**
   * Maximum time for which callers cache the response to a lookup, in seconds.
   */
  lookupSeconds: secondsSchema,
  /**
   * Maximum time for which a revoked key is still accepted, in milliseconds.
   */
  keyRevocationMs: millisecondsSchema,
  /** Length of the quota window of customers, in seconds. */
  quotaWindowSeconds: secondsSchema.default(8),
  /** Length of the window of a usage report, in seconds. */
  usageWindowSeconds: secondsSchema,
  /**
   * Time after a usage window's end during which the window may be reported, in
   * seconds.
   */
  usageLateSeconds: secondsSchema,
  /**
   * Region of each failure domain. Endpoints in other failure domains get no
   * requests that are restricted to regions.
   */
  regions: z.record(z.string(), z.string()).default({}),
  /**
   * Bound of the requests that a warming endpoint receives in one second:
   * `factor` times the rate that it tolerates, plus `slack`.
   */
  warmUpBound: z
    .strictObject({
      factor: z.number().min(1).max(100).default(1),
      slack: z.number().min(0).max(10_000).default(0),
    })
    .prefault({}),
  /** Which services one entry schedules for all entries. */
  scheduling: z
    .strictObject({
      /** Kinds of services that are scheduled. */
      mode: z.enum(['off', 'plain', 'all']).default('all'),
      /** Largest number of slots per endpoint of scheduled services. */
      mostSlots: z.number().int().min(1).max(10_000).default(12),
    })
    .prefault({}),
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
 * Validates settings and fills in defaults. Throws `bad-settings` with a list
 * of all faults.
 *
 * @example
 * const settings = checkGatewaySettings(JSON.parse(text));
 */
export function checkGatewaySettings(value: unknown): GatewaySettings {
  return validateShape(
    gatewaySettingsSchema,
    value,
    'bad-settings',
    'settings',
  );
}

/**
 * Reads and validates a settings file. Throws `bad-settings`.
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
