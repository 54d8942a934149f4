/** Liveness probe of an engine. */
import type {Clock} from '@skylarkfield/base';
import type {Engine} from '@skylarkfield/endpoints';

/**
 * Resolves to whether the engine returns its load report within the timeout;
 * never rejects.
 *
 * @example
 * if (await probeLiveness(clock, engine, 250)) { resumeAtSameEndpoint(); }
 */
export async function probeLiveness(
  clock: Clock,
  engine: Engine,
  timeoutMs: number,
): Promise<boolean> {
  const controller = new AbortController();
  return new Promise(resolve => {
    const timer = clock.after(timeoutMs, () => {
      controller.abort();
      resolve(false);
    });
    engine
      .load(controller.signal)
      .then(
        () => resolve(true),
        () => resolve(false),
      )
      .finally(() => timer.dispose());
  });
}
