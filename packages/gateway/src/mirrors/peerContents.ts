/** Checks of the mirror contents that peers send; their releases may differ. */
import type {
  MirrorChange,
  MirrorSnapshot,
  SyncStatus,
} from '@skylarkfield/protocol';
import type {MirrorStep} from './mirror.js';

/**
 * Returns whether a step has revisions that later ones exceed, and readable
 * changes.
 *
 * @example
 * isReadableStep({from: 1, to: 1e300, changes: []}); // false
 */
export function isReadableStep(step: Partial<MirrorStep> | undefined): boolean {
  return (
    isRevision(step?.from) &&
    isRevision(step?.to) &&
    isReadableList(step?.changes)
  );
}

/**
 * Returns whether a copy has revisions that later ones exceed, and readable
 * objects.
 *
 * @example
 * if (isReadableSnapshot(snapshot)) { mirror.applyCopy(snapshot); }
 */
export function isReadableSnapshot(
  snapshot: Partial<MirrorSnapshot> | undefined,
): boolean {
  return (
    isRevision(snapshot?.revision) &&
    isRevision(snapshot?.changedAt) &&
    isReadableList(snapshot?.items) &&
    (snapshot?.retained === undefined || isReadableList(snapshot.retained))
  );
}

/**
 * Returns whether a status has revisions that later ones exceed.
 *
 * @example
 * if (isReadableStatus(status)) { mirror.confirmByPeer(status, timestamp); }
 */
export function isReadableStatus(
  status: Partial<SyncStatus> | undefined,
): boolean {
  return (
    isRevision(status?.revision) &&
    isRevision(status?.changedAt) &&
    Number.isFinite(status?.confirmedAgoMs)
  );
}

function isReadableList(
  changes: readonly Partial<MirrorChange>[] | undefined,
): boolean {
  return (
    Array.isArray(changes) &&
    (changes as readonly (Partial<MirrorChange> | null)[]).every(
      change => typeof change?.name === 'string' && isRevision(change.revision),
    )
  );
}

function isRevision(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
