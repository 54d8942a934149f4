/** How record commands reach the platform's object API. */
import {Flags} from '@oclif/core';
import {ServingError} from '@skylarkfield/base';
import {createHttpObjectStore, type ObjectStore} from '@skylarkfield/providers';

/** Kinds that operators write. */
export const recordKinds = [
  'customer',
  'service',
  'move',
  'endpoint-class',
] as const;

/** The flag that every command on records has. */
export const platformFlag = Flags.string({
  required: true,
  env: 'SKYLARKFIELD_PLATFORM',
  description: "address of the platform's object API",
});

/**
 * Runs a function with a store and closes it afterwards.
 *
 * @example
 * await withStore(flags.platform, store => store.list('service'));
 */
export async function withStore<T>(
  url: string,
  use: (store: ObjectStore) => Promise<T>,
): Promise<T> {
  const store = createHttpObjectStore({url, writer: `operator-${process.pid}`});
  try {
    return await use(store);
  } finally {
    store.dispose();
  }
}

/** A record as operators keep it in a file. */
export interface RecordFile {
  readonly kind: string;
  readonly name: string;
  readonly value: unknown;
}

/**
 * Reads kind and name out of a record file: `{"kind", "name", "schema", …}`.
 * Throws `bad-record`.
 *
 * @example
 * const record = splitRecordFile(readJsonFile('booking.json', 'bad-record'));
 */
export function splitRecordFile(content: unknown): RecordFile {
  if (typeof content !== 'object' || content === null) {
    throw badRecord('', 'an object');
  }
  const {kind, name, ...value} = content as Record<string, unknown>;
  if (!recordKinds.includes(kind as never)) {
    throw badRecord('kind', `one of ${recordKinds.join(', ')}`);
  }
  if (typeof name !== 'string' || name === '') {
    throw badRecord('name', 'a name');
  }
  return {kind: kind as string, name, value};
}

function badRecord(path: string, expected: string): ServingError {
  return new ServingError('bad-record', `${path || 'record'}: ${expected}`, {
    faults: [{path, expected}],
  });
}
