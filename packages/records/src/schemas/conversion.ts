/** How a schema version of a record kind becomes the accepted form. */
import {checkShape} from '@skylarkfield/base';
import type * as z from 'zod';

/** Checks a record of one schema version and converts it; throws `bad-record` with its faults. */
export type Conversion<Accepted> = (name: string, value: unknown) => Accepted;

/** Conversions by schema version. */
export type Conversions<Accepted> = Readonly<
  Record<number, Conversion<Accepted>>
>;

/**
 * Makes a conversion from a schema and a mapping to the accepted form.
 *
 * @example
 * conversion(first, (name, record) => ({name, checksFencing: record.checksFencing}));
 */
export function conversion<Schema extends z.ZodType, Accepted>(
  schema: Schema,
  toAccepted: (name: string, record: z.output<Schema>) => Accepted,
): Conversion<Accepted> {
  return (name, value) =>
    toAccepted(name, checkShape(schema, value, 'bad-record', 'record'));
}
