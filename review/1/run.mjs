/**
 * The replicas of a zone are reclaimed while they make streams that may not be
 * resumed, and one of them sends a few of its answers twice meanwhile; four times in
 * turn.
 */
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {send} from '../lib/client.mjs';
import {createGateways} from '../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../lib/platform.mjs';
import {runCase} from '../lib/record.mjs';

const SLOTS = 96;
/** Zones of the replicas; those of the first zone are reclaimed. */
const ZONES = ['zone-a', 'zone-a', 'zone-b'];
const ROUNDS = 4;
/** Streams of one round: thirty for each replica, of its 96 slots. */
const STREAM_COUNT = 90;
/** Time between the starts of two streams. */
const START_GAP_MS = 5;
const TOKENS_PER_EVENT = 3;
/** Pieces of the shortest and longest streams; the sheet has 93 in the mean. */
const EVENT_COUNTS = [30, 156];
const EVENT_MS = 60;
/** Time that the memory of one stream takes on the link. */
const COPY_MS = 4;
/** Time from the start of the streams until the replica is reclaimed. */
const RECLAIM_AFTER_MS = 3_000;
/** Time from the notice to the replica's end, as in the days of the site file. */
const NOTICE_MS = 2_900;
/** One of so many answers is sent twice, 0.03 of them, this one first. */
const DOUBLED_INTERVAL = 34;
const FIRST_DOUBLED = 8;

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
    fileURLToPath(new URL('engine.mjs', import.meta.url)),
    [id, TOKENS_PER_EVENT, EVENT_MS, COPY_MS, SLOTS].map(String),
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

function startRound(attemptIds, nodes) {
  return Promise.all(
    attemptIds.map(async (attemptId, index) => {
      await sleep(index * START_GAP_MS);
      const [fewest, most] = EVENT_COUNTS;
      const events = fewest + ((index * 37) % (most - fewest));
      return send(nodes[index % nodes.length].listen.Front, {
        method: 'POST',
        path: '/chat/1',
        timeoutMs: 16_000,
        headers: {
          Host: 'fleet.example',
          'X-Try-Id': attemptId,
          'X-Deadline-Ms': '15000',
          'X-Model': 'm',
          'X-Token-Counts': `715,${events * TOKENS_PER_EVENT}`,
          'X-Prompt-Prefix': `5c1e07a2:172,${(0x1bd3f06 + index).toString(16)}:543`,
        },
        body: 'a question',
      });
    }),
  );
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const breaches = [];
  let goneOn = 0;
  let doubled = 0;

  /** What the replicas ran, by request. */
  const runsById = new Map();

  function onDidTell({type, replica, attemptId, memoryOf, source, ...rest}) {
    if (type === 'run' || type === 'goes-on') {
      const runs = runsById.get(attemptId) ?? [];
      runsById.set(attemptId, [...runs, `${type} at ${replica}`]);
    }
    if (type === 'goes-on') {
      goneOn += 1;
      if (memoryOf !== attemptId) {
        const text = `${attemptId} goes on at ${replica} from ${source}, the memory of ${memoryOf}`;
        record(text);
        breaches.push(`MIXED: ${text}`);
      }
    } else if (type === 'doubled') {
      doubled += 1;
      record(`${replica} will send this answer again: ${rest.body}`);
    } else if (type === 'sent-second') {
      record(`${replica} has sent an answer again, to ${rest.url}`);
    }
  }

  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);

  async function addEngine(id, zone) {
    const engine = await startEngine(id, zone, onDidTell);
    onEnd(() => engine.child.kill('SIGKILL'));
    store.put('servers', id, registrationOf(engine, {State: 'ready'}));
    return engine;
  }

  /** Adds the replicas of the zone that is reclaimed in this round. */
  function addLeaving(round) {
    return Promise.all(
      ZONES.flatMap((zone, index) =>
        zone === ZONES[0] ? [addEngine(`${zone}-${index}-${round}`, zone)] : [],
      ),
    );
  }

  for (const zone of ZONES.filter(name => name !== ZONES[0])) {
    await addEngine(`${zone}-1`, zone);
  }
  let leaving = await addLeaving(1);
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: 2,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();
  const ends = new Map();
  let foreign = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    await sleep(3_000);
    const attemptIds = Array.from(
      {length: STREAM_COUNT},
      (_, index) => `chat-${round}-${index}`,
    );
    const sent = startRound(attemptIds, fleet.nodes);
    await sleep(RECLAIM_AFTER_MS);
    record(`the replicas of ${ZONES[0]} report draining`);
    for (const engine of leaving) {
      const fields = {State: 'draining', leaves_ms: NOTICE_MS};
      store.put('servers', engine.id, registrationOf(engine, fields));
    }
    if (hasTrouble) {
      const [{child}] = leaving;
      child.send({interval: DOUBLED_INTERVAL, first: FIRST_DOUBLED});
    }
    await sleep(NOTICE_MS);
    record(`the replicas of ${ZONES[0]} are gone`);
    for (const engine of leaving) {
      engine.child.removeAllListeners('exit');
      engine.child.kill('SIGKILL');
      store.remove('servers', engine.id);
    }
    const answers = await sent;
    for (const [index, {status, isComplete, body}] of answers.entries()) {
      const end = `${status} ${isComplete ? 'complete' : 'broken off'}`;
      ends.set(end, (ends.get(end) ?? 0) + 1);
      const runs = runsById.get(attemptIds[index]) ?? [];
      record(
        `${attemptIds[index]}: sent to ${fleet.nodes[index % fleet.nodes.length].name}, ${runs.join(', ')}, answered ${end}`,
      );
      const owners = new Set(
        [...body.matchAll(/memory of (\S+)/g)].map(([, owner]) => owner),
      );
      owners.delete(attemptIds[index]);
      if (owners.size > 0) {
        foreign += 1;
        record(
          `the client of ${attemptIds[index]} got pieces from the memory of ${[...owners]}: status ${end}`,
        );
      }
    }
    leaving = round < ROUNDS ? await addLeaving(round + 1) : [];
  }
  record(
    `answers: ${JSON.stringify([...ends])}; gone on: ${goneOn}; ` +
      `sent twice: ${doubled}; with foreign pieces: ${foreign}`,
  );
  return breaches;
});
