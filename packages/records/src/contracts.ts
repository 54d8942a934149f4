/** Accepted forms of the record kinds, and the configuration in force. */
import type {Disposable} from '@skylarkfield/base';
import type {RecordVersion} from '@skylarkfield/protocol';

export type RecordKind = 'customer' | 'service' | 'move' | 'endpoint-class';

/** A firm or department whose calls authenticate with keys. */
export interface Customer {
  readonly name: string;
  /** SHA-256 of each valid key, as lower-case hex. */
  readonly keyHashes: readonly string[];
  /**
   * Highest priority that the customer may request, as RFC 9218 urgency: 0
   * (highest) to 7.
   */
  readonly bestUrgency: number;
  /** Weight of the customer relative to other customers at a busy service. */
  readonly weight: number;
  /** Services the customer may call; empty for all. */
  readonly services: readonly string[];
}

/** Idempotency of the calls below a path of a plain service. */
export interface Route {
  /** HTTP method, or `*` for all. */
  readonly method: string;
  readonly pathPrefix: string;
  /** If false, calls run at most once, through the order ledger. */
  readonly isIdempotent: boolean;
}

/** A pool of model replicas or a plain service. */
export interface Service {
  readonly name: string;
  readonly type: 'model' | 'plain';
  /** Version that serves while no move is in progress. */
  readonly version: string;
  /**
   * The route with the longest matching path prefix applies; without a match,
   * only GET, HEAD and OPTIONS are idempotent.
   */
  readonly routes: readonly Route[];
  /**
   * Target p95 latency in milliseconds: until the first token for a model,
   * until the full response for a plain service.
   */
  readonly targetMs: number;
  /** Default and upper bound of the timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum number of requests in flight over all entries. */
  readonly concurrency: number;
  /** Maximum number of requests queued at one entry. */
  readonly queue: number;
  /** Number of replicas to keep, their machine class and weights. */
  readonly fleet: {
    readonly minReplicas: number;
    readonly maxReplicas: number;
    readonly machineClass: string;
    readonly weights: string;
  };
}

/** Moves the traffic of a service from one version to another by a deadline. */
export interface Move {
  readonly name: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  /** Wall-clock milliseconds by which the move is finished or rolled back. */
  readonly deadline: number;
  /** Upper bound of the traffic share of an unproven candidate, 0 to 1. */
  readonly maxUnprovenShare: number;
}

/** Properties of a class of endpoints. */
export interface EndpointClass {
  readonly name: string;
  /** Whether the endpoints reject commands with an outdated fencing token. */
  readonly checksFencing: boolean;
}

export interface AcceptedRecordTypes {
  customer: Customer;
  service: Service;
  move: Move;
  'endpoint-class': EndpointClass;
}

/** The configuration in force in this process. */
export interface Configuration {
  get<K extends RecordKind>(
    kind: K,
    name: string,
  ): AcceptedRecordTypes[K] | undefined;
  list<K extends RecordKind>(kind: K): readonly AcceptedRecordTypes[K][];
  /** Registers a listener, called after a record is applied or removed. */
  onDidChange(listener: (kind: RecordKind, name: string) => void): Disposable;
  /** Returns whether the platform or a peer sent a complete configuration. */
  isReady(): boolean;
  /** Returns the versions of records in force, including removed records. */
  versions(): readonly RecordVersion[];
}
