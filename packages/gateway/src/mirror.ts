/**
 * Local replica of all objects of one kind in the platform's store. It is
 * updated by reads of this entry, or by steps and copies from peers.
 */
import {
  createEmitter,
  type Clock,
  type Event,
  type Logger,
} from '@skylarkfield/base';
import type {
  MirrorChange,
  MirrorSnapshot,
  MirrorKind,
  SyncStatus,
} from '@skylarkfield/protocol';
import {createConfirmation, type Timestamp} from '@skylarkfield/traffic';
import type {SourceChanges, SourceItem, SourceListing} from './contracts.js';

/**
 * Changes that update a replica from store revision `from` to revision `to`.
 */
export interface MirrorStep {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly MirrorChange[];
}

export interface Mirror<T> {
  readonly kind: MirrorKind;
  /** False until the first listing or copy has arrived. */
  isLoaded(): boolean;
  get(name: string): T | undefined;
  items(): readonly SourceItem<T>[];
  revision(): number;
  /** Milliseconds since the last confirmation; initially Infinity. */
  ageMs(): number;
  /** Fires after the content has changed. */
  readonly onDidChange: Event<void>;
  /**
   * Applies a listing from the store; `requestedAt` is undefined if the listing
   * may be stale, and the replica is then not confirmed.
   */
  applyListing(
    listing: SourceListing<T>,
    requestedAt: Timestamp | undefined,
  ): void;
  /**
   * Applies changes from the store; returns the step to broadcast to peers, or
   * undefined if there are no changes.
   */
  applyChanges(
    changes: SourceChanges<T>,
    requestedAt: Timestamp,
  ): MirrorStep | undefined;
  /**
   * Applies a step from a peer. Returns false if earlier changes are missing; a
   * copy has to be fetched then.
   */
  applyStep(step: MirrorStep): boolean;
  /** Replaces the content by a peer's copy, unless the copy is older. */
  applyCopy(snapshot: MirrorSnapshot): void;
  /**
   * Confirms the replica by the sync status of a peer that was up to date at
   * the timestamp. Returns false if the replica lacks changes that the peer
   * has.
   */
  confirmByPeer(syncStatus: SyncStatus, timestamp: Timestamp): boolean;
  /** Returns a copy of the content for a peer. */
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
  const changeEmitter = createEmitter<void>();
  const confirmation = createConfirmation(clock);
  const items = new Map<string, SourceItem<T>>();
  /** Store revision of the replica; undefined before the first listing. */
  let revision: number | undefined;
  /**
   * Latest store revision at which the content changed, as far as it is known.
   */
  let changedAt = 0;

  function putItem(name: string, itemRevision: number, value: T): boolean {
    const existingItem = items.get(name);
    if (existingItem !== undefined && existingItem.revision >= itemRevision) {
      return false;
    }
    items.set(name, {name, revision: itemRevision, value});
    return true;
  }

  function applyChange({
    name,
    revision: changeRevision,
    value,
  }: MirrorChange): boolean {
    if (value !== undefined) {
      return putItem(name, changeRevision, value as T);
    }
    const existingItem = items.get(name);
    // The object may have been recreated after this removal.
    if (existingItem === undefined || existingItem.revision > changeRevision) {
      return false;
    }
    return items.delete(name);
  }

  function applyAllChanges(
    changes: readonly MirrorChange[],
    toRevision: number,
  ): void {
    let hasChanged = false;
    for (const change of changes) {
      hasChanged = applyChange(change) || hasChanged;
    }
    changedAt = Math.max(changedAt, toRevision);
    if (hasChanged) {
      log.info(
        {mirror: kind, to: toRevision, changed: changes.map(({name}) => name)},
        'mirror changed',
      );
      changeEmitter.fire();
    }
  }

  /** Replaces the content unless the new content is older. */
  function replaceItems(
    toRevision: number,
    changeRevision: number,
    newItems: readonly MirrorChange[],
  ): void {
    if (revision !== undefined && toRevision < revision) {
      log.info(
        {mirror: kind, revision, listed: toRevision},
        'ignored an older listing',
      );
      return;
    }
    const names = new Set(newItems.map(({name}) => name));
    const removedNames = [...items.keys()].filter(name => !names.has(name));
    removedNames.forEach(name => items.delete(name));
    const isFirstContent = revision === undefined;
    revision = toRevision;
    let hasChanged = isFirstContent || removedNames.length > 0;
    for (const change of newItems) {
      hasChanged = applyChange(change) || hasChanged;
    }
    changedAt = Math.max(changedAt, changeRevision);
    if (hasChanged) {
      log.info(
        {mirror: kind, to: toRevision, objects: items.size},
        'mirror replaced',
      );
      changeEmitter.fire();
    }
  }

  return {
    kind,
    isLoaded: () => revision !== undefined,
    get: name => items.get(name)?.value,
    items: () => [...items.values()],
    revision: () => revision ?? 0,
    ageMs: () => (revision === undefined ? Infinity : confirmation.ageMs()),
    onDidChange: changeEmitter.event,
    applyListing(listing, requestedAt) {
      replaceItems(listing.revision, listing.revision, listing.items);
      if (requestedAt !== undefined) {
        confirmation.confirm(requestedAt);
      }
    },
    applyChanges(sourceChanges, requestedAt) {
      const fromRevision = revision ?? 0;
      if (sourceChanges.revision < fromRevision) {
        // A step from a peer with a later revision was applied before this
        // response arrived.
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
      applyAllChanges(changes, sourceChanges.revision);
      return {from: fromRevision, to: sourceChanges.revision, changes};
    },
    applyStep({from: fromRevision, to: toRevision, changes}) {
      if (revision === undefined || revision < fromRevision) {
        return false;
      }
      if (toRevision > revision) {
        revision = toRevision;
        applyAllChanges(changes, toRevision);
      }
      return true;
    },
    applyCopy: snapshot =>
      replaceItems(snapshot.revision, snapshot.changedAt, snapshot.items),
    confirmByPeer(syncStatus, timestamp) {
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
