/** Schemas of the responses that peers give to queries about records. */
import type {
  RecordDifference,
  RecordsInForceResponse,
} from '@skylarkfield/protocol';
import * as z from 'zod';

const recordVersionSchema = z.object({
  kind: z.string(),
  name: z.string(),
  sourceVersion: z.number(),
});

export const recordDifferenceSchema = z.object({
  isReady: z.boolean(),
  records: z.array(
    recordVersionSchema.extend({
      isRemoved: z.boolean(),
      value: z.unknown().optional(),
    }),
  ),
  wanted: z.array(recordVersionSchema),
}) satisfies z.ZodType<RecordDifference>;

export const recordsInForceResponseSchema = z.object({
  lacking: z.array(z.string()),
}) satisfies z.ZodType<RecordsInForceResponse>;
