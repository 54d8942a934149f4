/** Requests of the simulated customer, and the usage of windows. */
import type {seededRandom} from '@skylarkfield/base';
import type {CustomerConfig, Quota} from '../contracts.js';

export const WINDOW_MS = 8_000;

/** Sizes of requests in tokens, with their shares. */
const REQUEST_SIZES: readonly (readonly [number, number])[] = [
  [9_240, 0.23],
  [2_393, 0.31],
  [995, 0.2],
  [200, 0.26],
];

export const MEAN_TOKENS = REQUEST_SIZES.reduce(
  (sum, [tokens, share]) => sum + tokens * share,
  0,
);

/** Draws the size of a request, in tokens. */
export function pickTokens(random: ReturnType<typeof seededRandom>): number {
  let left = random.next();
  for (const [tokens, share] of REQUEST_SIZES) {
    left -= share;
    if (left < 0) {
      return tokens;
    }
  }
  return REQUEST_SIZES[0]![0];
}

/** Returns the largest amount that was charged within one window. */
export function peakOf(
  charges: readonly {atMs: number; tokens: number}[],
): number {
  let sum = 0;
  let peak = 0;
  let oldest = 0;
  for (const {atMs, tokens} of charges) {
    sum += tokens;
    while (charges[oldest]!.atMs < atMs - WINDOW_MS) {
      sum -= charges[oldest]!.tokens;
      oldest += 1;
    }
    peak = Math.max(peak, sum);
  }
  return peak;
}

/** Creates the customer of the simulation. */
export function createCustomer(
  quota: Pick<Quota, 'perSecond' | 'burst'>,
): CustomerConfig {
  return {
    name: 'chain',
    keys: ['k'],
    priority: undefined,
    quota: {unit: 'tokens', plainTokens: 200, ...quota},
  };
}
