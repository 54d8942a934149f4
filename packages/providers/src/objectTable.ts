/**
 * The object API's rules without any transport: versions, conditions, history.
 * Both the in-process fake and the HTTP stand-in keep their objects in one of
 * these, so that a test passes on both for the same reason.
 */
import {
  emitter,
  ServingError,
  type Disposable,
  type Event,
} from '@skylarkfield/base';
import type {ObjectListing, StoredObject, WriteCondition} from './contracts.js';

/** One change, as a watch tells it. */
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

/** One write as it reaches the table. */
export interface ObjectWrite {
  readonly kind: string;
  readonly name: string;
  readonly writeId: string;
  readonly condition: WriteCondition;
}

export interface ObjectTable extends Disposable {
  version(): number;
  get(kind: string, name: string): StoredObject | undefined;
  list(kind: string): ObjectListing;
  /** Throws `version-conflict` or `too-large`. */
  put(write: ObjectWrite, value: unknown): StoredObject;
  /** Throws `version-conflict`; resolves for an object that is already gone. */
  remove(write: ObjectWrite): void;
  /** Changes of a kind after a version; undefined when they are no longer kept. */
  changesSince(
    kind: string,
    version: number,
  ): readonly ObjectChange[] | undefined;
  readonly onDidChange: Event<ObjectChange>;
  /** Forgets the history, so that watches from older versions must list again. */
  compact(): void;
}

/** The most bytes of JSON that one value may have. */
export const MAX_VALUE_BYTES = 1_048_576;

const DEFAULT_HISTORY = 10_000;

/**
 * Makes an empty table that keeps the given number of changes as history.
 *
 * @example
 * const table = createObjectTable();
 * table.put({kind: 'service', name: 'booking', writeId: 'w1', condition: {type: 'absent'}}, value);
 */
export function createObjectTable(historyLimit = DEFAULT_HISTORY): ObjectTable {
  const kinds = new Map<string, Map<string, StoredObject>>();
  const changed = emitter<ObjectChange>();
  let history: ObjectChange[] = [];
  let version = 0;
  let compactedTo = 0;

  function objectsOf(kind: string): Map<string, StoredObject> {
    let objects = kinds.get(kind);
    if (objects === undefined) {
      objects = new Map();
      kinds.set(kind, objects);
    }
    return objects;
  }

  function note(change: ObjectChange): void {
    history.push(change);
    if (history.length > historyLimit * 2) {
      history = history.slice(-historyLimit);
      compactedTo = (history[0]?.version ?? version + 1) - 1;
    }
    changed.fire(change);
  }

  return {
    version: () => version,
    get: (kind, name) => objectsOf(kind).get(name),
    list: kind => ({version, objects: [...objectsOf(kind).values()]}),
    put(write, value) {
      const text = checkedText(write, value);
      const objects = objectsOf(write.kind);
      checkCondition(write, objects.get(write.name));
      version += 1;
      const {kind, name, writeId} = write;
      const copy: unknown = JSON.parse(text);
      const object = {kind, name, version, writeId, value: copy};
      objects.set(name, object);
      note({type: 'put', kind, name, version, writeId, object});
      return object;
    },
    remove(write) {
      const objects = objectsOf(write.kind);
      const present = objects.get(write.name);
      if (present === undefined) {
        return;
      }
      checkCondition(write, present);
      version += 1;
      objects.delete(write.name);
      const {kind, name, writeId} = write;
      note({type: 'remove', kind, name, version, writeId});
    },
    changesSince(kind, from) {
      if (from < compactedTo) {
        return undefined;
      }
      return history.filter(
        change => change.kind === kind && change.version > from,
      );
    },
    onDidChange: changed.event,
    compact() {
      history = [];
      compactedTo = version;
    },
    dispose: () => changed.dispose(),
  };
}

function checkedText(write: ObjectWrite, value: unknown): string {
  const text = JSON.stringify(value);
  if (text === undefined) {
    throw new ServingError(
      'bad-request',
      `${write.kind}/${write.name} has no value that JSON can carry`,
    );
  }
  // A value is never longer in bytes than four times its length in characters.
  if (text.length * 4 <= MAX_VALUE_BYTES) {
    return text;
  }
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_VALUE_BYTES) {
    throw new ServingError(
      'too-large',
      `${write.kind}/${write.name} has ${bytes} bytes, ${MAX_VALUE_BYTES} are allowed`,
    );
  }
  return text;
}

function checkCondition(
  write: ObjectWrite,
  present: StoredObject | undefined,
): void {
  if (isMet(write.condition, present)) {
    return;
  }
  const found = present === undefined ? 'absent' : `at ${present.version}`;
  throw new ServingError(
    'version-conflict',
    `${write.kind}/${write.name} is ${found}, the write wants ${describeCondition(write.condition)}`,
  );
}

function isMet(
  condition: WriteCondition,
  present: StoredObject | undefined,
): boolean {
  switch (condition.type) {
    case 'any':
      return true;
    case 'absent':
      return present === undefined;
    case 'version':
      return present?.version === condition.version;
  }
}

function describeCondition(condition: WriteCondition): string {
  return condition.type === 'version'
    ? `version ${condition.version}`
    : condition.type;
}
