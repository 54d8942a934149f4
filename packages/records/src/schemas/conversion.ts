/** Conversion of the schema versions of a record kind to the accepted form. */
import {validateShape} from '@skylarkfield/base';
import type * as z from 'zod';

/** Validates and converts a record; throws `bad-record` with the faults. */
export type Conversion<Accepted> = (name: string, value: unknown) => Accepted;

/** Conversions by schema version. */
export type Conversions<Accepted> = Readonly<
  Record<number, Conversion<Accepted>>
>;

/**
 * Creates a conversion from a schema and a mapping to the accepted form.
 *
 * @example
 * createConversion(schemaV1, (name, {weight}) => ({name, weight}));
 */
export function createConversion<Schema extends z.ZodType, Accepted>(
  schema: Schema,
  toAccepted: (name: string, record: z.output<Schema>) => Accepted,
): Conversion<Accepted> {
  return (name, value) =>
    toAccepted(name, validateShape(schema, value, 'bad-record', 'record'));
}
