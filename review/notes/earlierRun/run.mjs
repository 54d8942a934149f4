/**
 * A replica stands still for a moment in the middle of its streams, and the
 * others, where these go on, mark no end of their answers.
 */
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const STREAMS_PER_S = 30;
const EVENTS = 60;
const EVENT_MS = 60;
const STILL_MS = 1_500;
/**
 * The dose of the site's day: half of the replicas send one of so many answers
 * without a length, for this time.
 */
const UNMARKED_REPLICAS = 2;
const UNMARKED_ONE_IN = 20;
const UNMARKED_FOR_MS = 5_000;
const STILLS = 6;
const STILL_INTERVAL_MS = 8_000;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'advice',
      Host: 'shop.example',
      PathPrefix: '/advice/',
      Kind: 'streaming',
      TimeoutMs: 10_000,
      GoalMs: 400,
      GapAimMs: 400,
      Priority: 0,
      Service: 'pool',
      Attempts: 2,
      Resumable: true,
      Public: false,
      Sticky: true,
    },
  ],
  Services: [
    {
      Name: 'pool',
      HealthPath: '/healthz',
      MaxConns: 300,
      Engine: {
        Slots: 48,
        KvTokens: 444_000,
        KvBytes: 131_072,
        Stride: 8,
        Models: [{Name: 'm'}],
      },
    },
  ],
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
  /** By replica, until when it stands still, and its running streams. */
  const stillUntil = Array.from({length: REPLICAS}, () => 0);
  const running = Array.from({length: REPLICAS}, () => 0);
  let runCount = 0;
  let unmarkedUntil = 0;
  let answerCount = 0;
  let unmarkedCount = 0;

  const replicas = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      startReplica({
        id: `i-${index}`,
        service: 'pool',
        zone: `zone-${'abcd'[index]}`,
        slots: 48,
        answer(request, response, {id}) {
          runCount += 1;
          const run = `run-${runCount}-at-${id}`;
          let next = Number(request.headers['last-event-id'] ?? 0) + 1;
          const head = {'content-type': 'text/event-stream'};
          const mayBeUnmarked =
            index >= REPLICAS - UNMARKED_REPLICAS && Date.now() < unmarkedUntil;
          answerCount += mayBeUnmarked ? 1 : 0;
          if (mayBeUnmarked && answerCount % UNMARKED_ONE_IN === 0) {
            unmarkedCount += 1;
            // An answer without a length, which ends with its connection.
            response.useChunkedEncodingByDefault = false;
            head.connection = 'close';
          }
          response.writeHead(200, head);
          running[index] += 1;
          const timer = setInterval(() => {
            if (Date.now() < stillUntil[index]) {
              return;
            }
            response.write(`id: ${next}\ndata: ${run}\n\n`);
            next += 1;
            if (next > EVENTS) {
              clearInterval(timer);
              response.end();
            }
          }, EVENT_MS);
          response.on('close', () => {
            clearInterval(timer);
            running[index] -= 1;
          });
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

  const streams = [];
  const load = setInterval(() => {
    const index = streams.length % GATEWAYS;
    const stream = {id: `try-${streams.length + 1}`, answer: undefined};
    streams.push(stream);
    send(gateways.nodes[index].listen.Front, {
      method: 'POST',
      path: `/advice/${streams.length}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': stream.id,
        'X-Deadline-Ms': '10000',
        'X-Model': 'm',
        'X-Token-Counts': '628,36',
        'X-Prompt-Prefix': `a1:119,${streams.length}:79`,
      },
      body: 'which oil for oak?',
      timeoutMs: 12_000,
    }).then(answer => (stream.answer = answer));
  }, 1_000 / STREAMS_PER_S);
  onEnd(() => clearInterval(load));

  await sleep(BOUNDS.ContactMs + 3_000);
  for (let count = 0; count < STILLS; count++) {
    unmarkedUntil = Date.now() + UNMARKED_FOR_MS;
    await sleep(1_000);
    if (hasTrouble) {
      const index = running.indexOf(
        Math.max(...running.slice(0, REPLICAS - UNMARKED_REPLICAS)),
      );
      record(
        `replica i-${index} stands still for ${STILL_MS} ms, with ${running[index]} streams`,
      );
      stillUntil[index] = Date.now() + STILL_MS;
      replicas[index].standStill(STILL_MS);
    }
    await sleep(STILL_INTERVAL_MS);
  }
  clearInterval(load);
  await sleep(5_000);

  /** Returns the runs of an answer's events in order, with their event ids. */
  function runsOf(body) {
    const runs = [];
    for (const [, id, run] of body.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)) {
      const last = runs.at(-1);
      if (last?.run === run) {
        last.to = Number(id);
      } else {
        runs.push({run, from: Number(id), to: Number(id)});
      }
    }
    return runs;
  }

  const joined = [];
  const counts = {complete: 0, incomplete: 0, unanswered: 0, resumed: 0};
  for (const {id, answer} of streams) {
    if (answer?.status !== 200) {
      counts.unanswered += 1;
      continue;
    }
    counts[answer.isComplete ? 'complete' : 'incomplete'] += 1;
    const runs = runsOf(answer.body);
    counts.resumed += runs.length > 1 ? 1 : 0;
    const names = runs.map(({run}) => run);
    if (new Set(names).size < names.length) {
      joined.push(id);
      record(
        `${id}: ${runs.map(({run, from, to}) => `${from}-${to} of ${run}`).join(', ')}`,
      );
    }
  }
  record(`${unmarkedCount} answers had no length`);
  record(`streams: ${JSON.stringify(counts)}`);
  return joined.length > 0
    ? [
        `ORDER: ${joined.length} streams go back to an earlier run, whose pieces in between the client never got`,
      ]
    : [];
});
