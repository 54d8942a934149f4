/** Interface of an entry's client of schedulers. */
import type {Disposable} from '@skylarkfield/base';
import type {PlacementResult} from '@skylarkfield/protocol';
import type {
  PlacementOutcome,
  PlacementRequest,
  ReportedLoad,
} from '@skylarkfield/scheduling';
import type {VersionGroup} from '../endpoints/endpointDirectory.js';

/** A request for the scheduler of its service. */
export interface ScheduledRequest extends PlacementRequest {
  readonly service: string;
  readonly version: VersionGroup;
}

/** A request that was placed; `end` is called exactly once. */
export interface Placement {
  /** Router key of the endpoint to send the request to. */
  readonly endpoint: string;
  /** Entry that has placed the request. */
  readonly scheduler: string;
  /** Records the first byte or event of the response of an endpoint. */
  recordBegin(endpoint: string, load: ReportedLoad | undefined): void;
  /** `endpoint`: the last one that the request was sent to. */
  end(outcome: PlacementOutcome, endpoint: string | undefined): void;
}

/** Answer of a scheduler. */
export type ScheduledAnswer =
  | {readonly type: 'placed'; readonly placement: Placement}
  | Extract<PlacementResult, {type: 'rejected'}>
  /** No scheduler has answered, so that this entry decides on its own. */
  | {readonly type: 'undecided'}
  /** The caller has left. */
  | {readonly type: 'cancelled'};

export interface SchedulerClient extends Disposable {
  /** Whether a service has little room, as a scheduler has told recently. */
  isContended(service: string): boolean;
  place(
    request: ScheduledRequest,
    signal: AbortSignal,
  ): Promise<ScheduledAnswer>;
  dump(): unknown;
}
