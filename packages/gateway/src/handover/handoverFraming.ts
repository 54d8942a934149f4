/**
 * Marks the ends of responses between entries.
 *
 * The response to a handed-over request may have an unmarked end, which is the
 * close of its connection. If it had one between the entries too, the end of the
 * entry that passes it on would look like the end of the response. So an entry
 * always marks the end to the other one, and tells in a header that the endpoint
 * does not mark it.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {ServingError, type ResponseFraming} from '@skylarkfield/base';
import type {ResponseHeaders} from '../contracts.js';
import type {Upstreams} from '../attempts/upstream.js';

/** Response header; its only value is `close`. */
const HEADER_NAME = 'endpoint-framing';

/**
 * Request header of entries that read the framing of the endpoint; those of
 * earlier releases take the framing between the entries for it.
 */
const ACCEPT_HEADER = 'accept-endpoint-framing';

/** Header to send with a request that is handed over. */
export const ACCEPT_ENDPOINT_FRAMING = {[ACCEPT_HEADER]: '1'} as const;

/**
 * Whether the entry that sent a request reads the framing of the endpoint.
 *
 * @example
 * const reply = createCallerReply({tellsFraming: acceptsEndpointFraming(headers), ...rest});
 */
export function acceptsEndpointFraming(headers: IncomingHttpHeaders): boolean {
  return headers[ACCEPT_HEADER] !== undefined;
}

/**
 * Returns the header that tells the framing of the endpoint, or none if the
 * framing between the entries may be taken for it.
 *
 * @example
 * response.writeHead(200, {...headers, ...encodeEndpointFraming('close')});
 */
export function encodeEndpointFraming(
  framing: ResponseFraming,
): Record<string, string> {
  return framing === 'close' ? {[HEADER_NAME]: framing} : {};
}

/**
 * Returns the headers without the framing of the endpoint, which is not for
 * callers.
 *
 * @example
 * reply.sendResponse({...response, headers: withoutEndpointFraming(headers)});
 */
export function withoutEndpointFraming(
  headers: ResponseHeaders,
): ResponseHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => name !== HEADER_NAME),
  );
}

/**
 * Returns upstreams to other entries whose listeners are told the framing of the
 * endpoint.
 *
 * An unmarked end between entries is that of an entry of an earlier release. It
 * ends a response in one piece, which such an entry sends at once, but not a
 * stream, in the middle of which the entry may have been killed.
 *
 * @example
 * const exchange = withEndpointFraming(peerUpstreams, true).send(address, request, listener);
 */
export function withEndpointFraming(
  upstreams: Upstreams,
  isStreaming: boolean,
): Upstreams {
  return {
    ...upstreams,
    send(address, request, listener) {
      let endpointFraming: ResponseFraming | undefined;
      return upstreams.send(address, request, {
        ...listener,
        onDidRespond(status, headers, framing) {
          endpointFraming =
            headers[HEADER_NAME] === 'close' ? 'close' : framing;
          listener.onDidRespond(status, headers, endpointFraming);
        },
        onDidEnd(framing) {
          if (framing === 'close' && isStreaming) {
            listener.onDidFail(
              new ServingError(
                'interrupted',
                'the entry did not mark the end of the stream',
              ),
            );
            return;
          }
          listener.onDidEnd(endpointFraming ?? framing);
        },
      });
    },
  };
}
