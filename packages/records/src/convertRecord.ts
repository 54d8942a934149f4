/** Conversion of records in any schema version to the accepted form. */
import {ServingError, type ValidationFault} from '@skylarkfield/base';
import type {AcceptedRecordTypes, RecordKind} from './contracts.js';
import type {Conversions} from './schemas/conversion.js';
import {customerConversions} from './schemas/customerSchemas.js';
import {endpointClassConversions} from './schemas/endpointClassSchemas.js';
import {nameField} from './schemas/fields.js';
import {moveConversions} from './schemas/moveSchemas.js';
import {serviceConversions} from './schemas/serviceSchemas.js';

/** All record kinds, services before the moves that refer to them. */
export const recordKinds: readonly RecordKind[] = [
  'endpoint-class',
  'service',
  'customer',
  'move',
];

const conversions: {
  readonly [K in RecordKind]: Conversions<AcceptedRecordTypes[K]>;
} = {
  customer: customerConversions,
  service: serviceConversions,
  move: moveConversions,
  'endpoint-class': endpointClassConversions,
};

/**
 * Validates a record and converts it to the accepted form. Throws a
 * `bad-record` error that lists every invalid field.
 *
 * @example
 * const service = convertRecord('service', 'booking', {schema: 2, ...fields});
 */
export function convertRecord<K extends RecordKind>(
  kind: K,
  name: string,
  value: unknown,
): AcceptedRecordTypes[K] {
  if (!nameField.safeParse(name).success) {
    throw badRecordError([
      {
        path: 'name',
        expected: 'lower-case letters, digits, dot, hyphen and underscore',
      },
    ]);
  }
  const conversionsOfKind = conversions[kind] as Conversions<
    AcceptedRecordTypes[K]
  >;
  const schemaVersion = getSchemaVersion(value);
  const convert =
    schemaVersion === undefined ? undefined : conversionsOfKind[schemaVersion];
  if (convert === undefined) {
    const versions = Object.keys(conversionsOfKind).join(' or ');
    throw badRecordError([
      {path: 'schema', expected: `schema version ${versions}`},
    ]);
  }
  return convert(name, value);
}

function getSchemaVersion(value: unknown): number | undefined {
  if (typeof value !== 'object' || value === null || !('schema' in value)) {
    return undefined;
  }
  return typeof value.schema === 'number' ? value.schema : undefined;
}

function badRecordError(faults: readonly ValidationFault[]): ServingError {
  const messages = faults.map(fault => `${fault.path}: ${fault.expected}`);
  return new ServingError('bad-record', messages.join('; '), {faults});
}
