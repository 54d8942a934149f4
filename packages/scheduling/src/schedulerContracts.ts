/** Interface of the scheduler of one service. */
import type {Clock, Disposable, Random} from '@skylarkfield/base';
import type {
  HeldPlacement,
  PlacementAnswer,
  PlacementBegin,
  PlacementDecision,
  PlacementEnd,
  PlacementRequest,
  RejectionReason,
  SchedulableEndpoint,
} from './contracts.js';
import type {PromptTime} from './engineChoice.js';

/** Decision on a request, as reported to metrics and logs. */
export interface ObservedDecision {
  readonly request: PlacementRequest;
  readonly outcome: 'placed' | RejectionReason;
  readonly waitedMs: number;
  /** Whether the request was placed after its latency target had become
   * unreachable. */
  readonly isLate: boolean;
  /** Whether its urgency got less than its minimum share of recent starts. */
  readonly isShort: boolean;
}

export interface ServiceScheduler extends Disposable {
  setEndpoints(endpoints: readonly SchedulableEndpoint[]): void;
  /** Whether the service has an endpoint. */
  hasEndpoints(): boolean;
  /**
   * Decides on a request of an entry. If it is queued, `onDidDecide` is called
   * later with the decision.
   */
  request(
    asker: string,
    request: PlacementRequest,
    onDidDecide: (decision: PlacementDecision) => void,
  ): PlacementAnswer;
  /** Applies the first byte or event of the response to a request. */
  begin(asker: string, begin: PlacementBegin): void;
  /** Applies the end of a request, whether it was placed or still waits. */
  end(asker: string, end: PlacementEnd): void;
  /** Replaces the requests in progress of an entry. */
  adopt(asker: string, held: readonly HeldPlacement[]): void;
  /** Drops all requests of an entry that is gone. */
  dropAsker(asker: string): void;
  dump(): unknown;
}

export interface ServiceSchedulerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Prompt tokens that an endpoint keeps cached; 0 for a plain service. */
  readonly cacheTokens: number;
  readonly promptTime: PromptTime;
  onDidDecide?(decision: ObservedDecision): void;
}
