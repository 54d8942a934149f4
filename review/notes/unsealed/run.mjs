/**
 * A faulty replica spoils a few of its answers: a byte is missing in the name of
 * the header with its signature.
 */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {sealOf, startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 3;
const REPLICAS = 4;
const REQUESTS_PER_S = 160;
const WORK_MS = 20;
/** One replica of four spoils one of so many answers for this time. */
const SPOILED_ONE_IN = 50;
const SPOILS_FOR_MS = 5_000;

const ROUTE = {
  Host: 'shop.example',
  TimeoutMs: 1_000,
  GoalMs: 100,
  Priority: 2,
  Service: 'app',
  Public: false,
};

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      ...ROUTE,
      Name: 'lookup',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      Attempts: 2,
    },
    {
      ...ROUTE,
      Name: 'order',
      PathPrefix: '/order/',
      Kind: 'non_idempotent',
      Attempts: 1,
    },
  ],
  Services: [{Name: 'app', HealthPath: '/healthz', MaxConns: 100}],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
};

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const dutyApi = await startDutyApi(() => {});
  onEnd(() => dutyApi.close());
  let spoilsUntil = 0;
  let answerCount = 0;
  let spoiledCount = 0;

  function spoil(response, {id, attemptId}) {
    spoiledCount += 1;
    record(`replica ${id} spoils its answer to ${attemptId}`);
    response.socket.end(
      `HTTP/1.1 200 OK\r\nX-Try-Id: ${attemptId}\r\n` +
        `X-Reply-Sal: ${sealOf(id, attemptId)}\r\nContent-Length: 5\r\n\r\nfound`,
    );
  }

  const replicas = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      startReplica({
        id: `i-${index}`,
        service: 'app',
        zone: `zone-${'abcd'[index]}`,
        slots: 24,
        answer(request, response, run) {
          setTimeout(() => {
            const mayBeSpoiled = index === 0 && performance.now() < spoilsUntil;
            answerCount += mayBeSpoiled ? 1 : 0;
            if (mayBeSpoiled && answerCount % SPOILED_ONE_IN === 0) {
              spoil(response, run);
              return;
            }
            response.writeHead(200);
            response.end('found');
          }, WORK_MS);
        },
      }),
    ),
  );
  for (const replica of replicas) {
    onEnd(() => replica.close());
    store.put('servers', replica.id, replica.registration);
  }
  store.put('config', 'main', CONFIGURATION);
  const gateways = await createGateways({
    count: GATEWAYS,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(() => gateways.stopAll());
  await gateways.startAll();

  const agents = gateways.nodes.map(
    () => new http.Agent({keepAlive: true, maxSockets: 100}),
  );
  onEnd(() => agents.forEach(agent => agent.destroy()));
  const answers = [];
  let sent = 0;
  const load = setInterval(() => {
    const index = sent % GATEWAYS;
    sent += 1;
    const id = `try-${sent}`;
    const route = sent % 2 === 0 ? 'order' : 'lookup';
    send(gateways.nodes[index].listen.Front, {
      method: route === 'order' ? 'POST' : 'GET',
      path: `/${route}/${sent}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': id,
        'X-Deadline-Ms': '1000',
      },
      body: route === 'order' ? `order ${sent}` : undefined,
      agent: agents[index],
      timeoutMs: 3_000,
    }).then(answer => answers.push({id, route, ...answer}));
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => clearInterval(load));

  await sleep(BOUNDS.ContactMs);
  if (hasTrouble) {
    spoilsUntil = performance.now() + SPOILS_FOR_MS;
  }
  await sleep(SPOILS_FOR_MS + 1_000);
  clearInterval(load);
  await sleep(2_000);

  const counts = new Map();
  for (const {route, status, error} of answers) {
    const name = `${route} ${status ?? error}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  record(`answers: ${JSON.stringify([...counts])}`);
  record(`answers that were spoiled: ${spoiledCount}`);
  const unsealed = answers.filter(
    ({status, headers}) =>
      status >= 200 && status < 300 && headers['x-reply-seal'] === undefined,
  );
  for (const {id, route, status, headers} of unsealed) {
    record(
      `${id} (${route}) got ${status} with the headers ${JSON.stringify(headers)}`,
    );
  }
  record(`successes without a signature: ${unsealed.length}`);
  return unsealed.length === 0
    ? []
    : [
        `MIXED: ${unsealed.length} clients got a success without a replica's X-Reply-Seal`,
      ];
});
