/**
 * The API for duties is silent for four seconds, while both gateways serve requests.
 * Afterwards it answers again; new windows are expected to be reported.
 */
import http from 'node:http';
import {createGateways} from '../../lib/gateways.mjs';
import {send} from '../../lib/client.mjs';
import {listen, sleep, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const SILENT_MS = 4_000;
const CLIENTS = 12;
const AFTER_MS = 60_000;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'parcel-lookup',
      Host: 'shop.example',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      TimeoutMs: 1_000,
      GoalMs: 150,
      Service: 'desk',
      Attempts: 2,
    },
  ],
  Services: [{Name: 'desk', MaxConns: 100, HealthPath: '/healthz'}],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
  Tenants: [{Name: 'shop', ApiKeys: ['key-of-the-shop'], RatePerS: 0}],
};

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  let isSilent = false;
  const calls = [];
  const server = http.createServer((request, response) => {
    let text = '';
    request.on('data', chunk => (text += chunk));
    request.on('end', () => {
      const {WindowId: window} = JSON.parse(text);
      const holder = request.headers['x-duty-holder'];
      record(
        `${request.url} by ${holder}, window ${window}${isSilent ? ', not answered' : ''}`,
      );
      if (!isSilent) {
        calls.push({at: Date.now(), window});
        response.writeHead(200, {'content-type': 'application/json'});
        response.end('{}');
      }
    });
  });
  server.keepAliveTimeout = 60_000;
  const dutyAddress = await listen(server);
  onEnd(() => {
    server.close();
    server.closeAllConnections();
  });
  const replica = await startReplica({
    id: 'desk-1',
    service: 'desk',
    zone: 'zone-a',
    answer: (_, response) => response.end('an answer'),
  });
  onEnd(replica.close);
  store.put('servers', replica.id, replica.registration);
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: 2,
    storeAddress: store.address,
    dutyAddress,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();
  let isLoaded = true;
  let lastId = 0;
  const clients = fleet.nodes.flatMap(node =>
    Array.from({length: CLIENTS}, async () => {
      const agent = new http.Agent({keepAlive: true, maxSockets: 1});
      while (isLoaded) {
        lastId += 1;
        await send(node.listen.Front, {
          path: '/lookup/a',
          headers: {
            Host: 'shop.example',
            'X-Try-Id': `t${lastId}`,
            'X-Deadline-Ms': '1000',
            'X-Key': 'key-of-the-shop',
          },
          agent,
        });
        await sleep(20);
      }
      agent.destroy();
    }),
  );
  await sleep(12_000);
  if (hasTrouble) {
    isSilent = true;
    record('the API is silent');
    await sleep(SILENT_MS);
    isSilent = false;
    record('the API answers again');
  }
  const backAt = Date.now();
  await sleep(AFTER_MS);
  isLoaded = false;
  await Promise.all(clients);
  const later = calls.filter(({at}) => at > backAt);
  record(
    `windows reported in the ${AFTER_MS / 1_000} s after: ${later.length}`,
  );
  return later.length >= 6 ? [] : ['Duty: windows of usage are not reported'];
});
