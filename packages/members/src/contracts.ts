/** Which entries there are, and which of them a caller should use. */
import type {Disposable} from '@skylarkfield/base';

/** `suspect`: silent for too long. `leaving`: takes no new work. */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'gone';

/** One entry process. */
export interface Member {
  readonly id: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Where callers connect, like `http://10.0.0.4:8080`. */
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests in flight there when last heard of. */
  readonly load: number;
  /** Processor cores that it may use; undefined where its settings do not say. */
  readonly cores?: number;
}

/** The entries as this one sees them, and its own leaving. */
export interface Membership extends Disposable {
  readonly self: Member;
  /** All that are known and not gone, this entry included. */
  members(): readonly Member[];
  /** Those that take new work. */
  live(): readonly Member[];
  /**
   * Number of entries that may take work: those that do, those lost a short
   * while ago, which may be alive behind a cut, and for some seconds after the
   * start those that the platform listed. Undefined until the platform or a peer
   * has told of others.
   */
  entryCount(): number | undefined;
  onDidChange(listener: (member: Member) => void): Disposable;
  /** Announces that this entry leaves; before anything else in a shutdown. */
  leave(): Promise<void>;
  /**
   * False when this process was paused so long that others may have acted
   * without it; true again once it has heard from peers or the platform.
   */
  isCurrent(): boolean;
  /** State of every machine and counter, for the dump. */
  dump(): unknown;
}

/** What the lookup answers to a caller. */
export interface LookupAnswer {
  /** Best first. */
  readonly entries: readonly {
    readonly id: string;
    readonly url: string;
    readonly failureDomain: string;
  }[];
  /** How long the caller may keep the answer, in milliseconds. */
  readonly ttlMs: number;
}

/** What a caller says of the requests it wants an entry for. */
export interface LookupQuestion {
  readonly customer?: string;
  /** Session or prefix, so that long histories land where they are known. */
  readonly affinity?: string;
  readonly failureDomain?: string;
}
