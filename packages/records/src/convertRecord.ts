/** From what operators write to the accepted form, in any schema version. */
import {ServingError, type Fault} from '@skylarkfield/base';
import type {AcceptedRecords, RecordKind} from './contracts.js';
import type {Conversions} from './schemas/conversion.js';
import {customerConversions} from './schemas/customerSchemas.js';
import {endpointClassConversions} from './schemas/endpointClassSchemas.js';
import {nameField} from './schemas/fields.js';
import {moveConversions} from './schemas/moveSchemas.js';
import {serviceConversions} from './schemas/serviceSchemas.js';

/** All record kinds, services before the moves that name them. */
export const recordKinds: readonly RecordKind[] = [
  'endpoint-class',
  'service',
  'customer',
  'move',
];

const conversions: {
  readonly [K in RecordKind]: Conversions<AcceptedRecords[K]>;
} = {
  customer: customerConversions,
  service: serviceConversions,
  move: moveConversions,
  'endpoint-class': endpointClassConversions,
};

/**
 * Checks a record and converts it.
 * Throws `bad-record` that names every field at fault.
 *
 * @example
 * const service = convertRecord('service', 'booking', {schema: 2, type: 'plain', ...fields});
 */
export function convertRecord<K extends RecordKind>(
  kind: K,
  name: string,
  value: unknown,
): AcceptedRecords[K] {
  if (!nameField.safeParse(name).success) {
    throw refusal([
      {
        path: 'name',
        expected: 'lower-case letters, digits, dot, hyphen and underscore',
      },
    ]);
  }
  const known = conversions[kind] as Conversions<AcceptedRecords[K]>;
  const schema = schemaOf(value);
  const convert = schema === undefined ? undefined : known[schema];
  if (convert === undefined) {
    const versions = Object.keys(known).join(' or ');
    throw refusal([{path: 'schema', expected: `schema version ${versions}`}]);
  }
  return convert(name, value);
}

function schemaOf(value: unknown): number | undefined {
  if (typeof value !== 'object' || value === null || !('schema' in value)) {
    return undefined;
  }
  return typeof value.schema === 'number' ? value.schema : undefined;
}

function refusal(faults: readonly Fault[]): ServingError {
  const lines = faults.map(fault => `${fault.path}: ${fault.expected}`);
  return new ServingError('bad-record', lines.join('; '), {faults});
}
