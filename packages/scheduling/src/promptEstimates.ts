/**
 * Corrects the estimated times of prompts by the measured times to first events.
 *
 * After a cold start an estimate may be 3 to 10 times too high or too low, and
 * more for long prompts than for short ones.
 */
import {createLineFit} from './lineFit.js';

export interface PromptEstimates {
  /** Whether enough responses have begun to compare times with targets. */
  isSure(): boolean;
  /** Returns the time to read a prompt at usual speed, in milliseconds. */
  promptMs(estimatedMs: number): number;
  /**
   * Returns the time from the placement to the first event at usual speed, if
   * the prompt is read at once, in milliseconds.
   */
  firstMs(estimatedMs: number): number;
  /** Records the time to a first event, divided by the engine's slowness. */
  record(estimatedMs: number, firstMs: number): void;
  dump(): unknown;
}

/** Samples from which the estimates are sure. */
const SURE_SAMPLES = 12;

/** Factor on the expected time at which a sample is cut off. */
const MAX_SAMPLE_RATIO = 4;

/**
 * Powers of the estimated time that the measured one may be proportional to: an
 * estimate that counts pairs of tokens too high grows too fast with the length.
 */
const EXPONENTS = [1, 0.6, 1.4];

/** Weight of a sample in the mean error of a fit. */
const ERROR_WEIGHT = 0.03;

/**
 * Creates estimates without samples, which trust the estimated times.
 *
 * @example
 * estimates.record(116, 240);
 * const firstMs = estimates.firstMs(58);
 */
export function createPromptEstimates(): PromptEstimates {
  const fits = EXPONENTS.map(exponent => ({
    exponent,
    line: createLineFit(),
    meanError: 0,
  }));
  let best = fits[0]!;
  let sampleCount = 0;

  const isSure = () => sampleCount >= SURE_SAMPLES;

  function promptMs(estimatedMs: number, {exponent, line} = best): number {
    return line.slope() * estimatedMs ** exponent;
  }

  function firstMs(estimatedMs: number, fit = best): number {
    return fit.line.base() + promptMs(estimatedMs, fit);
  }

  return {
    isSure,
    promptMs: estimatedMs => promptMs(estimatedMs),
    firstMs: estimatedMs => firstMs(estimatedMs),
    record(estimatedMs, measuredMs) {
      if (!(estimatedMs > 0 && measuredMs > 0)) {
        return;
      }
      sampleCount += 1;
      const sampleMs = isSure()
        ? Math.min(measuredMs, firstMs(estimatedMs) * MAX_SAMPLE_RATIO)
        : measuredMs;
      for (const fit of fits) {
        const error = Math.abs(Math.log(firstMs(estimatedMs, fit) / sampleMs));
        fit.meanError += (error - fit.meanError) * ERROR_WEIGHT;
        fit.line.add(estimatedMs ** fit.exponent, sampleMs);
        if (isSure() && fit.meanError < best.meanError) {
          best = fit;
        }
      }
    },
    dump: () => ({
      samples: sampleCount,
      exponent: best.exponent,
      factor: Number(best.line.slope().toFixed(3)),
      baseMs: Number(best.line.base().toFixed(1)),
    }),
  };
}
