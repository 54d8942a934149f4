/** Measures the cost of messages and connections on loopback sockets. */
import {
  seededRandom,
  createSilentLogger,
  systemClock,
} from '@skylarkfield/base';
import {createPeerNetwork, type PeerAddress} from '@skylarkfield/protocol';
import {measureResidentBytes} from './heap.js';

const REQUEST_COUNT = 5_000;
const PEER_COUNT = 60;
const REQUEST_TIMEOUT_MS = 5_000;

async function startPeer(index: number) {
  const id = `p${index}`;
  const network = createPeerNetwork({
    self: {id, incarnation: 1},
    clock: systemClock(),
    random: seededRandom(index),
    log: createSilentLogger(),
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
 * resident memory per end of a connection.
 *
 * @example
 * const {cpuMicrosPerMessage} = await measureSockets();
 */
export async function measureSockets() {
  const peers = await Promise.all(
    Array.from({length: PEER_COUNT + 1}, (_, index) => startPeer(index)),
  );
  const [hub, ...spokes] = peers;
  const bytesBefore = measureResidentBytes();
  hub!.network.setPeers(spokes.map(spoke => spoke.address));
  while (hub!.network.connectedPeers().length < PEER_COUNT) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const bytesPerEnd = (measureResidentBytes() - bytesBefore) / (2 * PEER_COUNT);

  const [firstSpoke] = spokes;
  firstSpoke!.network.addHandler('memberWord', () => ({heardAgoMs: 1}));
  const sendRequest = () =>
    hub!.network.request(
      firstSpoke!.address.id,
      'memberWord',
      {id: 'p1', incarnation: 1},
      REQUEST_TIMEOUT_MS,
    );
  for (let warmUp = 0; warmUp < REQUEST_COUNT / 5; warmUp++) {
    await sendRequest();
  }
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < REQUEST_COUNT; index++) {
    await sendRequest();
  }
  const usedCpu = process.cpuUsage(cpuBefore);
  peers.forEach(({network}) => network.dispose());
  const messages = 2 * REQUEST_COUNT;
  return {
    messages,
    cpuMicrosPerMessage: Math.round((usedCpu.user + usedCpu.system) / messages),
    connections: PEER_COUNT,
    residentBytesPerConnectionEnd: Math.round(bytesPerEnd),
  };
}
