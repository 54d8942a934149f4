/** In-memory store of mirrored objects that can return from a copy. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {MirrorKind} from '@skylarkfield/protocol';
import {createStoreRevision, eraOf} from '@skylarkfield/providers';
import type {ObjectSource, SourceChange, SourceItem} from '../contracts.js';

/** Delay of a call, and interval at which a waiting call looks for changes, in ms. */
const CALL_DELAY_MS = 4;
const WATCH_POLL_MS = 10;

interface StoredChange {
  readonly kind: MirrorKind;
  readonly name: string;
  readonly revision: number;
  /** Undefined if the object was removed. */
  readonly value: unknown;
}

/** Changes of a store up to one revision. */
export type StoreHistory = readonly StoredChange[];

export interface RestorableStore {
  /** Removes the object if `value` is undefined. */
  write(kind: MirrorKind, name: string, value: unknown): void;
  setDown(isDown: boolean): void;
  history(): StoreHistory;
  restore(history: StoreHistory): void;
  callCount(): number;
  /** Returns the objects of a kind as one entry reads them. */
  createSource<T>(kind: MirrorKind, isCut: () => boolean): ObjectSource<T>;
}

/** Creates an empty store in its first era. */
export function createRestorableStore(clock: Clock): RestorableStore {
  let changes: StoredChange[] = [];
  let era = 0;
  let isDown = false;
  let callCount = 0;

  const lastRevision = () => changes.at(-1)?.revision ?? 0;

  function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => clock.after(durationMs, resolve));
  }

  function toItem<T>(
    {name, revision, value}: StoredChange,
    itemEra: number,
  ): SourceItem<T> {
    return {
      name,
      revision: createStoreRevision(itemEra, revision),
      value: value as T,
    };
  }

  function currentItems<T>(kind: MirrorKind, itemEra: number): SourceItem<T>[] {
    const changesByName = new Map(
      changes
        .filter(change => change.kind === kind)
        .map(change => [change.name, change]),
    );
    return [...changesByName.values()]
      .filter(({value}) => value !== undefined)
      .map(change => toItem<T>(change, itemEra));
  }

  function changesAfter<T>(
    kind: MirrorKind,
    afterRevision: number,
  ): SourceChange<T>[] {
    return changes
      .filter(
        change =>
          change.kind === kind &&
          createStoreRevision(era, change.revision) > afterRevision,
      )
      .map(change => ({
        name: change.name,
        item: change.value === undefined ? undefined : toItem<T>(change, era),
      }));
  }

  return {
    write(kind, name, value) {
      changes.push({kind, name, revision: lastRevision() + 1, value});
    },
    setDown: isNowDown => void (isDown = isNowDown),
    history: () => [...changes],
    restore(history) {
      changes = [...history];
      era += 1;
    },
    callCount: () => callCount,
    createSource<T>(kind: MirrorKind, isCut: () => boolean): ObjectSource<T> {
      function throwIfAway(): void {
        if (isDown || isCut()) {
          throw new ServingError('platform-unavailable', 'the store is away');
        }
      }

      async function beginCall(): Promise<void> {
        callCount += 1;
        await sleep(CALL_DELAY_MS);
        throwIfAway();
      }

      return {
        async list(_, freshness) {
          await beginCall();
          const listedEra = freshness === 'recent' ? 0 : era;
          return {
            revision: createStoreRevision(listedEra, lastRevision()),
            items: currentItems<T>(kind, listedEra),
          };
        },
        async readChanges(afterRevision, waitMs, signal) {
          await beginCall();
          const endsAt = clock.now() + waitMs;
          while (
            eraOf(afterRevision) === era &&
            changesAfter(kind, afterRevision).length === 0 &&
            clock.now() < endsAt &&
            !signal.aborted
          ) {
            await sleep(WATCH_POLL_MS);
            throwIfAway();
          }
          if (eraOf(afterRevision) !== era) {
            return undefined;
          }
          return {
            revision: createStoreRevision(era, lastRevision()),
            changes: changesAfter<T>(kind, afterRevision),
          };
        },
      };
    },
  };
}
