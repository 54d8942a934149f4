/** Record kinds in the form that processes act on, and the configuration in force. */
import type {Disposable} from '@skylarkfield/base';
import type {RecordVersion} from '@skylarkfield/protocol';

export type RecordKind = 'customer' | 'service' | 'move' | 'endpoint-class';

/** A firm or department that calls; authenticates with keys. */
export interface Customer {
  readonly name: string;
  /** SHA-256 of each valid key, as lower-case hex. */
  readonly keyHashes: readonly string[];
  /** The most important RFC 9218 urgency it may ask for, 0 to 7. */
  readonly bestUrgency: number;
  /** Its share of a busy service relative to other customers. */
  readonly weight: number;
  /** Services it may call; empty for all. */
  readonly services: readonly string[];
}

/** How calls on one path of a plain service may be treated. */
export interface Route {
  /** Method, or `*` for all. */
  readonly method: string;
  readonly pathPrefix: string;
  /** False: at most once; runs through the order ledger. */
  readonly isIdempotent: boolean;
}

/** One service: model pool or plain service. */
export interface Service {
  readonly name: string;
  readonly type: 'model' | 'plain';
  /** The version that serves when no move is under way. */
  readonly version: string;
  /** Longest prefix wins; a call that matches no route is not idempotent unless GET, HEAD or OPTIONS. */
  readonly routes: readonly Route[];
  /** Latency that users want for 95 in 100: first token for models, whole answer for plain services. */
  readonly targetMs: number;
  /** Time a request gets when the caller names none, and the most it may ask for. */
  readonly timeoutMs: number;
  /** The most requests in flight over all entries. */
  readonly concurrency: number;
  /** The most requests waiting at one entry. */
  readonly queue: number;
  /** Replicas to keep, and their machine class. */
  readonly fleet: {
    readonly minReplicas: number;
    readonly maxReplicas: number;
    readonly machineClass: string;
    readonly weights: string;
  };
}

/** Traffic of a service goes from one version to another by a deadline. */
export interface Move {
  readonly name: string;
  readonly service: string;
  readonly from: string;
  readonly to: string;
  /** Wall-clock milliseconds by which it is finished or taken back. */
  readonly deadline: number;
  /** The most of the traffic that an unproven candidate may get, 0 to 1. */
  readonly maxUnprovenShare: number;
}

/** What is known of one class of endpoints. */
export interface EndpointClass {
  readonly name: string;
  /** Whether its endpoints refuse orders with an old fencing number. */
  readonly checksFencing: boolean;
}

export interface AcceptedRecords {
  customer: Customer;
  service: Service;
  move: Move;
  'endpoint-class': EndpointClass;
}

/** The accepted configuration that this process acts on. */
export interface Configuration {
  get<K extends RecordKind>(
    kind: K,
    name: string,
  ): AcceptedRecords[K] | undefined;
  list<K extends RecordKind>(kind: K): readonly AcceptedRecords[K][];
  /** Fires after a record was put in force or removed. */
  onDidChange(listener: (kind: RecordKind, name: string) => void): Disposable;
  /** False until a first snapshot came from the platform or a peer. */
  isReady(): boolean;
  /** Versions in force here, removed records included. */
  versions(): readonly RecordVersion[];
}
