/** Schemas of request bodies and of KV caches fetched from another engine. */
import * as z from 'zod';

const nonNegativeInt = z.number().int().nonnegative();

export const generationSchema = z.object({
  attempt: z.string().min(1),
  prompt: z.string(),
  maxTokens: nonNegativeInt,
  urgency: z.number().int().min(0).max(7),
  delivered: z.array(z.string()),
  importedCache: z.string().optional(),
  seed: z.number().int(),
});

export const attemptSchema = z.object({attempt: z.string()});

export const importSourceSchema = z.object({
  url: z.string(),
  handle: z.string(),
});

export const exportedCacheSchema = z.object({
  handle: z.string(),
  tokens: nonNegativeInt,
  bytes: nonNegativeInt,
  blocks: z.array(z.string()),
});

export const orderSchema = z.object({
  id: z.string(),
  type: z.enum(['load-model', 'load-adapter', 'load-version', 'set-role']),
  target: z.string(),
  fencing: nonNegativeInt,
  expiresAt: z.number(),
});

export const engineFaultsSchema = z.array(
  z.object({
    type: z.enum([
      'down',
      'pause',
      'fail',
      'slow',
      'cut',
      'cross',
      'double',
      'gap',
      'truncate',
      'late',
    ]),
    amount: z.number().optional(),
    probability: z.number().min(0).max(1).optional(),
    version: z.string().optional(),
    minRunning: nonNegativeInt.optional(),
    afterRequests: nonNegativeInt.optional(),
  }),
);
