/** Faults that can be injected into an engine stand-in. */
import type {GenerationEvent} from '@skylarkfield/endpoints';

/**
 * `down`: refuses connections; `pause`: accepts requests but does no work;
 * `fail`: rejects requests; `slow`: longer steps; `late`: delayed events;
 * `cut`: ends the stream; `truncate`: drops all further tokens; `gap`: drops a
 * token; `double`: repeats a token; `cross`: sends a token of another attempt.
 */
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

/** A fault and its conditions, all of which must hold. */
export interface EngineFault {
  readonly type: EngineFaultType;
  /**
   * Tokens before `cut`, `gap`, `double`, `cross` or `truncate` takes effect;
   * step time factor of `slow`; milliseconds of `late`.
   */
  readonly amount?: number;
  /** Probability that a request is affected, 1 by default. */
  readonly probability?: number;
  /** Active only while the engine runs this version. */
  readonly version?: string;
  /** Active only while at least this many requests are queued or running. */
  readonly minRunning?: number;
  /** Active only once this many requests were submitted. */
  readonly afterRequests?: number;
}

/** State for the conditions of a fault; `running` includes queued requests. */
export interface FaultContext {
  readonly version: string;
  readonly running: number;
  readonly requests: number;
}

/**
 * Returns whether the conditions of a fault hold, apart from its probability.
 *
 * @example
 * faults.filter(fault => isFaultActive(fault, {version, running, requests}));
 */
export function isFaultActive(
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

/** Events that a fault sends in place of one event. */
export interface FaultedEvents {
  readonly events: readonly GenerationEvent[];
  /** Whether the stream is cut after these events. */
  readonly isCut?: boolean;
}

type TokenEvent = GenerationEvent & {readonly type: 'token'};

/** Handlers by fault type; `position` is the number of tokens already sent. */
const tokenFaultHandlers: Partial<
  Record<
    EngineFaultType,
    (event: TokenEvent, position: number, amount: number) => FaultedEvents
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
 * const {events, isCut} = applyFault(event, position, fault);
 */
export function applyFault(
  event: GenerationEvent,
  position: number,
  fault: EngineFault,
): FaultedEvents {
  const handler = tokenFaultHandlers[fault.type];
  if (event.type !== 'token' || handler === undefined) {
    return {events: [event]};
  }
  return handler(event, position, fault.amount ?? 1);
}
