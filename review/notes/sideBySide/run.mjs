/**
 * Sound model replicas fall silent for a second or so, one after the other, and
 * go on.
 */
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {createGateways} from '../../lib/gateways.mjs';
import {send} from '../../lib/client.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';

const CONTACT_MS = 3_000;
/**
 * Time that two replicas may work on one request, and what is added to it here,
 * so that no delay in this test's own processes counts.
 */
const ALLOWED_OVERLAP_MS = 400;
const MARGIN_MS = 50;
const REPLICAS = 4;
const SILENCE_MS = 1_200;
const SILENCE_INTERVAL_MS = 3_500;
const SILENCES = 12;
const SEND_INTERVAL_MS = 30;

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

/** Starts a replica process; resolves when it serves. */
function startReplicaProcess(id, onRun) {
  const child = fork(fileURLToPath(new URL('./replica.mjs', import.meta.url)), [
    id,
  ]);
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.on('message', message => {
      if (message.type === 'started') {
        resolve({id, child, registration: message.registration});
        return;
      }
      onRun(message);
    });
  });
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);
  const runsById = new Map();

  function onRun({type, replica, attemptId, at}) {
    const runs = runsById.get(attemptId) ?? [];
    runsById.set(attemptId, runs);
    if (type === 'began') {
      runs.push({replica, beganAt: at, endedAt: Infinity});
      return;
    }
    runs.findLast(run => run.replica === replica).endedAt = at;
  }

  const replicas = [];
  onEnd(() =>
    Promise.all(
      replicas.map(
        ({child}) =>
          new Promise(resolve => {
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      ),
    ),
  );
  for (let number = 1; number <= REPLICAS; number++) {
    const replica = await startReplicaProcess(`pool-${number}`, onRun);
    replicas.push(replica);
    store.put('servers', replica.id, replica.registration);
  }
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

  let isLoaded = true;
  const requests = [];

  async function keepSending() {
    while (isLoaded) {
      const number = requests.length + 1;
      const id = `t${number}`;
      requests.push(
        send(fleet.nodes[number % 2].listen.Front, {
          method: 'POST',
          path: '/advice/a',
          headers: {
            Host: 'shop.example',
            'X-Try-Id': id,
            'X-Deadline-Ms': '10000',
          },
          body: 'a question',
        }).then(answered => ({id, ...answered})),
      );
      await sleep(SEND_INTERVAL_MS);
    }
  }

  const silences = [];
  const sending = keepSending();
  await sleep(2_000);
  for (let silence = 0; silence < SILENCES; silence++) {
    const {id, child} = replicas[silence % REPLICAS];
    const since = Date.now();
    if (hasTrouble) {
      record(`${id} is silent for ${SILENCE_MS} ms`);
      child.kill('SIGSTOP');
    }
    await sleep(SILENCE_MS);
    if (hasTrouble) {
      child.kill('SIGCONT');
      silences.push({id, since, until: Date.now()});
    }
    await sleep(SILENCE_INTERVAL_MS - SILENCE_MS);
  }
  isLoaded = false;
  await sending;
  const answers = await Promise.all(requests);
  await sleep(500);

  const statuses = new Map();
  answers.forEach(({status, isComplete}) => {
    const key = `${status} ${isComplete ? 'complete' : 'incomplete'}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
  });
  const runCount = [...runsById.values()].flat().length;
  record(
    `sent ${answers.length}; answers: ${[...statuses].map(([key, count]) => `${key} ${count}`).join(', ')}; runs ${runCount}`,
  );
  /** Time for which two runs went on together while neither was silent. */
  function findOverlap(earlier, later) {
    const until = Math.min(earlier.endedAt, later.endedAt);
    const silentUntil = silences
      .filter(({id}) => id === earlier.replica || id === later.replica)
      .filter(({since}) => since < until)
      .reduce((latest, silence) => Math.max(latest, silence.until), 0);
    const workedFrom = Math.max(later.beganAt, silentUntil);
    return {
      overlapMs: until - later.beganAt,
      workedMs: Math.max(0, until - workedFrom),
    };
  }

  const breaches = [];
  for (const [id, runs] of runsById) {
    for (const [index, later] of runs.entries()) {
      for (const earlier of runs.slice(0, index)) {
        const {overlapMs, workedMs} = findOverlap(earlier, later);
        const text = `${id} went on at ${later.replica}, and ${earlier.replica} still worked on it ${overlapMs} ms later; neither was silent in the last ${workedMs} ms of them`;
        record(text);
        if (workedMs > ALLOWED_OVERLAP_MS + MARGIN_MS) {
          breaches.push(`TWICE: ${text}; ${ALLOWED_OVERLAP_MS} ms are allowed`);
        }
      }
    }
  }
  return breaches;
});
