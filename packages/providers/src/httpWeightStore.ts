/** The rate-limited weight store over HTTP. */
import {
  checkShape,
  parseJson,
  ServingError,
  systemClock,
  type Clock,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {WeightStore} from './contracts.js';
import {withDeadline} from './deadline.js';
import {checkStatus, createHttpCaller} from './httpCalls.js';

const reservationShape = z.object({startAfterMs: z.number()});
const CALL_DEADLINE_MS = 5000;

/**
 * Makes a client of the weight store.
 *
 * @example
 * const weights = createHttpWeightStore({url: 'http://10.0.0.2:7000'});
 * const {startAfterMs} = await weights.reserve('matcher-v2', 'host-9');
 */
export function createHttpWeightStore(options: {
  readonly url: string;
  readonly clock?: Clock;
}): WeightStore {
  const clock = options.clock ?? systemClock();
  const caller = createHttpCaller(options.url);
  return {
    async reserve(weights, host, signal) {
      const reply = await withDeadline(
        {
          clock,
          deadlineAt: clock.now() + CALL_DEADLINE_MS,
          signal,
          onTimeout: () =>
            new ServingError('outcome-unknown', 'no answer to a reservation'),
          onCancel: () =>
            new ServingError('cancelled', 'the reservation was cancelled'),
        },
        inner =>
          caller.send({
            method: 'POST',
            path: '/weights/reservations',
            body: JSON.stringify({weights, host}),
            hasEffect: true,
            signal: inner,
          }),
      );
      checkStatus(reply, [200], true);
      const value = parseJson(reply.text, 'protocol-violation', 'reply');
      return checkShape(reservationShape, value, 'protocol-violation', 'reply');
    },
  };
}
