/** Writes the statuses of records, and never an older one over a newer. */
import {isServingError, type Clock} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {RecordVersion} from '@skylarkfield/protocol';
import type {AcceptedObject} from './acceptedShapes.js';
import {
  isSameStatus,
  readStatus,
  STATUS_KIND,
  type RecordStatus,
} from './recordStatus.js';
import {conditionOn} from './writeCondition.js';

export interface StatusWriter {
  /** Writes unless the same or a newer status stands; true when written. */
  write(key: string, status: Omit<RecordStatus, 'at'>): Promise<boolean>;
  /** Whether the status already says that this accepted form is in force. */
  isInForce(key: string, accepted: AcceptedObject): Promise<boolean>;
  expectConfirmation(key: string, accepted: AcceptedObject): void;
  /** Accepted versions that not every live member has confirmed. */
  unconfirmed(): readonly RecordVersion[];
  confirm(
    asked: readonly RecordVersion[],
    lacking: readonly string[],
  ): Promise<void>;
  /** Removes the status of a record that is neither there nor accepted. */
  drop(key: string): Promise<void>;
  /** Lists all statuses and returns their keys. */
  load(): Promise<readonly string[]>;
  /** Reads a status again after another acceptor wrote it. */
  refresh(key: string): Promise<void>;
}

/** Names of waiting members in a status; more help nobody. */
const MAX_WAITING_NAMES = 10;
/** How often a status says anew who is waited for. */
const WAITING_UPDATE_MS = 5000;

/**
 * Makes a writer.
 *
 * @example
 * await statuses.write('service.booking', {state: 'refused', sourceVersion: 7, faults, waitingFor: []});
 */
export function createStatusWriter(options: {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly canAct: () => boolean;
  readonly signal: AbortSignal;
}): StatusWriter {
  const {clock, store, signal} = options;
  const known = new Map<string, StoredObject | undefined>();
  const pending = new Map<string, RecordVersion>();
  let waitingSaidAt = -Infinity;

  async function read(key: string): Promise<StoredObject | undefined> {
    if (!known.has(key)) {
      known.set(key, await store.get(STATUS_KIND, key, signal));
    }
    return known.get(key);
  }

  async function write(
    key: string,
    status: Omit<RecordStatus, 'at'>,
  ): Promise<boolean> {
    const present = await read(key);
    const syncStatus = readStatus(present?.value);
    const next = {...status, at: clock.wall()};
    if (syncStatus !== undefined) {
      if (isOvertaken(next, syncStatus) || isSameStatus(syncStatus, next)) {
        return false;
      }
    }
    if (!options.canAct()) {
      return false;
    }
    known.delete(key);
    const condition = conditionOn(present);
    known.set(key, await store.put(STATUS_KIND, key, next, condition, signal));
    return true;
  }

  async function sayInForce(record: RecordVersion, key: string): Promise<void> {
    const syncStatus = readStatus((await read(key))?.value);
    if (syncStatus?.state === 'removed') {
      await removeStatus(key);
      return;
    }
    if (syncStatus?.state !== 'accepted') {
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
    const present = await read(key);
    known.delete(key);
    await store.remove(STATUS_KIND, key, conditionOn(present), signal);
  }

  async function sayWaiting(lacking: readonly string[]): Promise<void> {
    if (clock.now() - waitingSaidAt < WAITING_UPDATE_MS) {
      return;
    }
    waitingSaidAt = clock.now();
    const waitingFor = [...lacking].sort().slice(0, MAX_WAITING_NAMES);
    for (const key of pending.keys()) {
      const syncStatus = readStatus((await read(key))?.value);
      if (syncStatus !== undefined) {
        await write(key, {...syncStatus, waitingFor});
      }
    }
  }

  return {
    write,
    async isInForce(key, accepted) {
      const syncStatus = readStatus((await read(key))?.value);
      if (accepted.isRemoved) {
        return syncStatus === undefined;
      }
      return (
        syncStatus?.state === 'in-force' &&
        syncStatus.sourceVersion === accepted.sourceVersion
      );
    },
    expectConfirmation(key, {sourceVersion}) {
      const dot = key.indexOf('.');
      const kind = key.slice(0, dot);
      const name = key.slice(dot + 1);
      pending.set(key, {kind, name, sourceVersion});
    },
    unconfirmed: () => [...pending.values()],
    async confirm(asked, lacking) {
      if (lacking.length > 0) {
        await sayWaiting(lacking);
        return;
      }
      const askedVersions = new Set(asked);
      for (const [key, record] of [...pending]) {
        // A version accepted since the question was asked has not been confirmed.
        if (!askedVersions.has(record)) {
          continue;
        }
        try {
          await sayInForce(record, key);
          pending.delete(key);
        } catch (error) {
          known.delete(key);
          if (!isServingError(error, 'version-conflict')) {
            throw error;
          }
        }
      }
    },
    async drop(key) {
      if ((await read(key)) !== undefined) {
        await removeStatus(key);
      }
    },
    async load() {
      const {objects} = await store.list(STATUS_KIND, signal);
      const own = objects.filter(
        object => readStatus(object.value) !== undefined,
      );
      for (const object of own) {
        known.set(object.name, object);
      }
      return own.map(object => object.name);
    },
    async refresh(key) {
      known.delete(key);
      await read(key);
    },
  };
}

/** Whether another acceptor has already reported something newer. */
function isOvertaken(
  next: Omit<RecordStatus, 'at'>,
  syncStatus: RecordStatus,
): boolean {
  if (syncStatus.sourceVersion > next.sourceVersion) {
    return true;
  }
  // An acceptor with an old view refuses what has been accepted since.
  return (
    next.state === 'refused' &&
    (syncStatus.acceptedVersion ?? -1) >= next.sourceVersion
  );
}
