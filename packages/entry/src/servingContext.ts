/** Components of an entry that handle requests. */
import type {AdmissionController} from '@skylarkfield/admission';
import type {Engine, PlainService} from '@skylarkfield/endpoints';
import type {LookupResult, LookupQuery} from '@skylarkfield/members';
import type {TrafficSplit} from '@skylarkfield/moves';
import type {Ledger} from '@skylarkfield/orders';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Configuration} from '@skylarkfield/records';
import type {Rests, Router} from '@skylarkfield/routing';
import type {StreamRunner} from '@skylarkfield/streams';

/** An endpoint with its client: an engine or a plain service. */
export interface ConnectedEndpoint {
  /** The endpoint as described in the host list. */
  readonly listedEndpoint: ListedEndpoint;
  /** Set for endpoints of type `model` only. */
  readonly engine?: Engine;
  /** Set for endpoints of type `plain` only. */
  readonly plainService?: PlainService;
  /** Aborted when the endpoint starts leaving. */
  readonly leavingSignal: AbortSignal;
  /**
   * Monotonic milliseconds at which the endpoint is removed; undefined without
   * a notice.
   */
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
  readonly rests: Pick<Rests, 'recordRest' | 'recordAnswer'>;
  readonly endpointPool: EndpointPool;
  readonly streamRunner: StreamRunner;
  readonly trafficSplit: TrafficSplit;
  readonly ledger: Ledger;
  lookup(query: LookupQuery): LookupResult;
}
