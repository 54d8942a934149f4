/** Counter of operations in progress; can wait until it drops to zero. */
import type {Clock} from './clock.js';

export interface InFlightCounter {
  begin(): void;
  end(): void;
  count(): number;
  /** Resolves to true once no operation is in progress, to false on timeout. */
  waitUntilIdle(timeoutMs: number): Promise<boolean>;
}

/**
 * Creates a counter at zero.
 *
 * @example
 * const inFlight = createInFlightCounter(clock);
 * await inFlight.waitUntilIdle(30_000);
 */
export function createInFlightCounter(clock: Clock): InFlightCounter {
  let count = 0;
  const idleListeners = new Set<() => void>();
  return {
    begin() {
      count += 1;
    },
    end() {
      count -= 1;
      if (count === 0) {
        [...idleListeners].forEach(listener => listener());
      }
    },
    count: () => count,
    waitUntilIdle(timeoutMs) {
      if (count === 0) {
        return Promise.resolve(true);
      }
      return new Promise(resolve => {
        const timer = clock.after(timeoutMs, () => settle(false));
        const onIdle = () => settle(true);
        idleListeners.add(onIdle);
        function settle(isIdle: boolean) {
          timer.dispose();
          idleListeners.delete(onIdle);
          resolve(isIdle);
        }
      });
    },
  };
}
