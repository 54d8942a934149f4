/** Waits for conditions in tests over real sockets. */
import {setTimeout as delay} from 'node:timers/promises';

const TIMEOUT_MS = 10_000;

/** Polls until the condition holds; throws after `TIMEOUT_MS`. */
export async function until(condition: () => boolean, description: string) {
  const deadline = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await delay(5);
  }
}
