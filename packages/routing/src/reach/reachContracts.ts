/** Types of the reach, which decides whether endpoints can be reached. */
import type {Disposable, Event} from '@skylarkfield/base';
import type {ReachState} from './reachMachine.js';

/** A request to an endpoint, from its send to its end. */
export interface PendingExchange extends Disposable {
  /** Records that bytes arrived from the endpoint. */
  recordContact(): void;
}

/**
 * Whether another entry reaches a service; `unanswered` if none that was asked
 * has answered, as under a partition.
 */
export type PeerAnswer = 'reached' | 'not-reached' | 'unanswered';

export interface EndpointReach extends Disposable {
  stateOf(service: string): ReachState;
  /** Whether no requests should be sent to endpoints of the service. */
  isLost(service: string): boolean;
  /**
   * Whether new connections to the service's endpoints can be opened, as far as
   * is known. Open connections may work even if new ones fail.
   */
  canConnect(service: string): boolean;
  /**
   * Records that a request was sent to an endpoint of the service. Its first
   * byte is expected within `expectedMs`, in milliseconds, and so is each later
   * one.
   */
  beginExchange(
    service: string,
    endpoint: string,
    expectedMs?: number,
  ): PendingExchange;
  /**
   * Whether bytes have arrived from the endpoint since a time, in monotonic
   * milliseconds.
   */
  hasRespondedSince(service: string, endpoint: string, since: number): boolean;
  /**
   * Returns whether the endpoint responds, after a probe if it has sent no bytes
   * recently.
   */
  isResponding(service: string, endpoint: string): Promise<boolean>;
  /** Records that an endpoint closed its connection or did not respond. */
  recordFailure(service: string, endpoint: string): void;
  /** Records that no connection to the endpoint could be opened. */
  recordConnectFailure(service: string, endpoint: string): void;
  /** Probes a lost service at once, since an endpoint may have been added. */
  recordEndpointsChanged(): void;
  /**
   * Calls back with whether a failure that has just occurred is evidence about
   * the service's endpoints; the failures of an entry that is cut off are none.
   * Calls back as soon as an endpoint sends bytes. If none does for a while,
   * probes decide.
   */
  whenDecided(service: string, callback: (isEvidence: boolean) => void): void;
  /**
   * Returns whether this entry reaches an endpoint of the service, after probes
   * if no endpoint has responded recently.
   */
  isReached(service: string): Promise<boolean>;
  /** Fires with the service when this entry is found to be cut off from it. */
  readonly onDidCutOff: Event<string>;
  /** Fires with the service when an endpoint of it is reached again. */
  readonly onDidRegain: Event<string>;
  dump(): unknown;
}
