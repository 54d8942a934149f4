/** Progress of one request over all its attempts. */
import type {StreamRequest} from './contracts.js';
import type {AttemptStateMachine} from './attemptMachine.js';

export interface RequestProgress {
  readonly request: StreamRequest;
  /** Texts of the tokens delivered to the caller. */
  readonly deliveredTokens: string[];
  /** Endpoints that this request must not use, as an attempt failed at them. */
  readonly excludedEndpoints: Set<string>;
  /** Endpoints at which an interrupted stream has already resumed once. */
  readonly resumedEndpoints: Set<string>;
  /** Number of attempts started so far. */
  attemptCount: number;
  /** Number of tokens that were computed again by later attempts. */
  recomputedTokens: number;
  /** True once any byte of the request may have reached an engine. */
  mayHaveRun: boolean;
  /** True once an engine has started to compute the prompt. */
  hasStartedPrefill: boolean;
  /**
   * Endpoint of the attempt that started or delivered last; empty before the
   * first attempt.
   */
  endpoint: string;
  /** State of the attempt at `endpoint`; undefined before the first attempt. */
  stateMachine: AttemptStateMachine | undefined;
}

/**
 * Creates the progress of a new request.
 *
 * @example
 * const progress = createRequestProgress(request);
 */
export function createRequestProgress(request: StreamRequest): RequestProgress {
  return {
    request,
    deliveredTokens: [],
    excludedEndpoints: new Set(),
    resumedEndpoints: new Set(),
    attemptCount: 0,
    recomputedTokens: 0,
    mayHaveRun: false,
    hasStartedPrefill: false,
    endpoint: '',
    stateMachine: undefined,
  };
}
