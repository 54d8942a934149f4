/** Transport of the object client, such as HTTP or the in-process fake. */
import type {Disposable} from '@skylarkfield/base';
import type {Freshness, ObjectListing, StoredObject} from './contracts.js';
import type {ObjectChange, ObjectWrite} from './objectTable.js';

/** Result of reading an object, with the store version of the read. */
export interface ObjectReadResult {
  readonly version: number;
  readonly object: StoredObject | undefined;
}

/** Why a watch ended. `compacted`: requested changes have been discarded. */
export type WatchEndReason = 'compacted' | 'lost';

/** Receives the events of one watch of a transport. */
export interface TransportWatchListener {
  onDidOpen(): void;
  onDidChange(change: ObjectChange): void;
  /** All changes up to this version have been delivered. */
  onDidCatchUp(version: number): void;
  /** Called once, unless the watch was disposed first. */
  onDidEnd(reason: WatchEndReason, retryAfterMs?: number): void;
}

/**
 * Makes single calls to the object API, without deadlines or retries.
 *
 * Errors: `platform-unavailable` and `overloaded` only when the call is known
 * to have had no effect; `outcome-unknown` when a write may have taken effect.
 */
export interface ObjectTransport extends Disposable {
  /**
   * Era of the store, as the latest response names it; undefined before the
   * first one. Objects that may be stale can be from an earlier era.
   */
  era(): number | undefined;
  get(
    kind: string,
    name: string,
    signal: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectReadResult>;
  list(
    kind: string,
    signal: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectListing>;
  /** Resolves with the object as written, including its new version. */
  put(
    write: ObjectWrite,
    value: unknown,
    signal: AbortSignal,
  ): Promise<StoredObject>;
  remove(write: ObjectWrite, signal: AbortSignal): Promise<void>;
  /** Delivers the changes after a version until the watch ends. */
  watch(
    kind: string,
    fromVersion: number,
    listener: TransportWatchListener,
  ): Disposable;
}
