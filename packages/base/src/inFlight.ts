/** Counts what is in progress and waits for it to end. */
import type {Clock} from './clock.js';

export interface InFlight {
  begin(): void;
  end(): void;
  count(): number;
  /** Resolves true when nothing is in progress, false after the given time in milliseconds. */
  idle(timeoutMs: number): Promise<boolean>;
}

/**
 * Makes a counter at zero.
 *
 * @example
 * const inFlight = createInFlight(clock);
 * await inFlight.idle(30_000);
 */
export function createInFlight(clock: Clock): InFlight {
  let count = 0;
  const waiters = new Set<() => void>();
  return {
    begin() {
      count += 1;
    },
    end() {
      count -= 1;
      if (count === 0) {
        [...waiters].forEach(waiter => waiter());
      }
    },
    count: () => count,
    idle(timeoutMs) {
      if (count === 0) {
        return Promise.resolve(true);
      }
      return new Promise(resolve => {
        const timer = clock.after(timeoutMs, () => settle(false));
        const onIdle = () => settle(true);
        waiters.add(onIdle);
        function settle(isIdle: boolean) {
          timer.dispose();
          waiters.delete(onIdle);
          resolve(isIdle);
        }
      });
    },
  };
}
