/** The lagging list of endpoints over HTTP. */
import {
  checkShape,
  processRandom,
  systemClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {HostList} from './contracts.js';
import {createHttpCaller} from './httpCalls.js';
import {keepStream} from './streamLoop.js';

const endpointShape = z.object({
  id: z.string(),
  type: z.enum(['model', 'plain']),
  service: z.string(),
  version: z.string(),
  url: z.string(),
  host: z.string(),
  failureDomain: z.string(),
  machineClass: z.string(),
  checksFencing: z.boolean(),
  state: z.enum(['live', 'leaving']),
});

/** One endpoint as the platform's list carries it; also checks what is registered. */
export {endpointShape as listedEndpointShape};

/**
 * Makes a client of the host list.
 *
 * @example
 * const hosts = createHttpHostList({url: 'http://10.0.0.2:7000'});
 * hosts.watch(endpoints => router.setEndpoints(endpoints));
 */
export function createHttpHostList(options: {
  readonly url: string;
  readonly clock?: Clock;
  readonly random?: Random;
}): HostList {
  const {clock = systemClock(), random = processRandom()} = options;
  const caller = createHttpCaller(options.url);
  return {
    watch: listener =>
      keepStream({
        caller,
        clock,
        random,
        path: '/endpoints',
        onDidLine: value =>
          listener(
            checkShape(
              z.array(endpointShape),
              value,
              'protocol-violation',
              'host list',
            ),
          ),
      }),
  };
}
