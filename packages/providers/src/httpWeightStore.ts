/** Client of the rate-limited weight store over HTTP. */
import {
  validateShape,
  parseJson,
  ServingError,
  systemClock,
  type Clock,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {WeightStore} from './contracts.js';
import {withDeadline} from './deadline.js';
import {checkStatus, createHttpClient} from './httpCalls.js';

const reservationSchema = z.object({startAfterMs: z.number()});
const CALL_DEADLINE_MS = 5000;

/**
 * Creates a client of the weight store.
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
  const client = createHttpClient(options.url);
  return {
    async reserve(weights, host, signal) {
      const response = await withDeadline(
        {
          clock,
          deadlineAt: clock.now() + CALL_DEADLINE_MS,
          signal,
          onTimeout: () =>
            new ServingError(
              'outcome-unknown',
              'no response to the reservation before the deadline',
            ),
          onCancel: () =>
            new ServingError('cancelled', 'the reservation was cancelled'),
        },
        callSignal =>
          client.send({
            method: 'POST',
            path: '/weights/reservations',
            body: JSON.stringify({weights, host}),
            isWrite: true,
            signal: callSignal,
          }),
      );
      checkStatus(response, [200], true);
      const value = parseJson(response.text, 'protocol-violation', 'reply');
      return validateShape(
        reservationSchema,
        value,
        'protocol-violation',
        'reply',
      );
    },
  };
}
