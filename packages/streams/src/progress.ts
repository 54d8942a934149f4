/** Progress of one request over all its attempts. */
import type {StreamRequest} from './contracts.js';
import type {AttemptStateMachine} from './attemptMachine.js';

export interface RequestProgress {
  readonly request: StreamRequest;
  /** Texts of the tokens delivered to the caller. */
  readonly delivered: string[];
  /** Endpoints that this request must not use. */
  readonly excluded: Set<string>;
  /** Endpoints at which an interrupted stream has already resumed once. */
  readonly resumedEndpoints: Set<string>;
  attempts: number;
  recomputedTokens: number;
  /** True once any byte of the request may have reached an engine. */
  mayHaveRun: boolean;
  /** True once an engine has started to compute the prompt. */
  hasStartedPrefill: boolean;
  /** Number of tokens delivered when the latest attempt started. */
  deliveredAtAttemptStart: number;
  endpoint: string;
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
    delivered: [],
    excluded: new Set(),
    resumedEndpoints: new Set(),
    attempts: 0,
    recomputedTokens: 0,
    mayHaveRun: false,
    hasStartedPrefill: false,
    deliveredAtAttemptStart: 0,
    endpoint: '',
    stateMachine: undefined,
  };
}
