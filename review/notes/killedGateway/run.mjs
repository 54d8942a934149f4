/**
 * A gateway is killed while it passes on streams that have no length and end with
 * their connections.
 */
import {clearInterval, setInterval} from 'node:timers';
import {createGateways} from '../../lib/gateways.mjs';
import {send} from '../../lib/client.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {sealOf, startReplica} from '../../lib/replica.mjs';

const CONTACT_MS = 3_000;
const EVENTS = 48;
const EVENT_INTERVAL_MS = 50;
const REPLICAS = 4;
const STREAMS_PER_GATEWAY = 80;
/**
 * The dose of the site's day: half of the replicas send one of so many answers
 * without a length.
 */
const UNMARKED_REPLICAS = 2;
const UNMARKED_ONE_IN = 20;
const KILL_AFTER_MS = 900;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'finish-match',
      Host: 'shop.example',
      PathPrefix: '/match/',
      Kind: 'streaming',
      TimeoutMs: 10_000,
      GoalMs: 800,
      GapAimMs: 400,
      Service: 'pool',
      Attempts: 1,
      Public: true,
    },
  ],
  Services: [{Name: 'pool', MaxConns: 300, HealthPath: '/healthz'}],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
  Tenants: [],
};

function eventOf(attemptId, number) {
  return `id: ${number}\ndata: piece ${number} of ${EVENTS} for ${attemptId}\n\n`;
}

function wholeBodyOf(attemptId) {
  return Array.from({length: EVENTS}, (_, index) =>
    eventOf(attemptId, index + 1),
  ).join('');
}

let answerCount = 0;
const unmarkedIds = new Set();

/**
 * Sends a stream. A few of some replicas have no length, so that their end is only
 * marked by the close of their connection.
 */
function answer(request, response, {id, attemptId}) {
  const head = {'Content-Type': 'text/event-stream'};
  if (Number(id.split('-')[1]) <= UNMARKED_REPLICAS) {
    answerCount += 1;
    if (answerCount % UNMARKED_ONE_IN === 0) {
      unmarkedIds.add(attemptId);
      response.removeHeader('Transfer-Encoding');
      head.Connection = 'close';
    }
  }
  response.writeHead(200, head);
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    response.write(eventOf(attemptId, number));
    if (number === EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_INTERVAL_MS);
  response.on('close', () => clearInterval(timer));
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);
  const replicas = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      startReplica({
        id: `pool-${index + 1}`,
        service: 'pool',
        zone: 'zone-a',
        slots: 48,
        answer,
      }),
    ),
  );
  replicas.forEach(replica => {
    onEnd(replica.close);
    store.put('servers', replica.id, replica.registration);
  });
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: 2,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();
  await sleep(CONTACT_MS + 500);

  const requests = fleet.nodes.flatMap(node =>
    Array.from({length: STREAMS_PER_GATEWAY}, async (_, index) => {
      const id = `${node.name}-${index + 1}`;
      const answered = await send(node.listen.Front, {
        method: 'POST',
        path: '/match/room',
        headers: {
          Host: 'shop.example',
          'X-Try-Id': id,
          'X-Deadline-Ms': '10000',
        },
        body: 'a photo of a room',
      });
      const {status, isComplete, body, error = 'none'} = answered;
      const events = body.split('\n\n').length - 1;
      record(
        `${id} answered: status ${status}, ${events} of ${EVENTS} events, looks complete: ${isComplete}, error: ${error}`,
      );
      return {id, ...answered, events};
    }),
  );
  await sleep(KILL_AFTER_MS);
  record(`answers without a length: ${[...unmarkedIds].join(', ')}`);
  if (hasTrouble) {
    // The gateway that passes most of these on.
    const [node] = fleet.nodes
      .map(({name}, index) => ({
        index,
        count: [...unmarkedIds].filter(id => id.startsWith(`${name}-`)).length,
      }))
      .sort((a, b) => b.count - a.count);
    fleet.signal(fleet.nodes[node.index], 'SIGKILL');
  }
  const answers = await Promise.all(requests);

  const runsById = new Map(
    replicas.flatMap(({id, runs}) =>
      runs.map(({attemptId}) => [attemptId, id]),
    ),
  );
  return answers
    .filter(
      ({id, status, isComplete, headers, body}) =>
        status === 200 &&
        isComplete &&
        headers['x-reply-seal'] === sealOf(runsById.get(id), id) &&
        body !== wholeBodyOf(id),
    )
    .map(
      ({id, events}) =>
        `MIXED: ${id} got a success that looks complete, with the seal of ${runsById.get(id)} and ${events} of its ${EVENTS} events`,
    );
});
