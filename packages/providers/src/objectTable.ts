/**
 * In-memory implementation of the object API without transport: versions,
 * conditions, history. The in-process fake and the HTTP stand-in both store
 * their objects in this table, so that tests see the same semantics in both.
 */
import {
  createEmitter,
  ServingError,
  type Disposable,
  type Event,
} from '@skylarkfield/base';
import type {ObjectListing, StoredObject, WriteCondition} from './contracts.js';
import {createStoreRevision, eraOf, revisionInEra} from './storeRevision.js';

/** A change, as a watch delivers it. */
export type ObjectChange =
  | {
      readonly type: 'put';
      readonly kind: string;
      readonly name: string;
      readonly version: number;
      readonly writeId: string;
      readonly object: StoredObject;
    }
  | {
      readonly type: 'remove';
      readonly kind: string;
      readonly name: string;
      readonly version: number;
      readonly writeId: string;
    };

/** Target, id and precondition of a write. */
export interface ObjectWrite {
  readonly kind: string;
  readonly name: string;
  readonly writeId: string;
  readonly condition: WriteCondition;
}

/** State of a table at one version. */
export interface ObjectTableCopy {
  readonly version: number;
  readonly objects: readonly StoredObject[];
}

export interface ObjectTable extends Disposable {
  /** Version of the last change of any object; 0 before the first change. */
  version(): number;
  get(kind: string, name: string): StoredObject | undefined;
  list(kind: string): ObjectListing;
  /**
   * Throws `version-conflict` if the condition is not met, `too-large` if the
   * value exceeds `MAX_VALUE_BYTES`, `bad-request` if JSON cannot represent it.
   */
  put(write: ObjectWrite, value: unknown): StoredObject;
  /**
   * Does nothing if the object does not exist. Throws `version-conflict` if the
   * condition is not met.
   */
  remove(write: ObjectWrite): void;
  /**
   * Returns the changes of objects of a kind after a version; undefined if the
   * history after that version has been compacted.
   */
  changesSince(
    kind: string,
    version: number,
  ): readonly ObjectChange[] | undefined;
  readonly onDidChange: Event<ObjectChange>;
  /** Discards the history; watches from older versions then have to re-list. */
  compact(): void;
  takeCopy(): ObjectTableCopy;
  /**
   * Returns to the state of a copy in a new era: later changes are gone, and
   * their revisions are assigned again. The history is discarded.
   */
  restore(copy: ObjectTableCopy): void;
}

/** Maximum size of a value as JSON, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

const DEFAULT_HISTORY_LIMIT = 10_000;

/**
 * Creates an empty table that keeps at least the last `historyLimit` changes.
 *
 * @example
 * const table = createObjectTable();
 * table.put({kind: 'service', name: 'booking', writeId: 'w1', condition: {type: 'absent'}}, value);
 */
export function createObjectTable(
  historyLimit = DEFAULT_HISTORY_LIMIT,
): ObjectTable {
  const objectsByKind = new Map<string, Map<string, StoredObject>>();
  const changeEmitter = createEmitter<ObjectChange>();
  let history: ObjectChange[] = [];
  let version = 0;
  let compactedVersion = 0;

  function getOrCreateObjects(kind: string): Map<string, StoredObject> {
    let objects = objectsByKind.get(kind);
    if (objects === undefined) {
      objects = new Map();
      objectsByKind.set(kind, objects);
    }
    return objects;
  }

  function recordChange(change: ObjectChange): void {
    history.push(change);
    if (history.length > historyLimit * 2) {
      history = history.slice(-historyLimit);
      compactedVersion = (history[0]?.version ?? version + 1) - 1;
    }
    changeEmitter.fire(change);
  }

  return {
    version: () => version,
    get: (kind, name) => getOrCreateObjects(kind).get(name),
    list: kind => ({version, objects: [...getOrCreateObjects(kind).values()]}),
    put(write, value) {
      const json = serializeValue(write, value);
      const objects = getOrCreateObjects(write.kind);
      checkCondition(write, objects.get(write.name));
      version += 1;
      const {kind, name, writeId} = write;
      const copy: unknown = JSON.parse(json);
      const object = {kind, name, version, writeId, value: copy};
      objects.set(name, object);
      recordChange({type: 'put', kind, name, version, writeId, object});
      return object;
    },
    remove(write) {
      const objects = getOrCreateObjects(write.kind);
      const currentObject = objects.get(write.name);
      if (currentObject === undefined) {
        return;
      }
      checkCondition(write, currentObject);
      version += 1;
      objects.delete(write.name);
      const {kind, name, writeId} = write;
      recordChange({type: 'remove', kind, name, version, writeId});
    },
    changesSince(kind, fromVersion) {
      if (fromVersion < compactedVersion) {
        return undefined;
      }
      return history.filter(
        change => change.kind === kind && change.version > fromVersion,
      );
    },
    onDidChange: changeEmitter.event,
    compact() {
      history = [];
      compactedVersion = version;
    },
    takeCopy: () => ({
      version,
      objects: [...objectsByKind.values()].flatMap(objects => [
        ...objects.values(),
      ]),
    }),
    restore(copy) {
      const era = eraOf(version) + 1;
      const toNewEra = (position: number) =>
        createStoreRevision(era, revisionInEra(position));
      objectsByKind.clear();
      for (const object of copy.objects) {
        getOrCreateObjects(object.kind).set(object.name, {
          ...object,
          version: toNewEra(object.version),
        });
      }
      version = toNewEra(copy.version);
      history = [];
      compactedVersion = version;
    },
    dispose: () => changeEmitter.dispose(),
  };
}

function serializeValue(write: ObjectWrite, value: unknown): string {
  const json = JSON.stringify(value);
  if (json === undefined) {
    throw new ServingError(
      'bad-request',
      `${write.kind}/${write.name} has a value that JSON cannot represent`,
    );
  }
  // Skips counting the bytes: UTF-8 needs at most four bytes per character.
  if (json.length * 4 <= MAX_VALUE_BYTES) {
    return json;
  }
  const bytes = Buffer.byteLength(json);
  if (bytes > MAX_VALUE_BYTES) {
    throw new ServingError(
      'too-large',
      `${write.kind}/${write.name} has ${bytes} bytes, the limit is ${MAX_VALUE_BYTES}`,
    );
  }
  return json;
}

function checkCondition(
  write: ObjectWrite,
  currentObject: StoredObject | undefined,
): void {
  if (isConditionMet(write.condition, currentObject)) {
    return;
  }
  const actualState =
    currentObject === undefined ? 'absent' : `at ${currentObject.version}`;
  throw new ServingError(
    'version-conflict',
    `${write.kind}/${write.name} is ${actualState}, the write requires ${describeCondition(write.condition)}`,
  );
}

function isConditionMet(
  condition: WriteCondition,
  currentObject: StoredObject | undefined,
): boolean {
  switch (condition.type) {
    case 'any':
      return true;
    case 'absent':
      return currentObject === undefined;
    case 'version':
      return currentObject?.version === condition.version;
  }
}

function describeCondition(condition: WriteCondition): string {
  return condition.type === 'version'
    ? `version ${condition.version}`
    : condition.type;
}
