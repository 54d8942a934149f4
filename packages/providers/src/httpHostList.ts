/** Client of the host list over HTTP. */
import {
  validateShape,
  processRandom,
  systemClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import * as z from 'zod';
import type {HostList} from './contracts.js';
import {createHttpClient} from './httpCalls.js';
import {openReconnectingStream} from './reconnectingStream.js';

const endpointSchema = z.object({
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

/** Schema of a listed endpoint; also validates endpoint registrations. */
export {endpointSchema as listedEndpointSchema};

/**
 * Creates a client of the host list.
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
  const client = createHttpClient(options.url);
  return {
    watch: listener =>
      openReconnectingStream({
        client,
        clock,
        random,
        path: '/endpoints',
        onDidLine: value =>
          listener(
            validateShape(
              z.array(endpointSchema),
              value,
              'protocol-violation',
              'host list',
            ),
          ),
      }),
  };
}
