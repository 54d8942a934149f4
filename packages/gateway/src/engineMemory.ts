/**
 * What was learned of engines, kept in the platform's store.
 *
 * When all entries lose power together nobody is left to tell what engines can
 * do. Callers come back at once, and until enough of them were served again the
 * fleet and every choice would rest on guesses.
 */
import {
  every,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import {
  HALF_LIFE_MS,
  scaleCapacity,
  type CapacitySums,
} from '@skylarkfield/capacity';
import type {ObjectStore} from '@skylarkfield/providers';
import * as z from 'zod';

/** Kind and name of the object. */
const KIND = 'engine-capacity';
const NAME = 'learned';

/** How often the holder of the duty writes, in milliseconds: figures change slowly, and each call is paid for. */
const KEEP_MS = 10_000;

/** Pause after a reading that failed, and the most readings: what others tell is soon better. */
const READ_AGAIN_MS = 1_500;
const MOST_READINGS = 4;

/** Time for one call, in milliseconds. */
const CALL_MS = 1_000;

/** What was kept counts this part of what it did when it was written, as it may be old. */
const KEPT_PART = 0.5;

const regressionShape = z.object({
  count: z.number(),
  weight: z.number(),
  totals: z.array(z.number()),
  products: z.array(z.number()),
});

const capacityShape = z.record(
  z.string(),
  z.object({
    prompts: regressionShape,
    answers: regressionShape,
    paces: z.record(
      z.string(),
      z.object({
        count: z.number(),
        tokens: z.number(),
        total: z.number(),
        squares: z.number(),
      }),
    ),
  }),
);

export interface EngineMemory extends Disposable {
  /** What was found at the start, fading with time; empty before it was read. */
  recalled(): CapacitySums;
  /** Writes what all have seen, for as long as it is not disposed. */
  keep(sums: () => CapacitySums): Disposable;
}

/**
 * Makes the memory and starts to read.
 *
 * @example
 * const memory = createEngineMemory({store, clock, log});
 */
export function createEngineMemory(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Logger;
}): EngineMemory {
  const {store, clock, log} = options;
  let found: {at: number; sums: CapacitySums} | undefined;
  let readings = 0;
  let isDisposed = false;

  async function read(): Promise<void> {
    readings += 1;
    try {
      const kept = await store.get<unknown>(KIND, NAME, undefined, 'recent');
      if (kept === undefined) {
        return;
      }
      const sums = scaleCapacity(capacityShape.parse(kept.value), KEPT_PART);
      found = {at: clock.now(), sums};
      log.info({services: Object.keys(sums)}, 'engines recalled');
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message, readings}, 'engines not recalled');
      readAgain();
    }
  }

  function readAgain(): void {
    if (readings < MOST_READINGS) {
      clock.after(READ_AGAIN_MS, () => {
        if (!isDisposed) {
          void read();
        }
      });
    }
  }

  async function write(sums: CapacitySums): Promise<void> {
    if (Object.keys(sums).length === 0) {
      return;
    }
    try {
      await store.put(
        KIND,
        NAME,
        sums,
        {type: 'any'},
        AbortSignal.timeout(CALL_MS),
      );
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'engines not kept');
    }
  }

  void read();
  return {
    recalled() {
      if (found === undefined) {
        return {};
      }
      const ageMs = clock.now() - found.at;
      return scaleCapacity(found.sums, 2 ** (-ageMs / HALF_LIFE_MS));
    },
    keep: sums => every(clock, KEEP_MS, () => void write(sums())),
    dispose() {
      isDisposed = true;
    },
  };
}
