/** Client of the cloud API over HTTP. */
import {
  validateShape,
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
import {checkStatus, createHttpClient, type HttpRequest} from './httpCalls.js';
import {openReconnectingStream} from './reconnectingStream.js';

const marketSchema = z.enum(['reclaimable', 'on-demand']);
const offerSchema = z.object({
  failureDomain: z.string(),
  machineClass: z.string(),
  market: marketSchema,
  pricePerHour: z.number(),
});
const hostSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  machineClass: z.string(),
  market: marketSchema,
  state: z.enum(['starting', 'running', 'leaving', 'gone']),
  clientToken: z.string(),
  goneAt: z.number().optional(),
});
const noticeSchema = z.object({host: z.string(), goneAt: z.number()});

const CALL_DEADLINE_MS = 5000;

/**
 * Creates a client of the cloud API. A start whose reply was lost is sent once
 * more, which the client token makes safe.
 *
 * @example
 * const cloud = createHttpCloud({url: 'http://10.0.0.2:7000'});
 * const offers = await cloud.listOffers();
 */
export function createHttpCloud(options: {
  readonly url: string;
  readonly clock?: Clock;
  readonly random?: Random;
}): Cloud {
  const {clock = systemClock(), random = processRandom()} = options;
  const client = createHttpClient(options.url);

  async function call<T extends z.ZodType>(
    schema: T,
    request: HttpRequest,
  ): Promise<z.output<T>> {
    const response = await withDeadline(
      {
        clock,
        deadlineAt: clock.now() + CALL_DEADLINE_MS,
        signal: request.signal,
        onTimeout: () =>
          new ServingError(
            request.isWrite ? 'outcome-unknown' : 'platform-unavailable',
            'the cloud API did not respond before the deadline',
          ),
        onCancel: () => new ServingError('cancelled', 'the call was cancelled'),
      },
      signal => client.send({...request, signal}),
    );
    checkStatus(response, [200, 204, 404], request.isWrite);
    const value = parseJson(
      response.text || 'null',
      'protocol-violation',
      'reply',
    );
    return validateShape(schema, value, 'protocol-violation', 'reply');
  }

  return {
    listOffers: signal =>
      call(z.array(offerSchema), {
        method: 'GET',
        path: '/cloud/offers',
        isWrite: false,
        signal,
      }),
    listHosts: signal =>
      call(z.array(hostSchema), {
        method: 'GET',
        path: '/cloud/hosts',
        isWrite: false,
        signal,
      }),
    async start(request, signal) {
      const sendStart = () =>
        call(hostSchema, {
          method: 'POST',
          path: '/cloud/hosts',
          body: JSON.stringify(request),
          isWrite: true,
          signal,
        });
      try {
        return await sendStart();
      } catch (error) {
        if (!isServingError(error, 'outcome-unknown')) {
          throw error;
        }
        return sendStart();
      }
    },
    async stop(host, signal) {
      await call(z.unknown(), {
        method: 'DELETE',
        path: `/cloud/hosts/${encodeURIComponent(host)}`,
        isWrite: true,
        signal,
      });
    },
    watchNotices: listener =>
      openReconnectingStream({
        client,
        clock,
        random,
        path: '/cloud/notices',
        onDidLine: value =>
          listener(
            validateShape(noticeSchema, value, 'protocol-violation', 'notice'),
          ),
      }),
  };
}
