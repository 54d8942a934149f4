/** What the object client needs of the wire; HTTP and the in-process fake both give it. */
import type {Disposable} from '@skylarkfield/base';
import type {Freshness, ObjectListing, StoredObject} from './contracts.js';
import type {ObjectChange, ObjectWrite} from './objectTable.js';

/** An object as read, with the store's version at the time. */
export interface ObjectReading {
  readonly version: number;
  readonly object: StoredObject | undefined;
}

/** Why a watch ended. `compacted`: changes since its version are no longer kept. */
export type WatchEnd = 'compacted' | 'lost';

/** What a transport tells of one watch. */
export interface TransportWatch {
  onDidOpen(): void;
  onDidChange(change: ObjectChange): void;
  /** All changes up to this version have been told. */
  onDidCatchUp(version: number): void;
  /** Called once, unless the watch was disposed before. */
  onDidEnd(end: WatchEnd, retryAfterMs?: number): void;
}

/**
 * Single calls without deadlines or repeats.
 *
 * Errors: `platform-unavailable` and `overloaded` only when the call certainly
 * had no effect; `outcome-unknown` when a write may have had one.
 */
export interface ObjectTransport extends Disposable {
  get(
    kind: string,
    name: string,
    signal: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectReading>;
  list(
    kind: string,
    signal: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectListing>;
  /** Resolves with the version that the write made. */
  put(
    write: ObjectWrite,
    value: unknown,
    signal: AbortSignal,
  ): Promise<StoredObject>;
  remove(write: ObjectWrite, signal: AbortSignal): Promise<void>;
  /** Tells changes after a version until it ends or is disposed. */
  watch(kind: string, from: number, listener: TransportWatch): Disposable;
}
