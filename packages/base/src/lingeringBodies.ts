/** Ends connections whose requests were answered before their bodies ended. */
import type {IncomingMessage} from 'node:http';
import type {Clock} from './clock.js';

export interface LingeringBodies {
  /**
   * Stops reading the body of an answered request and closes its connection a
   * little later: a sender that gets a reset while it sends may not read the
   * answer.
   */
  end(body: IncomingMessage): void;
}

/** Time between the answer and the close of its connection, in milliseconds. */
const LINGER_MS = 1_000;

/** Maximum number of lingering connections of a process. */
const MAX_LINGERING = 128;

/**
 * Creates the lingering connections of one process. If there are too many, a
 * further one is closed at once.
 *
 * @example
 * const lingeringBodies = createLingeringBodies(clock);
 * reply.sendError(tooLarge);
 * lingeringBodies.end(request);
 */
export function createLingeringBodies(
  clock: Clock,
  maxCount = MAX_LINGERING,
): LingeringBodies {
  let count = 0;
  return {
    end(body) {
      if (body.complete) {
        body.resume();
        return;
      }
      if (body.destroyed) {
        return;
      }
      if (count >= maxCount) {
        body.destroy();
        return;
      }
      // Node would read and drop the rest of a body that nobody has read from.
      body.read(0);
      body.pause();
      count += 1;
      const timer = clock.after(LINGER_MS, () => body.destroy());
      body.once('close', () => {
        timer.dispose();
        count -= 1;
      });
    },
  };
}
