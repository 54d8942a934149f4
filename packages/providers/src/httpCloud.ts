/** The cloud API over HTTP. */
import {
  checkShape,
  isServingError,
  parseJson,
  processRandom,
  ServingError,
  systemClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {Cloud} from './contracts.js';
import {withDeadline} from './deadline.js';
import {checkStatus, createHttpCaller, type HttpCall} from './httpCalls.js';
import {keepStream} from './streamLoop.js';

const market = z.enum(['reclaimable', 'on-demand']);
const offerShape = z.object({
  failureDomain: z.string(),
  machineClass: z.string(),
  market,
  pricePerHour: z.number(),
});
const hostShape = z.object({
  id: z.string(),
  failureDomain: z.string(),
  machineClass: z.string(),
  market,
  state: z.enum(['starting', 'running', 'leaving', 'gone']),
  clientToken: z.string(),
  goneAt: z.number().optional(),
});
const noticeShape = z.object({host: z.string(), goneAt: z.number()});

const CALL_DEADLINE_MS = 5000;

/**
 * Makes a client of the cloud API. A start whose reply was lost is sent again:
 * its client token makes that safe.
 *
 * @example
 * const cloud = createHttpCloud({url: 'http://10.0.0.2:7000'});
 * const offers = await cloud.offers();
 */
export function createHttpCloud(options: {
  readonly url: string;
  readonly clock?: Clock;
  readonly random?: Random;
}): Cloud {
  const {clock = systemClock(), random = processRandom()} = options;
  const caller = createHttpCaller(options.url);

  async function call<T extends z.ZodType>(
    schema: T,
    request: HttpCall,
  ): Promise<z.output<T>> {
    const reply = await withDeadline(
      {
        clock,
        deadlineAt: clock.now() + CALL_DEADLINE_MS,
        signal: request.signal,
        onTimeout: () =>
          new ServingError(
            request.hasEffect ? 'outcome-unknown' : 'platform-unavailable',
            'the cloud did not answer',
          ),
        onCancel: () => new ServingError('cancelled', 'the call was cancelled'),
      },
      signal => caller.send({...request, signal}),
    );
    checkStatus(reply, [200, 204, 404], request.hasEffect);
    const value = parseJson(
      reply.text || 'null',
      'protocol-violation',
      'reply',
    );
    return checkShape(schema, value, 'protocol-violation', 'reply');
  }

  return {
    offers: signal =>
      call(z.array(offerShape), {
        method: 'GET',
        path: '/cloud/offers',
        hasEffect: false,
        signal,
      }),
    hosts: signal =>
      call(z.array(hostShape), {
        method: 'GET',
        path: '/cloud/hosts',
        hasEffect: false,
        signal,
      }),
    async start(request, signal) {
      const post = () =>
        call(hostShape, {
          method: 'POST',
          path: '/cloud/hosts',
          body: JSON.stringify(request),
          hasEffect: true,
          signal,
        });
      try {
        return await post();
      } catch (error) {
        if (!isServingError(error, 'outcome-unknown')) {
          throw error;
        }
        return post();
      }
    },
    async stop(host, signal) {
      await call(z.unknown(), {
        method: 'DELETE',
        path: `/cloud/hosts/${encodeURIComponent(host)}`,
        hasEffect: true,
        signal,
      });
    },
    watchNotices: listener =>
      keepStream({
        caller,
        clock,
        random,
        path: '/cloud/notices',
        onDidLine: value =>
          listener(
            checkShape(noticeShape, value, 'protocol-violation', 'notice'),
          ),
      }),
  };
}
