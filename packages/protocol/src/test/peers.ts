/** Starts peer networks that listen on loopback sockets, for tests. */
import {
  seededRandom,
  createSilentLogger,
  systemClock,
} from '@skylarkfield/base';
import {
  createPeerNetwork,
  type ListeningNetwork,
  type NetworkLimits,
  type PeerAddress,
  type TlsWatcher,
} from '../index.js';

export const KEY = 'inner key of the tests';

export interface TestPeer {
  readonly network: ListeningNetwork;
  readonly address: PeerAddress;
}

export async function startPeer(
  id: string,
  options: {
    readonly key?: string;
    readonly limits?: Partial<NetworkLimits>;
    readonly tls?: TlsWatcher;
    readonly port?: number;
  } = {},
): Promise<TestPeer> {
  const network = createPeerNetwork({
    self: {id, incarnation: 1},
    clock: systemClock(),
    random: seededRandom(1),
    log: createSilentLogger(),
    key: KEY,
    ...options,
  });
  const {port} = await network.listen({
    host: '127.0.0.1',
    port: options.port ?? 0,
  });
  const scheme = options.tls ? 'wss' : 'ws';
  const url = `${scheme}://127.0.0.1:${port}`;
  return {network, address: {id, incarnation: 1, url}};
}
