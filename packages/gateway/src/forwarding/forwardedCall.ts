/** A request that is forwarded, and the result of forwarding it. */
import type {ServingError} from '@skylarkfield/base';
import type {Route} from '@skylarkfield/traffic';
import type {ResponseEnd} from '../attempts/attemptResult.js';
import type {CallHead, SelfReportedLoad} from '../contracts.js';
import type {VersionGroup} from '../endpoints/endpointDirectory.js';
import type {RetryDenial} from './retryRules.js';

/** A request that was admitted. */
export interface ForwardedCall {
  readonly head: CallHead;
  readonly attemptId: string;
  readonly route: Route;
  readonly service: string;
  readonly version: VersionGroup;
  readonly customer: string | undefined;
  /** Regions in which the call may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
  readonly urgency: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  /**
   * Returns the crash fingerprint, identical for all attempts that the caller
   * makes; computed on first use.
   */
  fingerprint(): string;
  /** Keys of the parts of the prompt that other requests may have. */
  readonly suspectParts: readonly string[];
  /** Keys of the prompt's shared parts; empty for a plain service. */
  readonly promptKeys: readonly string[];
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Set if the scheduler of the service has placed the call. */
  readonly placement?: CallPlacement | undefined;
  /** Set if another entry handed the call over; it is not handed on. */
  readonly handover?: HandoverState;
  /**
   * Called when an endpoint has closed the connection of its response, whose end
   * is yet to be confirmed: it works on the call no longer. `firstByteMs` is the
   * time from the start of forwarding to the first byte.
   */
  onDidEndWork?(endpoint: string, firstByteMs: number | undefined): void;
}

/** Endpoint that the scheduler of a service has chosen for a call. */
export interface CallPlacement {
  /** Router key of the endpoint. */
  readonly endpoint: string;
  /** Records the first byte or event of the response of an endpoint. */
  recordBegin(endpoint: string, load: SelfReportedLoad | undefined): void;
}

/** What an entry that hands a call over has done with it. */
export interface HandoverState {
  /** Id of the entry. */
  readonly sender: string;
  /** Router keys of the endpoints that it has tried. */
  readonly excludedEndpoints: readonly string[];
  /** Whether it has counted the call in the customer's usage. */
  readonly isCounted: boolean;
  /** Whether an endpoint may have run the call for it. */
  readonly hasRun: boolean;
}

/** Result of a forwarded call. */
export interface ForwardingResult {
  readonly status: number;
  /**
   * Milliseconds from the start of forwarding to the first byte or event;
   * undefined if none arrived.
   */
  readonly firstByteMs: number | undefined;
  /**
   * Part of `firstByteMs` by which, according to the endpoint, its slow host
   * delayed the response; absent if it did not.
   */
  readonly hostDelayMs?: number;
  /** Ids of the endpoints that the call was sent to, in order. */
  readonly endpoints: readonly string[];
  /** Router key of the endpoint that the call was last sent to. */
  readonly lastEndpoint?: string | undefined;
  /**
   * Whether an endpoint failed or declined the call; not if it only stood still.
   */
  readonly hasFailedAttempt?: boolean;
  /** Whether the call waited for an endpoint that stood still. */
  readonly hasWaitedForStill?: boolean;
  /** Router keys of the endpoints that stood still until another one responded. */
  readonly stillEndpoints?: readonly string[];
  /** Ids of the entries that the call was handed over to, in order. */
  readonly peers?: readonly string[];
  /** Monotonic milliseconds of the first send; undefined if never sent. */
  readonly firstSendAt?: number;
  /** Prompt tokens queued at the first endpoint before the call was sent. */
  readonly tokensAhead?: number;
  /** Crash fingerprint; set if an endpoint closed its connection. */
  readonly fingerprint?: string;
  /** Why the call that failed was not sent to a further endpoint. */
  readonly retryDenial?: RetryDenial;
  /** How the response that was passed on ended. */
  readonly responseEnd?: ResponseEnd;
  /** Undefined if an endpoint's complete response was passed on. */
  readonly error: ServingError | undefined;
}
