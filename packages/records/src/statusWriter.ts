/** Writes the statuses of records; never replaces a status by an older one. */
import {isServingError, type Clock} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {RecordVersion} from '@skylarkfield/protocol';
import type {AcceptedObject} from './acceptedSchemas.js';
import {
  isSameStatus,
  parseStatus,
  STATUS_KIND,
  type RecordStatus,
} from './recordStatus.js';
import {unchangedCondition} from './writeCondition.js';

export interface StatusWriter {
  /**
   * Writes a status unless an equal or newer status is stored. Resolves with
   * whether the status was written.
   */
  write(key: string, status: Omit<RecordStatus, 'at'>): Promise<boolean>;
  /**
   * Returns whether the status reports this accepted form as in force or, for a
   * removed record, whether the status has been deleted.
   */
  isInForce(key: string, accepted: AcceptedObject): Promise<boolean>;
  /** Adds an accepted version to the unconfirmed versions. */
  awaitConfirmation(key: string, accepted: AcceptedObject): void;
  /** Returns accepted versions that not every live member has confirmed. */
  unconfirmedVersions(): readonly RecordVersion[];
  /**
   * Handles the result of a query for members that lack any of the records:
   * reports the queried records as in force if there are none, and otherwise
   * writes their ids to `waitingFor` of all unconfirmed records.
   */
  handleConfirmation(
    queriedRecords: readonly RecordVersion[],
    lackingMemberIds: readonly string[],
  ): Promise<void>;
  /** Removes the status of a record, if a status is stored. */
  remove(key: string): Promise<void>;
  /** Lists all statuses and returns their keys. */
  load(): Promise<readonly string[]>;
  /** Reads a status again after another acceptor wrote it. */
  reload(key: string): Promise<void>;
}

/** Maximum length of `waitingFor`; more ids would not help operators. */
const MAX_WAITING_MEMBERS = 10;
/** Minimum interval between updates of `waitingFor`. */
const WAITING_FOR_UPDATE_INTERVAL_MS = 5000;

/**
 * Creates a status writer.
 *
 * @example
 * await statuses.write('service.booking', {state: 'refused', ...fields});
 */
export function createStatusWriter(options: {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly canAct: () => boolean;
  readonly signal: AbortSignal;
}): StatusWriter {
  const {clock, store, signal} = options;
  const cachedStatuses = new Map<string, StoredObject | undefined>();
  const unconfirmedVersions = new Map<string, RecordVersion>();
  let waitingForWrittenAt = -Infinity;

  async function readStatus(key: string): Promise<StoredObject | undefined> {
    if (!cachedStatuses.has(key)) {
      cachedStatuses.set(key, await store.get(STATUS_KIND, key, signal));
    }
    return cachedStatuses.get(key);
  }

  async function write(
    key: string,
    status: Omit<RecordStatus, 'at'>,
  ): Promise<boolean> {
    const currentObject = await readStatus(key);
    const currentStatus = parseStatus(currentObject?.value);
    const nextStatus = {...status, at: clock.wall()};
    if (currentStatus !== undefined) {
      if (
        isSuperseded(nextStatus, currentStatus) ||
        isSameStatus(currentStatus, nextStatus)
      ) {
        return false;
      }
    }
    if (!options.canAct()) {
      return false;
    }
    cachedStatuses.delete(key);
    const condition = unchangedCondition(currentObject);
    cachedStatuses.set(
      key,
      await store.put(STATUS_KIND, key, nextStatus, condition, signal),
    );
    return true;
  }

  async function writeInForce(
    record: RecordVersion,
    key: string,
  ): Promise<void> {
    const currentStatus = parseStatus((await readStatus(key))?.value);
    if (currentStatus?.state === 'removed') {
      await removeStatus(key);
      return;
    }
    if (currentStatus?.state !== 'accepted') {
      return;
    }
    await write(key, {
      state: 'in-force',
      sourceVersion: record.sourceVersion,
      acceptedVersion: record.sourceVersion,
      faults: [],
      waitingFor: [],
    });
  }

  async function removeStatus(key: string): Promise<void> {
    const currentObject = await readStatus(key);
    cachedStatuses.delete(key);
    await store.remove(
      STATUS_KIND,
      key,
      unchangedCondition(currentObject),
      signal,
    );
  }

  async function updateWaitingFor(
    lackingMemberIds: readonly string[],
  ): Promise<void> {
    if (clock.now() - waitingForWrittenAt < WAITING_FOR_UPDATE_INTERVAL_MS) {
      return;
    }
    waitingForWrittenAt = clock.now();
    const waitingFor = [...lackingMemberIds]
      .sort()
      .slice(0, MAX_WAITING_MEMBERS);
    for (const key of unconfirmedVersions.keys()) {
      const currentStatus = parseStatus((await readStatus(key))?.value);
      if (currentStatus !== undefined) {
        await write(key, {...currentStatus, waitingFor});
      }
    }
  }

  return {
    write,
    async isInForce(key, accepted) {
      const currentStatus = parseStatus((await readStatus(key))?.value);
      if (accepted.isRemoved) {
        return currentStatus === undefined;
      }
      return (
        currentStatus?.state === 'in-force' &&
        currentStatus.sourceVersion === accepted.sourceVersion
      );
    },
    awaitConfirmation(key, {sourceVersion}) {
      const separator = key.indexOf('.');
      const kind = key.slice(0, separator);
      const name = key.slice(separator + 1);
      unconfirmedVersions.set(key, {kind, name, sourceVersion});
    },
    unconfirmedVersions: () => [...unconfirmedVersions.values()],
    async handleConfirmation(queriedRecords, lackingMemberIds) {
      if (lackingMemberIds.length > 0) {
        await updateWaitingFor(lackingMemberIds);
        return;
      }
      const queriedVersions = new Set(queriedRecords);
      for (const [key, record] of [...unconfirmedVersions]) {
        // The query does not confirm versions that were accepted after the
        // query was sent.
        if (!queriedVersions.has(record)) {
          continue;
        }
        try {
          await writeInForce(record, key);
          unconfirmedVersions.delete(key);
        } catch (error) {
          cachedStatuses.delete(key);
          if (!isServingError(error, 'version-conflict')) {
            throw error;
          }
        }
      }
    },
    async remove(key) {
      if ((await readStatus(key)) !== undefined) {
        await removeStatus(key);
      }
    },
    async load() {
      const {objects} = await store.list(STATUS_KIND, signal);
      const statuses = objects.filter(
        object => parseStatus(object.value) !== undefined,
      );
      for (const object of statuses) {
        cachedStatuses.set(object.name, object);
      }
      return statuses.map(object => object.name);
    },
    async reload(key) {
      cachedStatuses.delete(key);
      await readStatus(key);
    },
  };
}

/** Returns whether another acceptor has already reported a newer status. */
function isSuperseded(
  nextStatus: Omit<RecordStatus, 'at'>,
  currentStatus: RecordStatus,
): boolean {
  if (currentStatus.sourceVersion > nextStatus.sourceVersion) {
    return true;
  }
  // An acceptor with a stale cache may reject a version that another acceptor
  // has accepted meanwhile.
  return (
    nextStatus.state === 'refused' &&
    (currentStatus.acceptedVersion ?? -1) >= nextStatus.sourceVersion
  );
}
