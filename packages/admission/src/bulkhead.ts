/** One service's own concurrency and queue. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {Ask, Ending, Permit} from './contracts.js';

export interface Bulkhead {
  admit(ask: Ask, signal: AbortSignal): Promise<Permit>;
  configure(concurrency: number, queue: number): void;
  setLimit(limit: number): void;
  /** Ends every waiting request as `not-run`. */
  close(): void;
  dump(): unknown;
}

interface Waiter {
  readonly ask: Ask;
  readonly askedAt: number;
  admit(): void;
  refuse(error: ServingError): void;
}

const RETRY_AFTER_MS = 1000;

/** Makes the bulkhead of one service. */
export function createBulkhead(service: string, clock: Clock): Bulkhead {
  let limit = 1;
  let queueLimit = 0;
  let inFlight = 0;
  const waiting: Waiter[] = [];

  function drain() {
    while (inFlight < limit && waiting.length > 0) {
      waiting.shift()?.admit();
    }
  }

  function permit(askedAt: number): Permit {
    inFlight += 1;
    let isReleased = false;
    return {
      waitedMs: clock.now() - askedAt,
      // eslint-disable-next-line @typescript-eslint/no-unused-vars
      release(_ending: Ending) {
        if (isReleased) {
          return;
        }
        isReleased = true;
        inFlight -= 1;
        drain();
      },
    };
  }

  function overloaded(): ServingError {
    return new ServingError('overloaded', `the queue of ${service} is full`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  function enqueue(ask: Ask, signal: AbortSignal): Promise<Permit> {
    return new Promise((resolve, reject) => {
      const askedAt = clock.now();
      const timer = clock.after(ask.deadline - askedAt, () =>
        leave(
          new ServingError(
            'deadline-exceeded',
            'the deadline passed in the queue',
          ),
        ),
      );
      function settle() {
        timer.dispose();
        signal.removeEventListener('abort', onAbort);
      }
      function leave(error: ServingError) {
        const index = waiting.indexOf(waiter);
        if (index >= 0) {
          waiting.splice(index, 1);
        }
        settle();
        reject(error);
      }
      function onAbort() {
        leave(
          new ServingError('cancelled', 'the caller gave up', {run: 'not-run'}),
        );
      }
      const waiter: Waiter = {
        ask,
        askedAt,
        admit() {
          settle();
          resolve(permit(askedAt));
        },
        refuse: leave,
      };
      signal.addEventListener('abort', onAbort, {once: true});
      const at = waiting.findIndex(other => other.ask.urgency > ask.urgency);
      waiting.splice(at < 0 ? waiting.length : at, 0, waiter);
    });
  }

  return {
    async admit(ask, signal) {
      if (signal.aborted) {
        throw new ServingError('cancelled', 'the caller gave up', {
          run: 'not-run',
        });
      }
      if (ask.deadline <= clock.now()) {
        throw new ServingError(
          'deadline-exceeded',
          'the deadline has passed already',
        );
      }
      if (inFlight < limit) {
        return permit(clock.now());
      }
      if (waiting.length >= queueLimit) {
        const last = waiting.at(-1);
        if (last === undefined || last.ask.urgency <= ask.urgency) {
          throw overloaded();
        }
        last.refuse(overloaded());
      }
      return enqueue(ask, signal);
    },
    configure(concurrency, queue) {
      limit = Math.max(1, concurrency);
      queueLimit = queue;
      drain();
    },
    setLimit(next) {
      limit = Math.max(1, next);
      drain();
    },
    close() {
      for (const waiter of [...waiting]) {
        waiter.refuse(
          new ServingError('unknown-service', `${service} was removed`),
        );
      }
    },
    dump: () => ({service, limit, inFlight, waiting: waiting.length}),
  };
}
