/**
 * Local replica of all objects of one kind in the platform's store. It is
 * updated by reads of this entry, or by steps and copies from peers.
 */
import {
  createEmitter,
  type Clock,
  type Disposable,
  type Event,
  type Logger,
} from '@skylarkfield/base';
import {eraOf} from '@skylarkfield/providers';
import type {
  MirrorChange,
  MirrorSnapshot,
  MirrorKind,
  SyncStatus,
} from '@skylarkfield/protocol';
import {createConfirmation, type Timestamp} from '@skylarkfield/traffic';
import type {SourceChanges, SourceItem, SourceListing} from '../contracts.js';
import {createMirrorContents} from './mirrorContents.js';
import {digestOf} from './retainedStates.js';
import {noRetention, type RetentionRule} from './retentionRules.js';

/**
 * Changes that update a replica from store revision `from` to revision `to`.
 */
export interface MirrorStep {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly MirrorChange[];
}

export interface Mirror<T> extends Disposable {
  readonly kind: MirrorKind;
  /** False until the first listing or copy has arrived. */
  isLoaded(): boolean;
  get(name: string): T | undefined;
  items(): readonly SourceItem<T>[];
  /**
   * Values from before the store returned from a copy, which are in force
   * instead of what the store holds.
   */
  retainedItems(): readonly SourceItem<T>[];
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
  /**
   * Replaces the content by a peer's copy, unless the copy is older, and adopts
   * the states that the peer retains.
   */
  applyCopy(snapshot: MirrorSnapshot): void;
  /** Whether a peer with this status has content that the replica lacks. */
  lacksContentOf(syncStatus: SyncStatus): boolean;
  /**
   * Confirms the replica by the sync status of a peer that was up to date at
   * the timestamp. Returns false if the replica lacks changes that the peer
   * has, or if only one of them knows that the store has returned from a copy.
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
  /** What outlives the store's return from a copy; by default nothing. */
  readonly rule?: RetentionRule<T>;
}): Mirror<T> {
  const {kind, clock, log, rule = noRetention} = options;
  const changeEmitter = createEmitter<void>();
  const confirmation = createConfirmation(clock);
  const contents = createMirrorContents<T>({
    rule,
    clock,
    onDidExpire(names) {
      log.info({mirror: kind, names}, 'retained states expired');
      changeEmitter.fire();
    },
  });
  /** Store revision of the replica; undefined before the first listing. */
  let revision: number | undefined;
  /**
   * Latest store revision at which the content changed, as far as it is known.
   */
  let changedAt = 0;
  /** Monotonic milliseconds before which reads do not confirm the replica. */
  let settledAt = -Infinity;
  /** Digests of the retained states that peers have sent in this era. */
  const mergedDigests = new Set<number>();

  function confirm(timestamp: Timestamp): void {
    if (timestamp.monotonicMs >= settledAt) {
      confirmation.confirm(timestamp);
    }
  }

  function applyAllChanges(
    changes: readonly MirrorChange[],
    toRevision: number,
  ): void {
    const newerChanges = changes.filter(contents.apply);
    changedAt = Math.max(changedAt, toRevision);
    if (newerChanges.length > 0) {
      log.info(
        {mirror: kind, to: toRevision, changed: changes.map(({name}) => name)},
        'mirror changed',
      );
      changeEmitter.fire();
    }
  }

  /** Applies the first content after the store returned from a copy. */
  function restoreItems(
    toRevision: number,
    newItems: readonly MirrorChange[],
  ): void {
    const ageMs = confirmation.ageMs();
    const hasBeenConfirmed = Number.isFinite(ageMs);
    settledAt = hasBeenConfirmed
      ? clock.now() + rule.settlingMs(ageMs)
      : -Infinity;
    mergedDigests.clear();
    contents.restore(newItems, hasBeenConfirmed);
    log.info(
      {
        mirror: kind,
        from: revision,
        to: toRevision,
        objects: newItems.length,
        retained: contents.retainedStates().map(({name}) => name),
        settlingMs: Math.max(0, settledAt - clock.now()),
      },
      'mirror of a restored store',
    );
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
    const isFirstContent = revision === undefined;
    const isRestored = !isFirstContent && isOfOtherEra(toRevision);
    let hasChanged = isFirstContent || isRestored;
    if (isRestored) {
      restoreItems(toRevision, newItems);
    } else {
      hasChanged = contents.replace(newItems) || hasChanged;
    }
    revision = toRevision;
    changedAt = Math.max(changedAt, changeRevision);
    if (hasChanged) {
      log.info(
        {mirror: kind, to: toRevision, objects: newItems.length},
        'mirror replaced',
      );
      changeEmitter.fire();
    }
  }

  function isOfOtherEra(otherRevision: number): boolean {
    return eraOf(otherRevision) !== eraOf(revision ?? 0);
  }

  /** Adopts the states that a peer in the same era retains. */
  function adoptRetained(snapshot: MirrorSnapshot): void {
    const {retained = []} = snapshot;
    if (isOfOtherEra(snapshot.revision) || retained.length === 0) {
      return;
    }
    mergedDigests.add(digestOf(retained));
    if (contents.adopt(retained, snapshot.revision)) {
      log.info(
        {mirror: kind, retained: retained.map(({name}) => name)},
        'adopted retained states of a peer',
      );
      changeEmitter.fire();
    }
  }

  return {
    kind,
    isLoaded: () => revision !== undefined,
    get: contents.get,
    items: contents.items,
    retainedItems: contents.retainedItems,
    revision: () => revision ?? 0,
    ageMs: () => (revision === undefined ? Infinity : confirmation.ageMs()),
    onDidChange: changeEmitter.event,
    applyListing(listing, requestedAt) {
      replaceItems(listing.revision, listing.revision, listing.items);
      if (requestedAt !== undefined) {
        confirm(requestedAt);
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
      confirm(requestedAt);
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
        if (isOfOtherEra(fromRevision)) {
          return false;
        }
        revision = toRevision;
        applyAllChanges(changes, toRevision);
      }
      return true;
    },
    applyCopy(snapshot) {
      replaceItems(snapshot.revision, snapshot.changedAt, snapshot.items);
      adoptRetained(snapshot);
    },
    lacksContentOf({
      revision: peerRevision,
      changedAt: peerChangedAt,
      retained,
    }) {
      if (revision === undefined || revision < peerChangedAt) {
        return peerRevision > 0;
      }
      return (
        retained !== undefined &&
        !isOfOtherEra(peerRevision) &&
        retained !== contents.retainedDigest() &&
        !mergedDigests.has(retained)
      );
    },
    confirmByPeer(syncStatus, timestamp) {
      if (
        revision === undefined ||
        revision < syncStatus.changedAt ||
        isOfOtherEra(syncStatus.revision)
      ) {
        return false;
      }
      revision = Math.max(revision, syncStatus.revision);
      confirm(timestamp);
      return true;
    },
    copy: () => ({
      revision: revision ?? 0,
      changedAt,
      items: contents.storedItems(),
      retained: contents.retainedStates(),
    }),
    syncStatus: isReader => ({
      revision: revision ?? 0,
      changedAt,
      confirmedAgoMs: Number.isFinite(confirmation.ageMs())
        ? Math.max(0, Math.round(confirmation.ageMs()))
        : -1,
      isReader,
      ...(contents.retainedDigest() === 0
        ? {}
        : {retained: contents.retainedDigest()}),
    }),
    dispose: () => contents.dispose(),
  };
}
