/** Asks an engine for a sign of life. */
import type {Clock} from '@skylarkfield/base';
import type {Engine} from '@skylarkfield/endpoints';

/**
 * True when the engine tells its load within the time; never rejects.
 *
 * @example
 * if (await isAlive(clock, engine, 250)) { resumeThere(); }
 */
export async function isAlive(
  clock: Clock,
  engine: Engine,
  withinMs: number,
): Promise<boolean> {
  const stop = new AbortController();
  return new Promise(resolve => {
    const timer = clock.after(withinMs, () => {
      stop.abort();
      resolve(false);
    });
    engine
      .load(stop.signal)
      .then(
        () => resolve(true),
        () => resolve(false),
      )
      .finally(() => timer.dispose());
  });
}
