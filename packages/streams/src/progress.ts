/** What one request has got so far, over all its attempts. */
import type {StreamRequest} from './contracts.js';
import type {AttemptStates} from './attemptMachine.js';

export interface Progress {
  readonly request: StreamRequest;
  /** Texts of the tokens that the caller has. */
  readonly delivered: string[];
  /** Endpoints not to be tried again for this request. */
  readonly excluded: Set<string>;
  /** Endpoints whose stream broke once and that may be tried once more. */
  readonly cutOnce: Set<string>;
  attempts: number;
  recomputedTokens: number;
  /** True once any byte of the request may have reached an engine. */
  mayHaveRun: boolean;
  /** True once an engine has begun to compute the prompt. */
  hasComputed: boolean;
  /** Tokens delivered when the last attempt began, to see progress. */
  deliveredBefore: number;
  endpoint: string;
  states: AttemptStates | undefined;
}

/**
 * Makes the progress of a request that has just come.
 *
 * @example
 * const progress = createProgress(request);
 */
export function createProgress(request: StreamRequest): Progress {
  return {
    request,
    delivered: [],
    excluded: new Set(),
    cutOnce: new Set(),
    attempts: 0,
    recomputedTokens: 0,
    mayHaveRun: false,
    hasComputed: false,
    deliveredBefore: 0,
    endpoint: '',
    states: undefined,
  };
}
