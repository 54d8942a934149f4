/** Faults that can be injected into the platform stand-in. */
import * as z from 'zod';

/** Body of `POST /control/faults`; absent fields keep their values. */
export const platformFaultsSchema = z
  .object({
    /** Calls get 503 without effect; open watches are closed. */
    isDown: z.boolean(),
    /** Latency of every call; for writes half before the effect, half after. */
    delayMs: z.number().nonnegative(),
    /** Number of next writes that take effect but whose responses are lost. */
    repliesToLose: z.number().int().nonnegative(),
    isRejectingWatches: z.boolean(),
    /** Watches stay open but deliver no events. */
    isSilent: z.boolean(),
    /** Number of next host starts that are rejected. */
    startsToRefuse: z.number().int().nonnegative(),
    /** Delay until a change of the host list becomes visible. */
    listLagMs: z.number().nonnegative(),
    /** Calls per second above which the object API responds with 429. */
    callsPerSecond: z.number().positive(),
    /** Weight loads per second that the weight store grants. */
    loadsPerSecond: z.number().positive(),
    /** Time from the start request of a host until it runs. */
    startMs: z.number().nonnegative(),
  })
  .partial()
  .strict();

/** Current value of every fault. */
export type PlatformFaults = Required<z.output<typeof platformFaultsSchema>>;

/**
 * Returns the settings of a healthy platform of typical size.
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
