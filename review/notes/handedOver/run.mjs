/**
 * One gateway of four after the other loses the path to the replicas for some
 * seconds, so that the others send its streams on.
 */
import {clearInterval, setInterval} from 'node:timers';
import {createGateways} from '../../lib/gateways.mjs';
import {send} from '../../lib/client.mjs';
import {startPartition} from '../../lib/partition.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {sealOf, startReplica} from '../../lib/replica.mjs';

const CONTACT_MS = 3_000;
/**
 * Time that two replicas may work on one request, and what is added to it here,
 * so that no delay in this test's own processes counts.
 */
const ALLOWED_OVERLAP_MS = 400;
const MARGIN_MS = 500;
const GATEWAYS = 4;
const REPLICAS = 4;
const SLOTS = 48;
const CUT_MS = 5_500;
/** Time after the beginning of a cut in which bytes from before may arrive. */
const SETTLED_MS = 100;
const BETWEEN_CUTS_MS = 3_500;
const SEND_INTERVAL_MS = 20;
const EVENTS = 8;
const EVENT_MS = 20;
const FIRST_EVENT_MS = 100;
/**
 * One stream of so many pauses after its first events, as beside long prompts, and
 * takes longer to be read again where it goes on.
 */
const LONG_ONE_IN = 17;
const EVENTS_BEFORE_PAUSE = 3;
const PAUSE_MS = 3_000;
const READ_AGAIN_MS = 1_500;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'swatch-advice',
      Host: 'shop.example',
      PathPrefix: '/advice/',
      Kind: 'streaming',
      TimeoutMs: 10_000,
      GoalMs: 400,
      GapAimMs: 400,
      Service: 'pool',
      Attempts: 2,
      Resumable: true,
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

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);
  /** Runs of each request, in order. */
  const runsById = new Map();
  const paths = [];

  /** Works on a run until its end, or until its connection closes. */
  function answer(request, response, {id, attemptId}) {
    const run = {replica: id, beganAt: Date.now(), endedAt: Infinity};
    runsById.set(attemptId, [...(runsById.get(attemptId) ?? []), run]);
    response.setHeader('X-Reply-Seal', sealOf(id, attemptId));
    response.setHeader('Content-Type', 'text/event-stream');
    const number = Number(attemptId.slice(1));
    const isLong = number % LONG_ONE_IN === 0;
    const lastEventId = request.headers['last-event-id'];
    let event = Number(lastEventId ?? 0);
    const isReadAgain = isLong && lastEventId !== undefined;
    let timer = setTimeout(
      makeEvent,
      isReadAgain ? READ_AGAIN_MS : FIRST_EVENT_MS,
    );
    function makeEvent() {
      event += 1;
      response.write(`id: ${event}\ndata: piece ${event} of ${attemptId}\n\n`);
      if (event < EVENTS) {
        const pauses = isLong && !isReadAgain && event === EVENTS_BEFORE_PAUSE;
        timer = setTimeout(makeEvent, pauses ? PAUSE_MS : EVENT_MS);
        return;
      }
      run.endedAt = Date.now();
      response.end();
    }
    // A replica drops a request when its connection closes.
    response.on('close', () => {
      clearTimeout(timer);
      run.endedAt = Math.min(run.endedAt, Date.now());
    });
  }

  for (let number = 1; number <= REPLICAS; number += 1) {
    const replica = await startReplica({
      id: `pool-${number}`,
      service: 'pool',
      zone: `zone-${'abcd'[number - 1]}`,
      slots: SLOTS,
      answer,
    });
    onEnd(() => replica.close());
    const path = await startPartition(replica.address);
    onEnd(() => path.close());
    paths.push(path);
    store.put('servers', replica.id, {
      ...replica.registration,
      Addr: path.address,
    });
  }
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: GATEWAYS,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();
  await sleep(CONTACT_MS + 500);

  const requests = [];
  const load = setInterval(() => {
    const number = requests.length + 1;
    const id = `t${number}`;
    const node = fleet.nodes[number % GATEWAYS];
    requests.push(
      send(node.listen.Front, {
        method: 'POST',
        path: '/advice/a',
        headers: {
          Host: 'shop.example',
          'X-Try-Id': id,
          'X-Deadline-Ms': '10000',
        },
        body: 'a question',
      }).then(answered => ({id, node, ...answered})),
    );
  }, SEND_INTERVAL_MS);
  onEnd(() => clearInterval(load));
  await sleep(8_000);
  const startedAt = Date.now();
  const cuts = [];
  for (const node of fleet.nodes) {
    const cut = {node, from: Date.now()};
    if (hasTrouble) {
      record(`${node.name} loses the path to all replicas`);
      paths.forEach(path => path.cut(node.child.pid));
    }
    await sleep(CUT_MS);
    cut.until = Date.now();
    cuts.push(cut);
    if (hasTrouble) {
      record('the path is back');
      paths.forEach(path => path.heal());
    }
    await sleep(BETWEEN_CUTS_MS);
  }
  clearInterval(load);
  const answers = await Promise.all(requests);
  await sleep(500);

  const breaches = [];
  for (const {id, node, status, isComplete} of answers) {
    const runs = runsById.get(id) ?? [];
    record(
      `${id} to ${node.name}: status ${status}, ${isComplete ? 'complete' : 'broken off'}; ` +
        runs
          .map(
            ({replica, beganAt, endedAt}) =>
              `run by ${replica} from ${beganAt - startedAt} to ${endedAt - startedAt} ms`,
          )
          .join(', '),
    );
    const [first, second] = runs;
    if (second === undefined || second.replica === first.replica) {
      continue;
    }
    const overlapMs = Math.min(first.endedAt, second.endedAt) - second.beganAt;
    // What begins during a cut was sent by other gateways, which reach all replicas.
    // Without trouble, all gateways do.
    const isReached =
      !hasTrouble ||
      cuts.some(
        cut =>
          cut.node === node &&
          first.beganAt > cut.from + SETTLED_MS &&
          second.beganAt < cut.until,
      );
    if (overlapMs > ALLOWED_OVERLAP_MS + MARGIN_MS && isReached) {
      breaches.push(
        `TWICE: ${id} went on at ${second.replica}, and ${first.replica} still worked on it ${overlapMs} ms later; ${ALLOWED_OVERLAP_MS} ms are allowed`,
      );
    } else if (overlapMs > 0) {
      record(`${id} had two runs side by side for ${overlapMs} ms`);
    }
  }
  return breaches;
});
