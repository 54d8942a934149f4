/** A faulty replica spoils a few of its answers: they begin with no status. */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../lib/client.mjs';
import {BOUNDS, createGateways} from '../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../lib/platform.mjs';
import {runCase} from '../lib/record.mjs';
import {sealOf, startReplica} from '../lib/replica.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const REQUESTS_PER_S = 160;
const WORK_MS = 20;
/** One replica of four spoils one of so many answers for this time. */
const SPOILED_ONE_IN = 50;
const SPOILS_FOR_MS = 5_000;
const WATCHED_MS = 30_000;
const TIMEOUT_MS = 1_000;
const CLIENT_DEADLINE_MS = 4_000;
/** Time after the time-out at which an answer is due. */
const SLACK_MS = 500;
const FEWEST_LATE = 8;
const READY_INTERVAL_MS = 250;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'lookup',
      Host: 'shop.example',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      TimeoutMs: TIMEOUT_MS,
      GoalMs: 100,
      Priority: 2,
      Service: 'app',
      Attempts: 2,
      Public: false,
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
      `HTTP/1.1 000 OK\r\nX-Try-Id: ${attemptId}\r\n` +
        `X-Reply-Seal: ${sealOf(id, attemptId)}\r\nContent-Length: 5\r\n\r\nfound`,
    );
  }

  const replicas = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      startReplica({
        id: `i-${index}`,
        service: 'app',
        zone: `zone-${'abcd'[index]}`,
        answer(request, response, run) {
          setTimeout(() => {
            const mayBeSpoiled = index === 0 && performance.now() < spoilsUntil;
            answerCount += mayBeSpoiled ? 1 : 0;
            const isSpoiled =
              mayBeSpoiled && answerCount % SPOILED_ONE_IN === 0;
            if (isSpoiled) {
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
    () => new http.Agent({keepAlive: true, maxSockets: 200}),
  );
  onEnd(() => agents.forEach(agent => agent.destroy()));
  const requests = [];
  const load = setInterval(() => {
    const index = requests.length % GATEWAYS;
    const request = {
      node: gateways.nodes[index].name,
      sentAt: performance.now(),
      tookMs: Infinity,
      status: 'none',
    };
    requests.push(request);
    send(gateways.nodes[index].listen.Front, {
      path: `/lookup/${requests.length}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': `try-${requests.length}`,
        'X-Deadline-Ms': String(CLIENT_DEADLINE_MS),
      },
      agent: agents[index],
      timeoutMs: CLIENT_DEADLINE_MS,
    }).then(({status}) => {
      if (status !== undefined) {
        request.tookMs = performance.now() - request.sentAt;
        request.status = status;
      }
    });
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => clearInterval(load));

  /** Last time at which each gateway said that it is ready. */
  const readyAt = new Map();
  const longestMs = new Map();
  const checks = setInterval(() => {
    for (const node of gateways.nodes) {
      gateways.isReady(node).then(isReady => {
        if (isReady) {
          const now = performance.now();
          const silentMs = now - (readyAt.get(node.name) ?? now);
          readyAt.set(node.name, now);
          longestMs.set(
            node.name,
            Math.max(longestMs.get(node.name) ?? 0, silentMs),
          );
        }
      });
    }
  }, READY_INTERVAL_MS);
  onEnd(() => clearInterval(checks));

  await sleep(BOUNDS.ContactMs);
  if (hasTrouble) {
    spoilsUntil = performance.now() + SPOILS_FOR_MS;
    record('replica i-0 begins to spoil answers');
  }
  await sleep(WATCHED_MS);
  clearInterval(load);
  await sleep(CLIENT_DEADLINE_MS + 500);
  clearInterval(checks);

  const replicaById = new Map(
    replicas.flatMap(({id, runs}) =>
      runs.map(({attemptId}) => [attemptId, id]),
    ),
  );
  for (const [index, {node, tookMs, status}] of requests.entries()) {
    const id = `try-${index + 1}`;
    const after = status === 'none' ? '' : ` after ${tookMs.toFixed(0)} ms`;
    record(
      `${id}: sent to ${node}, ran at ${replicaById.get(id) ?? 'none'}, answered ${status}${after}`,
    );
  }
  record(`${spoiledCount} of ${replicas[0].runs.length} answers were spoiled`);
  for (const node of gateways.nodes) {
    const own = requests.filter(({node: name}) => name === node.name);
    const silentMs = Math.max(
      longestMs.get(node.name),
      performance.now() - readyAt.get(node.name),
    );
    record(
      `${node.name}: ${own.length} requests, ` +
        `${own.filter(({status}) => status === 200).length} answered 200, ` +
        `${own.filter(({status}) => status === 'none').length} not answered within ${CLIENT_DEADLINE_MS} ms; ` +
        `not ready for ${silentMs.toFixed(0)} ms at the longest`,
    );
  }
  const open = requests.filter(({tookMs}) => tookMs > TIMEOUT_MS);
  const late = open.filter(({tookMs}) => tookMs > TIMEOUT_MS + SLACK_MS);
  record(
    `${open.length} requests were not answered at TimeoutMs, ${late.length} of them not ${SLACK_MS} ms later`,
  );
  return late.length >= FEWEST_LATE && late.length > open.length / 2
    ? [
        `CONFIG: ${late.length} of ${open.length} requests had no answer ${SLACK_MS} ms after TimeoutMs`,
      ]
    : [];
});
