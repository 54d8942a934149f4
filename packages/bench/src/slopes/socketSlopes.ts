/** Measures the cost of messages and connections on loopback sockets. */
import {seededRandom, silentLogger, systemClock} from '@skylarkfield/base';
import {createPeerNetwork, type PeerAddress} from '@skylarkfield/protocol';
import {collectedResidentBytes} from './heap.js';

const REQUESTS = 5_000;
const PEERS = 60;
const REQUEST_TIMEOUT_MS = 5_000;

async function startPeer(index: number) {
  const id = `p${index}`;
  const network = createPeerNetwork({
    self: {id, incarnation: 1},
    clock: systemClock(),
    random: seededRandom(index),
    log: silentLogger(),
    key: 'key of the measurement',
  });
  const {port} = await network.listen({host: '127.0.0.1', port: 0});
  const address: PeerAddress = {
    id,
    incarnation: 1,
    url: `ws://127.0.0.1:${port}`,
  };
  return {network, address};
}

/**
 * Measures processor time per message (sent, transferred and received) and
 * memory per connection end.
 *
 * @example
 * const {cpuMicrosPerMessage} = await measureSockets();
 */
export async function measureSockets() {
  const peers = await Promise.all(
    Array.from({length: PEERS + 1}, (_, index) => startPeer(index)),
  );
  const [hub, ...spokes] = peers;
  const before = collectedResidentBytes();
  hub!.network.setPeers(spokes.map(spoke => spoke.address));
  while (hub!.network.connectedPeers().length < PEERS) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const bytesPerEnd = (collectedResidentBytes() - before) / (2 * PEERS);

  const [peer] = spokes;
  peer!.network.onDidReceive('memberWord', () => ({heardAgoMs: 1}));
  const sendRequest = () =>
    hub!.network.request(
      peer!.address.id,
      'memberWord',
      {id: 'p1', incarnation: 1},
      REQUEST_TIMEOUT_MS,
    );
  for (let warmUp = 0; warmUp < REQUESTS / 5; warmUp++) {
    await sendRequest();
  }
  const cpu = process.cpuUsage();
  for (let index = 0; index < REQUESTS; index++) {
    await sendRequest();
  }
  const used = process.cpuUsage(cpu);
  peers.forEach(({network}) => network.dispose());
  const messages = 2 * REQUESTS;
  return {
    messages,
    cpuMicrosPerMessage: Math.round((used.user + used.system) / messages),
    connections: PEERS,
    residentBytesPerConnectionEnd: Math.round(bytesPerEnd),
  };
}
