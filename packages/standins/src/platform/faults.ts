/** The fault switches of the platform stand-in. */
import * as z from 'zod';

/** What `POST /control/faults` takes; only the fields given change. */
export const faultsShape = z
  .object({
    /** Calls are answered 503 without effect, open watches end. */
    isDown: z.boolean(),
    /** Every call takes this long; half before its effect, half after. */
    delayMs: z.number().nonnegative(),
    /** Writes that still take effect but whose replies are lost. */
    repliesToLose: z.number().int().nonnegative(),
    isRejectingWatches: z.boolean(),
    /** Watches stay open but carry nothing any more. */
    isSilent: z.boolean(),
    /** Starts that are still refused. */
    startsToRefuse: z.number().int().nonnegative(),
    /** How far the host list lags behind what is true. */
    listLagMs: z.number().nonnegative(),
    /** Calls a second before the object API answers 429. */
    callsPerSecond: z.number().positive(),
    /** Loads a second that the weight store grants. */
    loadsPerSecond: z.number().positive(),
    /** Time from the start of a host until it runs. */
    startMs: z.number().nonnegative(),
  })
  .partial()
  .strict();

/** All switches, with their values. */
export type Faults = Required<z.output<typeof faultsShape>>;

/**
 * The switches of a healthy platform of the usual size.
 *
 * @example
 * const faults = {...healthy(), listLagMs: 5000};
 */
export function healthy(): Faults {
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
