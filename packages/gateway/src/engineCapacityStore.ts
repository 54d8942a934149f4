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
const OBJECT_KIND = 'engine-capacity';
const OBJECT_NAME = 'learned';

/** How often the holder of the duty writes, in milliseconds: figures change slowly, and each call is paid for. */
const WRITE_INTERVAL_MS = 10_000;

/** Pause after a reading that failed, and the most readings: what others tell is soon better. */
const READ_RETRY_MS = 1_500;
const MAX_READS = 4;

/** Time for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** What was kept counts this part of what it did when it was written, as it may be old. */
const RESTORED_WEIGHT = 0.5;

const regressionSchema = z.object({
  count: z.number(),
  weight: z.number(),
  totals: z.array(z.number()),
  products: z.array(z.number()),
});

const capacitySchema = z.record(
  z.string(),
  z.object({
    prompts: regressionSchema,
    answers: regressionSchema,
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

export interface EngineCapacityStore extends Disposable {
  /** What was found at the start, fading with time; empty before it was read. */
  restored(): CapacitySums;
  /** Writes what all have seen, for as long as it is not disposed. */
  startPersisting(sums: () => CapacitySums): Disposable;
}

/**
 * Makes the memory and starts to read.
 *
 * @example
 * const memory = createEngineMemory({store, clock, log});
 */
export function createEngineCapacityStore(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Logger;
}): EngineCapacityStore {
  const {store, clock, log} = options;
  let stored: {at: number; sums: CapacitySums} | undefined;
  let readings = 0;
  let isDisposed = false;

  async function read(): Promise<void> {
    readings += 1;
    try {
      const object = await store.get<unknown>(
        OBJECT_KIND,
        OBJECT_NAME,
        undefined,
        'recent',
      );
      if (object === undefined) {
        return;
      }
      const sums = scaleCapacity(
        capacitySchema.parse(object.value),
        RESTORED_WEIGHT,
      );
      stored = {at: clock.now(), sums};
      log.info({services: Object.keys(sums)}, 'engines recalled');
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message, readings}, 'engines not recalled');
      scheduleRetry();
    }
  }

  function scheduleRetry(): void {
    if (readings < MAX_READS) {
      clock.after(READ_RETRY_MS, () => {
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
        OBJECT_KIND,
        OBJECT_NAME,
        sums,
        {type: 'any'},
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'engines not kept');
    }
  }

  void read();
  return {
    restored() {
      if (stored === undefined) {
        return {};
      }
      const ageMs = clock.now() - stored.at;
      return scaleCapacity(stored.sums, 2 ** (-ageMs / HALF_LIFE_MS));
    },
    startPersisting: sums =>
      every(clock, WRITE_INTERVAL_MS, () => void write(sums())),
    dispose() {
      isDisposed = true;
    },
  };
}
