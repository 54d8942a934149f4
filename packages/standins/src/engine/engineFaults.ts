/** Faults that can be injected into an engine stand-in. */
import type {GenerationEvent} from '@skylarkfield/endpoints';

/**
 * `down`: refuses connections; `pause`: accepts requests but does no work;
 * `fail`: rejects requests; `slow`: lengthens steps; `late`: delays events;
 * `cut`: ends the stream without an end event; `truncate`: drops all further
 * tokens; `gap`: drops one token; `double`: sends one token twice; `cross`:
 * replaces one token by a token of another attempt.
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

/** A fault that is active only while all its conditions hold. */
export interface EngineFault {
  readonly type: EngineFaultType;
  /**
   * Number of tokens sent before `cut`, `gap`, `double`, `cross` or `truncate`
   * takes effect. For `slow`, the factor by which steps take longer. For
   * `late`, the delay of each event in milliseconds.
   */
  readonly amount?: number;
  /** Probability that a request is affected, 1 by default. */
  readonly probability?: number;
  /** Active only while the engine runs this version. */
  readonly version?: string;
  /** Active only while at least this many requests are queued or running. */
  readonly minRunning?: number;
  /** Active only once the engine has received this many requests. */
  readonly afterRequests?: number;
}

/**
 * Engine state that decides whether a fault is active: version, queued and
 * running requests (`running`), requests received so far (`requests`).
 */
export interface FaultContext {
  readonly version: string;
  readonly running: number;
  readonly requests: number;
}

/**
 * Returns whether the conditions of a fault hold, ignoring its probability.
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
export interface FaultResult {
  readonly events: readonly GenerationEvent[];
  /** Whether the stream is cut after these events. */
  readonly isCut?: boolean;
}

type TokenEvent = GenerationEvent & {readonly type: 'token'};

/** Handlers by fault type; `tokensBefore` counts the tokens already sent. */
const tokenFaultHandlers: Partial<
  Record<
    EngineFaultType,
    (event: TokenEvent, tokensBefore: number, amount: number) => FaultResult
  >
> = {
  cut: (event, tokensBefore, amount) =>
    tokensBefore < amount ? {events: [event]} : {events: [], isCut: true},
  double: (event, tokensBefore, amount) => ({
    events: tokensBefore === amount ? [event, event] : [event],
  }),
  gap: (event, tokensBefore, amount) => ({
    events: tokensBefore === amount ? [] : [event],
  }),
  cross: (event, tokensBefore, amount) => ({
    events:
      tokensBefore === amount
        ? [{...event, attempt: `other-${event.attempt}`, text: ' crossed'}]
        : [event],
  }),
  truncate: (event, tokensBefore, amount) => ({
    events: tokensBefore < amount ? [event] : [],
  }),
};

/**
 * Applies a fault to one event of a stream.
 *
 * @example
 * const {events, isCut} = applyFault(event, tokensBefore, fault);
 */
export function applyFault(
  event: GenerationEvent,
  tokensBefore: number,
  fault: EngineFault,
): FaultResult {
  const handler = tokenFaultHandlers[fault.type];
  if (event.type !== 'token' || handler === undefined) {
    return {events: [event]};
  }
  return handler(event, tokensBefore, fault.amount ?? 1);
}
