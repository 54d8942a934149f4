/** Schemas of the responses of peers to queries about records. */
import type {
  RecordDifference,
  RecordsInForceResponse,
} from '@skylarkfield/protocol';
import * as z from 'zod';

const versionSchema = z.object({
  kind: z.string(),
  name: z.string(),
  sourceVersion: z.number(),
});

export const differenceSchema = z.object({
  isReady: z.boolean(),
  records: z.array(
    versionSchema.extend({
      isRemoved: z.boolean(),
      value: z.unknown().optional(),
    }),
  ),
  wanted: z.array(versionSchema),
}) satisfies z.ZodType<RecordDifference>;

export const inForceSchema = z.object({
  lacking: z.array(z.string()),
}) satisfies z.ZodType<RecordsInForceResponse>;
