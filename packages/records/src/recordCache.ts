/**
 * Cache of the records that operators wrote and of their accepted forms, kept
 * up to date by watches.
 */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {AcceptanceInput, SourceRecord} from './acceptanceDecision.js';
import {parseAcceptedRecord, type AcceptedObject} from './acceptedSchemas.js';
import {ACCEPTED_KIND} from './configuration.js';
import type {Move, RecordKind} from './contracts.js';
import {recordKinds} from './convertRecord.js';
import {recordKey} from './recordTable.js';

export interface RecordCache extends Disposable {
  /**
   * Returns whether every kind is listed. Until then, a record that is absent
   * in the cache may exist on the platform.
   */
  isComplete(): boolean;
  /** Returns the input for the decision on a record. */
  acceptanceInput(key: string, wallMs: number): AcceptanceInput;
  acceptedObject(key: string): StoredObject<AcceptedObject> | undefined;
  updateAccepted(
    key: string,
    object: StoredObject<AcceptedObject> | undefined,
  ): void;
  /** Returns the keys sorted, services before the moves that refer to them. */
  sortByDependency(keys: Iterable<string>): readonly string[];
  /** Returns whether this record can affect the decision on a move. */
  canAffectMoves(key: string): boolean;
  /** Returns the keys of all moves that operators have written. */
  moveKeys(): readonly string[];
  parseRecordKey(key: string): {
    readonly kind: RecordKind;
    readonly name: string;
  };
}

/**
 * Starts to watch the source records and the accepted objects.
 *
 * @example
 * const cache = createRecordCache({store, onDidChange: key => queue.add(key)});
 */
export function createRecordCache(options: {
  readonly store: ObjectStore;
  readonly onDidChange: (key: string) => void;
  /** Called with every new version of an accepted object. */
  readonly onDidAccept?: (key: string, accepted: AcceptedObject) => void;
}): RecordCache {
  const {store, onDidChange, onDidAccept} = options;
  const disposables = createDisposableStore();
  const sources = new Map<string, SourceRecord>();
  /** Store versions at which a removed record was observed to be absent. */
  const removalVersions = new Map<string, number>();
  const acceptedObjects = new Map<string, StoredObject<AcceptedObject>>();
  const listedKinds = new Set<string>();
  /** Store version of the last listing of each kind. */
  const listVersions = new Map<string, number>();

  function isComplete(): boolean {
    return listedKinds.size === recordKinds.length + 1;
  }

  function notifyAll(): void {
    for (const key of new Set([...sources.keys(), ...acceptedObjects.keys()])) {
      onDidChange(key);
    }
  }

  function markListed(kind: string): void {
    listedKinds.add(kind);
    notifyAll();
  }

  function updateAccepted(
    key: string,
    object: StoredObject<AcceptedObject> | undefined,
  ): void {
    const currentObject = acceptedObjects.get(key);
    // The reply to a write and the watch may deliver the same change in either
    // order.
    if (
      object !== undefined &&
      (currentObject?.version ?? 0) < object.version
    ) {
      acceptedObjects.set(key, object);
      onDidAccept?.(key, object.value);
    }
    if (object === undefined) {
      acceptedObjects.delete(key);
    }
  }

  function watchSource(kind: RecordKind): void {
    disposables.add(
      store.watch(kind, {
        onDidList({version, objects}) {
          for (const key of [...sources.keys()]) {
            if (parseRecordKey(key).kind === kind) {
              sources.delete(key);
            }
          }
          listVersions.set(kind, version);
          for (const object of objects) {
            updateSource(kind, object);
          }
          markListed(kind);
        },
        onDidPut(object) {
          updateSource(kind, object);
          onDidChange(recordKey({kind, name: object.name}));
        },
        onDidRemove(name, version) {
          const key = recordKey({kind, name});
          sources.delete(key);
          removalVersions.set(key, version);
          onDidChange(key);
        },
      }),
    );
  }

  function updateSource(kind: RecordKind, object: StoredObject): void {
    const key = recordKey({kind, name: object.name});
    sources.set(key, {version: object.version, value: object.value});
    removalVersions.delete(key);
  }

  function watchAccepted(): void {
    disposables.add(
      store.watch<AcceptedObject>(ACCEPTED_KIND, {
        onDidList({objects}) {
          acceptedObjects.clear();
          objects.forEach(object => updateAccepted(object.name, object));
          markListed(ACCEPTED_KIND);
        },
        onDidPut(object) {
          updateAccepted(object.name, object);
          onDidChange(object.name);
        },
        onDidRemove(name) {
          acceptedObjects.delete(name);
          onDidChange(name);
        },
      }),
    );
  }

  function listAcceptedValues(kind: RecordKind): readonly unknown[] {
    return [...acceptedObjects.values()].flatMap(({name, value}) => {
      const record = parseAcceptedRecord(name, value);
      return record?.kind === kind && !record.isRemoved ? [record.value] : [];
    });
  }

  const acceptedIndex = {
    hasService(name: string) {
      const key = recordKey({kind: 'service', name});
      const record = parseAcceptedRecord(key, acceptedObjects.get(key)?.value);
      return record?.isRemoved === false;
    },
    moves: () => listAcceptedValues('move') as readonly Move[],
  };

  watchAccepted();
  recordKinds.forEach(watchSource);
  return {
    isComplete,
    acceptanceInput(key, wallMs) {
      const {kind, name} = parseRecordKey(key);
      return {
        kind,
        name,
        source: sources.get(key),
        removalVersion: Math.max(
          removalVersions.get(key) ?? 0,
          listVersions.get(kind) ?? 0,
        ),
        accepted: acceptedObjects.get(key)?.value,
        acceptedIndex,
        wallMs,
      };
    },
    acceptedObject: key => acceptedObjects.get(key),
    updateAccepted,
    sortByDependency(keys) {
      const kindIndex = (key: string) =>
        recordKinds.indexOf(parseRecordKey(key).kind);
      return [...keys].sort((a, b) => kindIndex(a) - kindIndex(b));
    },
    canAffectMoves: key =>
      ['move', 'service'].includes(parseRecordKey(key).kind),
    moveKeys: () =>
      [...sources.keys()].filter(key => parseRecordKey(key).kind === 'move'),
    parseRecordKey,
    dispose: () => disposables.dispose(),
  };
}

function parseRecordKey(key: string): {kind: RecordKind; name: string} {
  const separator = key.indexOf('.');
  return {
    kind: key.slice(0, separator) as RecordKind,
    name: key.slice(separator + 1),
  };
}
