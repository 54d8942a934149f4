/** Waits on a condition, for tests over real sockets. */
import {setTimeout as delay} from 'node:timers/promises';

const LIMIT_MS = 10_000;

export async function until(condition: () => boolean, what: string) {
  const deadline = performance.now() + LIMIT_MS;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(`never: ${what}`);
    }
    await delay(5);
  }
}
