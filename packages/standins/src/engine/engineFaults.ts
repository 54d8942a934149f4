/** Faults that an engine stand-in can be switched to show. */
import type {GenerationEvent} from '@skylarkfield/endpoints';

export type EngineFaultType =
  | 'down'
  | 'pause'
  | 'fail'
  | 'slow'
  | 'cut'
  | 'cross'
  | 'double'
  | 'gap'
  | 'truncate'
  | 'late';

/** One fault and when it shows; every condition given has to hold. */
export interface EngineFault {
  readonly type: EngineFaultType;
  /** Tokens before a cut, gap, double, cross or truncation; factor of slowness; milliseconds of lateness. */
  readonly amount?: number;
  /** Share of requests that it hits, 1 when not given. */
  readonly probability?: number;
  /** Only while the engine runs this version. */
  readonly version?: string;
  /** Only while at least so many requests run. */
  readonly minRunning?: number;
  /** Only after so many requests have been taken. */
  readonly afterRequests?: number;
}

/** What of an engine's state decides whether a fault shows. */
export interface FaultContext {
  readonly version: string;
  readonly running: number;
  readonly requests: number;
}

/**
 * Tells whether a fault's conditions hold; its probability is left to the caller.
 *
 * @example
 * faults.filter(fault => faultApplies(fault, {version, running, requests}));
 */
export function faultApplies(
  fault: EngineFault,
  context: FaultContext,
): boolean {
  if (fault.version !== undefined && fault.version !== context.version) {
    return false;
  }
  if (context.running < (fault.minRunning ?? 0)) {
    return false;
  }
  return context.requests >= (fault.afterRequests ?? 0);
}

/** What becomes of one event under a fault. */
export interface MangledEvents {
  readonly events: readonly GenerationEvent[];
  /** The stream breaks after these events. */
  readonly isCut?: boolean;
}

type TokenEvent = GenerationEvent & {readonly type: 'token'};

/** Handlers by fault; `position` counts the tokens that this attempt has sent. */
const tokenMangling: Partial<
  Record<
    EngineFaultType,
    (event: TokenEvent, position: number, amount: number) => MangledEvents
  >
> = {
  cut: (event, position, amount) =>
    position < amount ? {events: [event]} : {events: [], isCut: true},
  double: (event, position, amount) => ({
    events: position === amount ? [event, event] : [event],
  }),
  gap: (event, position, amount) => ({
    events: position === amount ? [] : [event],
  }),
  cross: (event, position, amount) => ({
    events:
      position === amount
        ? [{...event, attempt: `other-${event.attempt}`, text: ' crossed'}]
        : [event],
  }),
  truncate: (event, position, amount) => ({
    events: position < amount ? [event] : [],
  }),
};

/**
 * Applies a fault to one event of a stream.
 *
 * @example
 * const {events, isCut} = mangle(event, position, fault);
 */
export function mangle(
  event: GenerationEvent,
  position: number,
  fault: EngineFault,
): MangledEvents {
  const handler = tokenMangling[fault.type];
  if (event.type !== 'token' || handler === undefined) {
    return {events: [event]};
  }
  return handler(event, position, fault.amount ?? 1);
}
