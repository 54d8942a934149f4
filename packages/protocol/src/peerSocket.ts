/** Outbound sockets to the inner ports of peers. */
import {WebSocket} from 'ws';
import type {Logger} from '@skylarkfield/base';
import {authorizationHeaders, PEER_PATH} from './innerListener.js';
import type {TlsWatcher} from './innerTls.js';
import type {NetworkLimits} from './limits.js';

/**
 * Starts to connect to a peer; returns undefined if its address is invalid.
 *
 * @example
 * const socket = openPeerSocket({url: 'ws://10.0.0.4:7000', key, limits, log});
 */
export function openPeerSocket(options: {
  readonly url: string;
  /** Secret shared by all entries. */
  readonly key: string;
  readonly limits: NetworkLimits;
  readonly tls?: TlsWatcher;
  readonly log: Logger;
}): WebSocket | undefined {
  const {url, key, limits, tls, log} = options;
  try {
    return new WebSocket(new URL(PEER_PATH, url), {
      headers: authorizationHeaders(key),
      handshakeTimeout: limits.handshakeTimeoutMs,
      maxPayload: limits.maxMessageBytes,
      perMessageDeflate: false,
      ...tls?.current(),
    });
  } catch (error) {
    log.warn(
      {url, reason: String(error)},
      'cannot connect to a peer with an invalid address',
    );
    return undefined;
  }
}
