/** Access of record and status commands to the platform's object API. */
import {Flags} from '@oclif/core';
import {ServingError} from '@skylarkfield/base';
import {createHttpObjectStore, type ObjectStore} from '@skylarkfield/providers';

/** Kinds of records that operators can write and remove. */
export const recordKinds = [
  'customer',
  'service',
  'move',
  'endpoint-class',
] as const;

/** Flag shared by all commands that access the object API. */
export const platformFlag = Flags.string({
  required: true,
  env: 'SKYLARKFIELD_PLATFORM',
  description: "address of the platform's object API",
});

/**
 * Runs a callback with an object store and disposes the store afterwards.
 *
 * @example
 * await withStore(flags.platform, store => store.list('service'));
 */
export async function withStore<T>(
  url: string,
  callback: (store: ObjectStore) => Promise<T>,
): Promise<T> {
  const store = createHttpObjectStore({url, writer: `operator-${process.pid}`});
  try {
    return await callback(store);
  } finally {
    store.dispose();
  }
}

/** Contents of a record file. */
export interface RecordFile {
  readonly kind: string;
  readonly name: string;
  readonly value: unknown;
}

/**
 * Separates kind and name from the value of a record file:
 * `{"kind", "name", "schema", …}`. Throws `bad-record` if the content is not an
 * object or has an invalid kind or name.
 *
 * @example
 * const record = parseRecordFile(readJsonFile('booking.json', 'bad-record'));
 */
export function parseRecordFile(fileContent: unknown): RecordFile {
  if (typeof fileContent !== 'object' || fileContent === null) {
    throw badRecordError('', 'an object');
  }
  const {kind, name, ...value} = fileContent as Record<string, unknown>;
  if (!recordKinds.includes(kind as never)) {
    throw badRecordError('kind', `one of ${recordKinds.join(', ')}`);
  }
  if (typeof name !== 'string' || name === '') {
    throw badRecordError('name', 'a non-empty string');
  }
  return {kind: kind as string, name, value};
}

function badRecordError(path: string, expected: string): ServingError {
  return new ServingError('bad-record', `${path || 'record'}: ${expected}`, {
    faults: [{path, expected}],
  });
}
