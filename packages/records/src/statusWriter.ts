/** Writes record statuses, never an older one over a newer one. */
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
  /** Writes unless an equal or newer status is stored; true if written. */
  write(key: string, status: Omit<RecordStatus, 'at'>): Promise<boolean>;
  /** Returns whether the status reports this accepted form as in force. */
  isInForce(key: string, accepted: AcceptedObject): Promise<boolean>;
  awaitConfirmation(key: string, accepted: AcceptedObject): void;
  /** Returns accepted versions that not every live member has confirmed. */
  unconfirmed(): readonly RecordVersion[];
  handleConfirmation(
    queried: readonly RecordVersion[],
    lacking: readonly string[],
  ): Promise<void>;
  /** Removes the status of a record without a source and an accepted form. */
  remove(key: string): Promise<void>;
  /** Lists all statuses and returns their keys. */
  load(): Promise<readonly string[]>;
  /** Reads a status again after another acceptor wrote it. */
  reload(key: string): Promise<void>;
}

/** Maximum number of members in `waitingFor`; more do not help an operator. */
const MAX_WAITING_MEMBERS = 10;
/** Minimum interval between updates of `waitingFor`. */
const WAITING_UPDATE_INTERVAL_MS = 5000;

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
  const cached = new Map<string, StoredObject | undefined>();
  const pending = new Map<string, RecordVersion>();
  let waitingWrittenAt = -Infinity;

  async function read(key: string): Promise<StoredObject | undefined> {
    if (!cached.has(key)) {
      cached.set(key, await store.get(STATUS_KIND, key, signal));
    }
    return cached.get(key);
  }

  async function write(
    key: string,
    status: Omit<RecordStatus, 'at'>,
  ): Promise<boolean> {
    const current = await read(key);
    const currentStatus = parseStatus(current?.value);
    const next = {...status, at: clock.wall()};
    if (currentStatus !== undefined) {
      if (
        isSuperseded(next, currentStatus) ||
        isSameStatus(currentStatus, next)
      ) {
        return false;
      }
    }
    if (!options.canAct()) {
      return false;
    }
    cached.delete(key);
    const condition = unchangedCondition(current);
    cached.set(key, await store.put(STATUS_KIND, key, next, condition, signal));
    return true;
  }

  async function writeInForce(
    record: RecordVersion,
    key: string,
  ): Promise<void> {
    const currentStatus = parseStatus((await read(key))?.value);
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
    const current = await read(key);
    cached.delete(key);
    await store.remove(STATUS_KIND, key, unchangedCondition(current), signal);
  }

  async function writeWaiting(lacking: readonly string[]): Promise<void> {
    if (clock.now() - waitingWrittenAt < WAITING_UPDATE_INTERVAL_MS) {
      return;
    }
    waitingWrittenAt = clock.now();
    const waitingFor = [...lacking].sort().slice(0, MAX_WAITING_MEMBERS);
    for (const key of pending.keys()) {
      const currentStatus = parseStatus((await read(key))?.value);
      if (currentStatus !== undefined) {
        await write(key, {...currentStatus, waitingFor});
      }
    }
  }

  return {
    write,
    async isInForce(key, accepted) {
      const currentStatus = parseStatus((await read(key))?.value);
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
      pending.set(key, {kind, name, sourceVersion});
    },
    unconfirmed: () => [...pending.values()],
    async handleConfirmation(queried, lacking) {
      if (lacking.length > 0) {
        await writeWaiting(lacking);
        return;
      }
      const queriedVersions = new Set(queried);
      for (const [key, record] of [...pending]) {
        // The query does not confirm a version accepted after it was sent.
        if (!queriedVersions.has(record)) {
          continue;
        }
        try {
          await writeInForce(record, key);
          pending.delete(key);
        } catch (error) {
          cached.delete(key);
          if (!isServingError(error, 'version-conflict')) {
            throw error;
          }
        }
      }
    },
    async remove(key) {
      if ((await read(key)) !== undefined) {
        await removeStatus(key);
      }
    },
    async load() {
      const {objects} = await store.list(STATUS_KIND, signal);
      const statuses = objects.filter(
        object => parseStatus(object.value) !== undefined,
      );
      for (const object of statuses) {
        cached.set(object.name, object);
      }
      return statuses.map(object => object.name);
    },
    async reload(key) {
      cached.delete(key);
      await read(key);
    },
  };
}

/** Returns whether another acceptor has already reported a newer status. */
function isSuperseded(
  next: Omit<RecordStatus, 'at'>,
  currentStatus: RecordStatus,
): boolean {
  if (currentStatus.sourceVersion > next.sourceVersion) {
    return true;
  }
  // An acceptor with a stale cache rejects a version accepted since.
  return (
    next.state === 'refused' &&
    (currentStatus.acceptedVersion ?? -1) >= next.sourceVersion
  );
}
