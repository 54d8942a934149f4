/**
 * Local replica of one kind of objects in the platform's store, updated by this
 * entry's own reads or by steps and copies from peers.
 */
import {emitter, type Clock, type Event, type Logger} from '@skylarkfield/base';
import type {
  MirrorChange,
  MirrorSnapshot,
  MirrorKind,
  SyncStatus,
} from '@skylarkfield/protocol';
import {createConfirmation, type Timestamp} from '@skylarkfield/traffic';
import type {SourceChanges, SourceItem, SourceListing} from './contracts.js';

/** Changes that take a replica from store revision `from` to `to`. */
export interface MirrorStep {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly MirrorChange[];
}

export interface Mirror<T> {
  readonly kind: MirrorKind;
  /** False until the first listing or copy has arrived. */
  isKnown(): boolean;
  get(name: string): T | undefined;
  items(): readonly SourceItem<T>[];
  revision(): number;
  /** Milliseconds since the replica was last confirmed; initially Infinity. */
  ageMs(): number;
  /** Fires after the content has changed. */
  readonly onDidChange: Event<void>;
  /** Applies a listing, without `requestedAt` if the listing may be stale. */
  applyListing(
    listing: SourceListing<T>,
    requestedAt: Timestamp | undefined,
  ): void;
  /** Applies changes from the store; returns the step to broadcast, if any. */
  applyChanges(
    changes: SourceChanges<T>,
    requestedAt: Timestamp,
  ): MirrorStep | undefined;
  /** Applies a step from a peer; false on a gap, which requires a copy. */
  applyStep(step: MirrorStep): boolean;
  applyCopy(snapshot: MirrorSnapshot): void;
  /**
   * Confirms the replica by the status of a peer that was up to date at the
   * timestamp; false if this replica lacks changes that the peer has.
   */
  confirmBy(syncStatus: SyncStatus, timestamp: Timestamp): boolean;
  copy(): MirrorSnapshot;
  /** Returns the status for peers; `isReader` if this entry reads the store. */
  syncStatus(isReader: boolean): SyncStatus;
}

/**
 * Creates an empty replica.
 *
 * @example
 * const endpoints = createMirror<RegisteredEndpoint>({kind: 'endpoints',
 *   clock, log});
 * endpoints.onDidChange(() => router.setEndpoints(endpoints.items()));
 */
export function createMirror<T>(options: {
  readonly kind: MirrorKind;
  readonly clock: Clock;
  readonly log: Logger;
}): Mirror<T> {
  const {kind, clock, log} = options;
  const changed = emitter<void>();
  const confirmation = createConfirmation(clock);
  const items = new Map<string, SourceItem<T>>();
  /** Store revision of the replica; undefined before the first listing. */
  let revision: number | undefined;
  let changedAt = 0;

  function put(name: string, itemRevision: number, value: T): boolean {
    const existing = items.get(name);
    if (existing !== undefined && existing.revision >= itemRevision) {
      return false;
    }
    items.set(name, {name, revision: itemRevision, value});
    return true;
  }

  function apply({
    name,
    revision: changeRevision,
    value,
  }: MirrorChange): boolean {
    if (value !== undefined) {
      return put(name, changeRevision, value as T);
    }
    const existing = items.get(name);
    // The object may have been recreated after this removal.
    if (existing === undefined || existing.revision > changeRevision) {
      return false;
    }
    return items.delete(name);
  }

  function applyAll(
    changes: readonly MirrorChange[],
    toRevision: number,
  ): void {
    let isDifferent = false;
    for (const change of changes) {
      isDifferent = apply(change) || isDifferent;
    }
    changedAt = Math.max(changedAt, toRevision);
    if (isDifferent) {
      log.info(
        {mirror: kind, to: toRevision, changed: changes.map(({name}) => name)},
        'mirror changed',
      );
      changed.fire();
    }
  }

  /** Replaces the content unless the new content is older. */
  function replace(
    toRevision: number,
    changeRevision: number,
    newItems: readonly MirrorChange[],
  ): void {
    if (revision !== undefined && toRevision < revision) {
      return;
    }
    const names = new Set(newItems.map(({name}) => name));
    const removed = [...items.keys()].filter(name => !names.has(name));
    removed.forEach(name => items.delete(name));
    const isFirst = revision === undefined;
    revision = toRevision;
    let isDifferent = isFirst || removed.length > 0;
    for (const change of newItems) {
      isDifferent = apply(change) || isDifferent;
    }
    changedAt = Math.max(changedAt, changeRevision);
    if (isDifferent) {
      log.info(
        {mirror: kind, to: toRevision, objects: items.size},
        'mirror replaced',
      );
      changed.fire();
    }
  }

  return {
    kind,
    isKnown: () => revision !== undefined,
    get: name => items.get(name)?.value,
    items: () => [...items.values()],
    revision: () => revision ?? 0,
    ageMs: () => (revision === undefined ? Infinity : confirmation.ageMs()),
    onDidChange: changed.event,
    applyListing(listing, requestedAt) {
      replace(listing.revision, listing.revision, listing.items);
      if (requestedAt !== undefined) {
        confirmation.confirm(requestedAt);
      }
    },
    applyChanges(sourceChanges, requestedAt) {
      const fromRevision = revision ?? 0;
      if (sourceChanges.revision < fromRevision) {
        // A peer's step has overtaken this response.
        return undefined;
      }
      const changes = sourceChanges.changes.map(({name, item}) =>
        item === undefined
          ? {name, revision: sourceChanges.revision}
          : {name, revision: item.revision, value: item.value},
      );
      revision = sourceChanges.revision;
      confirmation.confirm(requestedAt);
      if (changes.length === 0) {
        return undefined;
      }
      applyAll(changes, sourceChanges.revision);
      return {from: fromRevision, to: sourceChanges.revision, changes};
    },
    applyStep({from: fromRevision, to: toRevision, changes}) {
      if (revision === undefined || revision < fromRevision) {
        return false;
      }
      if (toRevision > revision) {
        revision = toRevision;
        applyAll(changes, toRevision);
      }
      return true;
    },
    applyCopy: snapshot =>
      replace(snapshot.revision, snapshot.changedAt, snapshot.items),
    confirmBy(syncStatus, timestamp) {
      if (revision === undefined || revision < syncStatus.changedAt) {
        return false;
      }
      revision = Math.max(revision, syncStatus.revision);
      confirmation.confirm(timestamp);
      return true;
    },
    copy: () => ({
      revision: revision ?? 0,
      changedAt,
      items: [...items.values()],
    }),
    syncStatus: isReader => ({
      revision: revision ?? 0,
      changedAt,
      confirmedAgoMs: Number.isFinite(confirmation.ageMs())
        ? Math.max(0, Math.round(confirmation.ageMs()))
        : -1,
      isReader,
    }),
  };
}
