/** Shapes of the answers that peers give about records. */
import type {
  RecordDifference,
  RecordsInForceAnswer,
} from '@skylarkfield/protocol';
import * as z from 'zod';

const version = z.object({
  kind: z.string(),
  name: z.string(),
  sourceVersion: z.number(),
});

export const differenceShape = z.object({
  isReady: z.boolean(),
  records: z.array(
    version.extend({isRemoved: z.boolean(), value: z.unknown().optional()}),
  ),
  wanted: z.array(version),
}) satisfies z.ZodType<RecordDifference>;

export const inForceShape = z.object({
  lacking: z.array(z.string()),
}) satisfies z.ZodType<RecordsInForceAnswer>;
