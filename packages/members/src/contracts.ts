/** Contracts of the entry membership and of the entry lookup. */
import type {Disposable} from '@skylarkfield/base';

/**
 * `suspect`: heartbeats of the member are missing. `leaving`: the member
 * accepts no new work. `gone`: the member stopped or was declared dead.
 */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'gone';

/** One entry process. */
export interface Member {
  readonly id: string;
  /** Greater in each later process of this id. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** URL that callers connect to, like `http://10.0.0.4:8080`. */
  readonly callerUrl: string;
  /** URL that other entries connect to. */
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests in flight on the entry, as last reported. */
  readonly load: number;
  /** Processor cores available to the entry; undefined when not configured. */
  readonly cores?: number;
  /**
   * Services whose endpoints the entry cannot reach although others do; absent
   * if there are none.
   */
  readonly unreachableServices?: readonly string[];
}

/**
 * Cluster membership as seen by this entry, and the departure of this entry.
 */
export interface Membership extends Disposable {
  readonly self: Member;
  /** All known members that are not gone, including this entry. */
  members(): readonly Member[];
  /** Members that accept new work. */
  liveMembers(): readonly Member[];
  /**
   * Number of entries that may accept work: live members, suspects and recently
   * lost members, which may be alive behind a network partition; in the first
   * seconds after the start, at least the number of members that the platform
   * listed. Undefined until the platform or a peer has reported other members.
   */
  entryCount(): number | undefined;
  onDidChange(listener: (member: Member) => void): Disposable;
  /** Announces the services whose endpoints only this entry cannot reach. */
  announceUnreachable(services: readonly string[]): void;
  /**
   * Records the current era of the platform's store, which rises when the store
   * is restored from a copy. To be called repeatedly: this entry's object, which
   * the copy may lack, is checked once in each era, and again after a failure.
   */
  recordStoreEra(era: number): void;
  /** Announces that this entry leaves; must be the first step of a shutdown. */
  leave(): Promise<void>;
  /**
   * False after a pause of this process that was long enough for others to take
   * over its work; true again once a peer or the platform has responded.
   */
  isCurrent(): boolean;
  /** Returns member states and counters for the state dump. */
  dump(): unknown;
}

/** Result of an entry lookup. */
export interface LookupResult {
  /** Entries ranked for the caller, best first. */
  readonly entries: readonly {
    readonly id: string;
    readonly url: string;
    readonly failureDomain: string;
  }[];
  /** Time that the caller may cache the result, in milliseconds. */
  readonly ttlMs: number;
}

/** Properties of the requests for which a caller looks up an entry. */
export interface LookupQuery {
  readonly customer?: string;
  /**
   * Session or prompt prefix; requests with an equal value are routed to the
   * same entry, whose cache is warm.
   */
  readonly affinity?: string;
  readonly failureDomain?: string;
}
