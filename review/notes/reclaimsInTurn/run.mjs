/**
 * The replicas of one zone are reclaimed, and those of another zone shortly after,
 * while they make streams that may not be resumed. All of it is planned work.
 */
import {fork} from 'node:child_process';
import http from 'node:http';
import {fileURLToPath} from 'node:url';
import {send} from '../../lib/client.mjs';
import {createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';

const SLOTS = 96;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const REPLICAS_PER_ZONE = 2;
/** Forty for each replica, of its 96 slots. */
const STREAM_COUNT = 240;
/** Time between the starts of two streams. */
const START_GAP_MS = 4;
/** Pieces of a stream; the sheet has 93 in the mean, 242 at most. */
const EVENT_COUNT = 140;
const EVENT_MS = 60;
/** Time that the answer to a move takes on its way. */
const ANSWER_MS = 3;
/** Time from the start of the streams until the first zone is reclaimed. */
const RECLAIM_AFTER_MS = 3_000;
/** Time between the two reclaims; the first one's streams are on the move then. */
const BETWEEN_MS = 2_200;
/** Time from the notice to a replica's end, as in the days of the site file. */
const NOTICE_MS = 2_900;
/** Short delay after which the platform starts an ended process again. */
const RESTART_MS = 1_000;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'cycle-chat',
      Host: 'fleet.example',
      PathPrefix: '/chat/',
      Kind: 'streaming',
      TimeoutMs: 15_000,
      GoalMs: 600,
      GapAimMs: 400,
      Service: 'skylark-quotes',
      Attempts: 1,
      Sticky: true,
      Resumable: false,
    },
  ],
  Services: [
    {
      Name: 'skylark-quotes',
      MaxConns: 500,
      HealthPath: '/healthz',
      Engine: {
        Slots: SLOTS,
        KvTokens: 297_702,
        Stride: 3,
        Moves: true,
        HandleS: 5,
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

/** Starts a replica and resolves to it once it listens. */
function startEngine(id, zone, onDidTell) {
  const child = fork(
    fileURLToPath(new URL('../../2/engine.mjs', import.meta.url)),
    [id, EVENT_COUNT, EVENT_MS, ANSWER_MS, SLOTS].map(String),
  );
  return new Promise((resolve, reject) => {
    child.once('exit', code => reject(new Error(`${id} ended: ${code}`)));
    child.on('message', message => {
      if (message.type === 'listening') {
        resolve({
          id,
          zone,
          child,
          address: message.address,
          bornAt: Date.now(),
        });
        return;
      }
      onDidTell(message);
    });
  });
}

function registrationOf({address, zone, bornAt}, fields) {
  return {
    Service: 'skylark-quotes',
    Addr: address,
    Zone: zone,
    Version: 'v1',
    Slots: SLOTS,
    Spot: true,
    ColdLeftMs: 0,
    Seq: 1,
    born: bornAt,
    ...fields,
  };
}

/** Asks a gateway for the addresses that clients may use. */
function resolveAddresses(address) {
  const query = 'Name=fleet.example&Region=region&Zone=zone-a';
  return new Promise((resolve, reject) => {
    http
      .get(
        `http://${address}/skylarkfield/resolve?${query}`,
        {agent: false},
        response => {
          let text = '';
          response.on('data', chunk => (text += chunk));
          response.on('end', () => resolve(JSON.parse(text).Addrs));
        },
      )
      .on('error', reject);
  });
}

/** Counts the pieces of an answer by the replica that made them. */
function countPieces(body) {
  const counts = {};
  for (const [, id] of body.matchAll(/data: (\S+) makes/g)) {
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  /** Replicas that ran each request, without those that went on with a run. */
  const runsById = new Map();
  const goneOnById = new Map();

  function onDidTell({type, replica, attemptId}) {
    const replicasById = {run: runsById, 'goes-on': goneOnById}[type];
    if (replicasById !== undefined) {
      const replicas = replicasById.get(attemptId) ?? [];
      replicasById.set(attemptId, [...replicas, replica]);
    }
  }

  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);
  const engines = [];
  for (const zone of ZONES) {
    for (let number = 1; number <= REPLICAS_PER_ZONE; number += 1) {
      const engine = await startEngine(`${zone}-${number}`, zone, onDidTell);
      engines.push(engine);
      onEnd(() => engine.child.kill('SIGKILL'));
      store.put('servers', engine.id, registrationOf(engine, {State: 'ready'}));
    }
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
  await sleep(3_000);

  /** Stops the second gateway and starts it again. */
  async function rollSecond() {
    const [, second] = fleet.nodes;
    fleet.signal(second, 'SIGTERM');
    await second.child.ended;
    await sleep(RESTART_MS);
    fleet.start(second);
  }

  function sendStream(address, attemptId, index) {
    const ownPart = (0x9_1bd3_f06 + index).toString(16);
    return send(address, {
      method: 'POST',
      path: '/chat/1',
      timeoutMs: 16_000,
      headers: {
        Host: 'fleet.example',
        'X-Try-Id': attemptId,
        'X-Deadline-Ms': '15000',
        'X-Model': 'm',
        'X-Token-Counts': '715,360',
        'X-Prompt-Prefix': `5c1e07a2:172,${ownPart}:543`,
      },
      body: 'a question',
    });
  }

  /** Empties the replicas of a zone, and takes them away. */
  async function reclaim(zone) {
    record(`the replicas of ${zone} report draining`);
    const leaving = engines.filter(engine => engine.zone === zone);
    for (const engine of leaving) {
      const fields = {State: 'draining', leaves_ms: NOTICE_MS};
      store.put('servers', engine.id, registrationOf(engine, fields));
    }
    await sleep(NOTICE_MS);
    record(`the replicas of ${zone} are gone`);
    for (const engine of leaving) {
      engine.child.kill('SIGKILL');
      store.remove('servers', engine.id);
    }
  }

  const [first] = fleet.nodes;
  const rolled = rollSecond();
  let addresses;
  do {
    await sleep(100);
    addresses = await resolveAddresses(first.listen.Directory);
  } while (addresses.length > 1);
  record(`the directory names ${addresses.join(' ')}`);

  const attemptIds = Array.from(
    {length: STREAM_COUNT},
    (_, index) => `cycle-chat-${index}`,
  );
  const sent = Promise.all(
    attemptIds.map(async (attemptId, index) => {
      await sleep(index * START_GAP_MS);
      return sendStream(addresses[0], attemptId, index);
    }),
  );
  await sleep(RECLAIM_AFTER_MS);
  record(`${runsById.size} of ${STREAM_COUNT} streams run`);
  const reclaims = [];
  if (hasTrouble) {
    reclaims.push(reclaim(ZONES[0]));
    await sleep(BETWEEN_MS);
    reclaims.push(reclaim(ZONES[1]));
  }
  const answers = await sent;
  await Promise.all([...reclaims, rolled]);
  for (const [index, id] of attemptIds.entries()) {
    const {status, body, isComplete} = answers[index];
    const goneOn = goneOnById.get(id) ?? [];
    record(
      `${id}: status ${status}, ${isComplete ? 'complete' : 'broken off'}, ` +
        `run by ${runsById.get(id)}` +
        (goneOn.length > 0 ? `, gone on at ${goneOn}` : '') +
        `, pieces ${countPieces(body)}`,
    );
  }
  const repeated = [...runsById].filter(([, replicas]) => replicas.length > 1);
  record(`streams that ran twice: ${repeated.length} of ${STREAM_COUNT}`);
  return repeated.map(
    ([id, replicas]) =>
      `TWICE: ${id}, a stream that may not be resumed, runs at ${replicas.join(' and ')}`,
  );
});
