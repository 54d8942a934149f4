/**
 * No case: sends the lookup port a path that no client of the pages sends. Prints
 * how the gateway's process ended.
 */
import net from 'node:net';
import {createGateways} from '../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../lib/platform.mjs';

const store = await startStore();
const dutyApi = await startDutyApi(() => {});
const fleet = await createGateways({
  count: 1,
  storeAddress: store.address,
  dutyAddress: dutyApi.address,
});
const [node] = fleet.nodes;
try {
  store.put('config', 'main', {
    Version: 1,
    Routes: [],
    Services: [],
    Limits: {
      HeaderBytes: 16_384,
      BodyBytes: 4_194_304,
      HeaderMs: 3_000,
      IdleMs: 15_000,
    },
    Tenants: [],
  });
  await fleet.startAll();
  const [host, port] = node.listen.Directory.split(':');
  const socket = net.connect(Number(port), host, () =>
    socket.write('GET // HTTP/1.1\r\nHost: shop.example\r\n\r\n'),
  );
  socket.on('error', () => {});
  await sleep(1_000);
  socket.destroy();
  console.log(`ends of the gateway by itself: ${JSON.stringify(node.ownEnds)}`);
} finally {
  await fleet.stopAll();
  store.close();
  dutyApi.close();
}
