/** Faults that can be injected into the platform stand-in. */
import * as z from 'zod';

/** Body of `POST /control/faults`; absent fields keep their values. */
export const platformFaultsSchema = z
  .object({
    /** Calls are rejected with 503; open watches are closed. */
    isDown: z.boolean(),
    /** Latency of the object API; a write takes effect after half of it. */
    delayMs: z.number().nonnegative(),
    /** Number of upcoming writes that take effect but get no response. */
    repliesToLose: z.number().int().nonnegative(),
    /** Open watches and new watches are closed. */
    isRejectingWatches: z.boolean(),
    /** Watches stay open but deliver no events. */
    isSilent: z.boolean(),
    /** Number of upcoming host starts that are rejected. */
    startsToRefuse: z.number().int().nonnegative(),
    /** Delay until readers of the host list see a change. */
    listLagMs: z.number().nonnegative(),
    /** Calls per second above which the object API responds with 429. */
    callsPerSecond: z.number().positive(),
    /** Weight loads per second that the weight store grants. */
    loadsPerSecond: z.number().positive(),
    /** Time from the request to start a host until the host runs. */
    startMs: z.number().nonnegative(),
  })
  .partial()
  .strict();

/** Current values of all fault settings. */
export type PlatformFaults = Required<z.output<typeof platformFaultsSchema>>;

/**
 * Returns the fault settings of a healthy platform of typical size.
 *
 * @example
 * const faults = {...createPlatformFaults(), listLagMs: 5000};
 */
export function createPlatformFaults(): PlatformFaults {
  return {
    isDown: false,
    delayMs: 0,
    repliesToLose: 0,
    isRejectingWatches: false,
    isSilent: false,
    startsToRefuse: 0,
    listLagMs: 0,
    callsPerSecond: 2500,
    loadsPerSecond: 2,
    startMs: 200,
  };
}
