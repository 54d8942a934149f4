/**
 * Persists the measured capacity of engines in the platform's store.
 *
 * If all entries lose power at once, no peer has the measurements. Callers
 * return as soon as power does, and until enough of their requests have been
 * served, scaling and routing would use prior estimates only.
 */
import {
  scheduleRepeatedly,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import {
  SAMPLE_HALF_LIFE_MS,
  scaleCapacityStats,
  type CapacityStats,
} from '@skylarkfield/capacity';
import type {ObjectStore} from '@skylarkfield/providers';
import * as z from 'zod';
import {nameSchema} from '../storedNames.js';

/** Kind and name of the stored object. */
const OBJECT_KIND = 'engine-capacity';
const OBJECT_NAME = 'learned';

/**
 * Interval at which the holder of the cluster duty writes the measurements, in
 * milliseconds: they change slowly, and each call is billed.
 */
const WRITE_INTERVAL_MS = 10_000;

/**
 * Delay before a failed read is retried, in milliseconds, and maximum number of
 * reads. After a few seconds, peers have better data than the store.
 */
const READ_RETRY_MS = 1_500;
const MAX_READS = 4;

/** Timeout of one write, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/**
 * Weight of restored measurements relative to current measurements, since
 * restored ones may be outdated.
 */
const RESTORED_WEIGHT = 0.5;

/** Sums for a number of columns, and for each pair of these columns. */
const regressionSchema = z
  .object({
    count: z.number().min(0),
    weight: z.number().min(0),
    totals: z.array(z.number()),
    products: z.array(z.number()),
  })
  .refine(
    ({totals, products}) =>
      products.length === (totals.length * (totals.length + 1)) / 2,
    'totals and products must have matching lengths',
  );

const capacitySchema = z.record(
  nameSchema,
  z.object({
    prompts: regressionSchema,
    answers: regressionSchema,
    paces: z.record(
      nameSchema,
      z.object({
        count: z.number().min(0),
        tokens: z.number().min(0),
        total: z.number(),
        squares: z.number().min(0),
      }),
    ),
  }),
);

export interface EngineCapacityStore extends Disposable {
  /**
   * Returns the restored measurements, weighted less the longer ago they were
   * restored; empty until they have been read.
   */
  restoredStats(): CapacityStats;
  /** Writes the measurements periodically until disposed. */
  startPersisting(stats: () => CapacityStats): Disposable;
}

/**
 * Creates the engine capacity store, and starts to read the persisted
 * measurements.
 *
 * @example
 * const engineCapacityStore = createEngineCapacityStore({store, clock, log});
 */
export function createEngineCapacityStore(options: {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Logger;
}): EngineCapacityStore {
  const {store, clock, log} = options;
  let restoredCapacity: {restoredAt: number; stats: CapacityStats} | undefined;
  let readCount = 0;
  let isDisposed = false;

  async function read(): Promise<void> {
    readCount += 1;
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
      const stats = scaleCapacityStats(
        capacitySchema.parse(object.value),
        RESTORED_WEIGHT,
      );
      restoredCapacity = {restoredAt: clock.now(), stats};
      log.info({services: Object.keys(stats)}, 'engine capacity restored');
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn(
        {kind, message, readings: readCount},
        'restoring engine capacity failed',
      );
      scheduleRetry();
    }
  }

  function scheduleRetry(): void {
    if (readCount < MAX_READS) {
      clock.after(READ_RETRY_MS, () => {
        if (!isDisposed) {
          void read();
        }
      });
    }
  }

  async function write(stats: CapacityStats): Promise<void> {
    if (Object.keys(stats).length === 0) {
      return;
    }
    try {
      await store.put(
        OBJECT_KIND,
        OBJECT_NAME,
        stats,
        {type: 'any'},
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn({kind, message}, 'persisting engine capacity failed');
    }
  }

  void read();
  return {
    restoredStats() {
      if (restoredCapacity === undefined) {
        return {};
      }
      const ageMs = clock.now() - restoredCapacity.restoredAt;
      return scaleCapacityStats(
        restoredCapacity.stats,
        2 ** (-ageMs / SAMPLE_HALF_LIFE_MS),
      );
    },
    startPersisting: stats =>
      scheduleRepeatedly(clock, WRITE_INTERVAL_MS, () => void write(stats())),
    dispose() {
      isDisposed = true;
    },
  };
}
