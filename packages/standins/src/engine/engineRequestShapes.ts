/** Shapes of the requests that the engine stand-in takes. */
import * as z from 'zod';

const count = z.number().int().nonnegative();

export const generationShape = z.object({
  attempt: z.string().min(1),
  prompt: z.string(),
  maxTokens: count,
  urgency: z.number().int().min(0).max(7),
  delivered: z.array(z.string()),
  importedCache: z.string().optional(),
  seed: z.number().int(),
});

export const attemptShape = z.object({attempt: z.string()});

export const fromShape = z.object({url: z.string(), handle: z.string()});

export const exportedShape = z.object({
  handle: z.string(),
  tokens: count,
  bytes: count,
  blocks: z.array(z.string()),
});

export const orderShape = z.object({
  id: z.string(),
  type: z.enum(['load-model', 'load-adapter', 'load-version', 'set-role']),
  target: z.string(),
  fencing: count,
  expiresAt: z.number(),
});

export const faultsShape = z.array(
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
    minRunning: count.optional(),
    afterRequests: count.optional(),
  }),
);
