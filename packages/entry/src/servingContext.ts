/** Components of an entry that handle requests. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {Engine, PlainService} from '@skylarkfield/endpoints';
import type {LookupResult, LookupQuery} from '@skylarkfield/members';
import type {TrafficSplit} from '@skylarkfield/moves';
import type {Ledger} from '@skylarkfield/orders';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import type {StreamRunner} from '@skylarkfield/streams';

/** An endpoint with its client. */
export interface ConnectedEndpoint {
  readonly listed: ListedEndpoint;
  /** For endpoints of type `model`. */
  readonly engine?: Engine;
  /** For endpoints of type `plain`. */
  readonly plain?: PlainService;
  /** Aborted when the endpoint starts leaving. */
  readonly leaving: AbortSignal;
  /** Monotonic milliseconds by which a leaving endpoint is gone, if known. */
  goneAt?(): number | undefined;
}

export interface EndpointPool {
  get(id: string): ConnectedEndpoint | undefined;
  list(): readonly ConnectedEndpoint[];
}

export interface ServingContext {
  readonly configuration: Configuration;
  readonly admission: AdmissionController;
  readonly router: Router;
  readonly endpoints: EndpointPool;
  readonly streams: StreamRunner;
  readonly split: TrafficSplit;
  readonly ledger: Ledger;
  lookup(query: LookupQuery): LookupResult;
}
