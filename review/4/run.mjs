/**
 * The registrations hold an entry of another writer, whose address is none, while
 * a new version of the model replicas is rolled out.
 */
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../lib/client.mjs';
import {BOUNDS, createGateways} from '../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../lib/platform.mjs';
import {runCase} from '../lib/record.mjs';
import {startReplica} from '../lib/replica.mjs';

const GATEWAYS = 6;
/** Replicas of each version. */
const REPLICAS = 6;
const SLOTS = 96;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Machines of the sheet, by which its requests a second are divided. */
const SHEET_MACHINES = 9;
/** A step of a replica makes one token of a stream; an event holds three. */
const EVENT_MS = 3 * 4.73;
const PROMPT_TOKENS_PER_MS = 38.4;
/** Time to the first event beside that for the prompt; as in the site file. */
const FIRST_MS = 40;
/** The platform starts a process that has ended again after this time. */
const RESTART_MS = 500;
/** Period of the rollout; the pages set no limit. */
const PERIOD_S = 36;
/** From the order of the rollout to the registration of the new replicas. */
const BOOT_MS = 1_000;
/** States with which a rollout, and with it the watch, ends. */
const FINAL_STATES = ['done', 'rolled_back'];
/** More unanswered requests of kept connections break the rule. */
const MOST_LOST = 3;
/** Ends of one process by itself that are a fault, at two machines. */
const FAULTY_ENDS = 3;
const FAULTY_MACHINES = 2;

/** The streams of the sheet: a second, tokens of prompts, events. */
const STREAMS = [
  {
    name: 'mould-quote',
    perS: 18.1,
    promptTokens: 2_890,
    events: 17,
    timeoutMs: 6_000,
    aimMs: 1_000,
    attempts: 1,
    isResumable: false,
    priority: 1,
  },
  {
    name: 'quote-revision',
    perS: 24.9,
    promptTokens: 1_800,
    events: 8,
    timeoutMs: 4_000,
    aimMs: 800,
    attempts: 2,
    isResumable: true,
    priority: 0,
  },
  {
    name: 'cycle-chat',
    perS: 27.5,
    promptTokens: 543,
    events: 93,
    timeoutMs: 15_000,
    aimMs: 600,
    attempts: 1,
    isResumable: false,
    priority: 2,
  },
];

const CONFIGURATION = {
  Version: 1,
  Routes: STREAMS.map(stream => ({
    Name: stream.name,
    Host: 'fleet.example',
    PathPrefix: `/${stream.name}/`,
    Kind: 'streaming',
    TimeoutMs: stream.timeoutMs,
    GoalMs: stream.aimMs,
    GapAimMs: 400,
    Priority: stream.priority,
    Service: 'skylark-quotes',
    Attempts: stream.attempts,
    Resumable: stream.isResumable,
    Public: true,
  })),
  Services: [
    {
      Name: 'skylark-quotes',
      HealthPath: '/healthz',
      MaxConns: 500,
      Engine: {Slots: SLOTS, KvTokens: 297_702, Stride: 3},
    },
  ],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
  Tenants: [],
};

/** Answers with the events of a stream, as a replica with free slots does. */
function answerStream(request, response, {server}) {
  const name = request.url.split('/')[1];
  const {promptTokens, events} = STREAMS.find(stream => stream.name === name);
  let event = Number(request.headers['last-event-id'] ?? 0);
  response.setHeader('Content-Type', 'text/event-stream');
  function sendEvent() {
    event += 1;
    response.write(`id: ${event}\ndata: piece ${event}\n\n`);
    if (event < events) {
      timer = setTimeout(sendEvent, EVENT_MS);
    } else {
      response.end();
    }
  }
  let timer = setTimeout(
    sendEvent,
    FIRST_MS + promptTokens / PROMPT_TOKENS_PER_MS,
  );
  server.running = (server.running ?? 0) + 1;
  response.on('close', () => {
    clearTimeout(timer);
    server.running -= 1;
  });
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const dutyApi = await startDutyApi(() => {});
  onEnd(() => dutyApi.close());
  const replicas = [];

  async function startVersion(version) {
    const added = await Promise.all(
      Array.from({length: REPLICAS}, async (_, index) => {
        const replica = await startReplica({
          id: `i-${version}-${index}`,
          service: 'skylark-quotes',
          zone: ZONES[index % ZONES.length],
          slots: SLOTS,
          answer: (request, response) =>
            answerStream(request, response, replica),
        });
        return replica;
      }),
    );
    for (const replica of added) {
      onEnd(() => replica.close());
      replica.registration.Version = version;
      store.put('servers', replica.id, replica.registration);
    }
    replicas.push(...added);
    record(`the replicas of ${version} are registered`);
  }

  await startVersion('v1');
  store.put('config', 'main', CONFIGURATION);
  const gateways = await createGateways({
    count: GATEWAYS,
    zones: ZONES,
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
  /** Ends of all requests, in the order in which they ended. */
  const ends = [];
  let sent = 0;

  function sendStream(index, {name, timeoutMs}) {
    const node = gateways.nodes[index];
    sent += 1;
    const id = `${name}-${sent}`;
    let isKept = false;
    send(node.listen.Front, {
      method: 'POST',
      path: `/${name}/${sent}`,
      headers: {
        Host: 'fleet.example',
        'X-Try-Id': id,
        'X-Deadline-Ms': String(timeoutMs),
      },
      body: `prompt ${sent}`,
      agent: agents[index],
      timeoutMs: timeoutMs + 1_000,
      onRequest(request) {
        request.once('socket', () => (isKept = request.reusedSocket));
      },
    }).then(({status, isComplete, error}) => {
      ends.push({id, isKept, status, isComplete, error, node: node.name});
    });
  }

  const loads = gateways.nodes.flatMap((_, index) =>
    STREAMS.map(stream =>
      setInterval(
        () => sendStream(index, stream),
        (1_000 * SHEET_MACHINES) / stream.perS,
      ),
    ),
  );
  onEnd(() => loads.forEach(clearInterval));

  let isEnding = false;
  onEnd(() => (isEnding = true));
  const startTimes = new Map();
  const watch = setInterval(() => {
    for (const node of gateways.nodes) {
      const {child} = node;
      const hasEnded = child.exitCode !== null || child.signalCode !== null;
      if (hasEnded && !startTimes.has(child) && !isEnding) {
        startTimes.set(
          child,
          setTimeout(() => gateways.start(node), RESTART_MS),
        );
      }
    }
  }, 20);
  onEnd(() => {
    clearInterval(watch);
    startTimes.forEach(timer => clearTimeout(timer));
  });

  await sleep(BOUNDS.ContactMs);
  store.put('rollouts', 'skylark-quotes', {
    Service: 'skylark-quotes',
    Target: 'v2',
    PeriodS: PERIOD_S,
  });
  record(`rollout of v2 ordered, to be done in ${PERIOD_S} s`);
  await sleep(BOOT_MS);
  await startVersion('v2');
  await sleep(BOOT_MS);
  if (hasTrouble) {
    const entry = {...replicas[0].registration, Addr: '127.0.0.1:83088'};
    store.put('servers', 'entry-of-another-writer', entry);
    record(`entry of another writer: ${JSON.stringify(entry)}`);
  }
  const stateOf = () => store.get('rollouts', 'skylark-quotes').status?.State;
  const endsAt = Date.now() + PERIOD_S * 1_000 - 2 * BOOT_MS;
  while (Date.now() < endsAt && !FINAL_STATES.includes(stateOf())) {
    await sleep(20);
  }
  record(`state of the rollout: ${stateOf()}`);
  loads.forEach(clearInterval);
  await sleep(5_000);
  isEnding = true;

  const ranAt = new Map(
    replicas.flatMap(({id, runs}) =>
      runs.map(({attemptId}) => [attemptId, id]),
    ),
  );
  const outcomes = new Map();
  for (const {id, isKept, status, isComplete, error, node} of ends) {
    const connection = isKept ? 'a kept' : 'a new';
    const outcome = `${status ?? 'nothing'} ${isComplete ? 'complete' : (error ?? 'broken off')}`;
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    record(
      `${id}: sent to ${node} on ${connection} connection, ran at ${ranAt.get(id) ?? 'none'}, answered ${outcome}`,
    );
  }
  record(`answers: ${JSON.stringify([...outcomes])}`);
  const lost = ends.filter(
    ({id, isKept, status}) => status === undefined && isKept && ranAt.has(id),
  );
  for (const {id, error, node} of lost) {
    record(
      `${id}, sent to ${node}, ran at ${ranAt.get(id)}, and got no answer: ${error}`,
    );
  }
  const lostCounts = gateways.nodes.map(
    ({name}) => lost.filter(({node}) => node === name).length,
  );
  const endCounts = gateways.nodes.map(({ownEnds}) => ownEnds.length);
  record(
    `ends of processes by themselves, by machine: ${endCounts.join(', ')}`,
  );
  record(
    `streams from kept connections that ran at sound replicas and got no answer, by machine: ${lostCounts.join(', ')}`,
  );
  for (const node of gateways.nodes.filter(({ownEnds}) => ownEnds.length > 0)) {
    const cause = gateways
      .readLog(node)
      .split('\n')
      .find(line => line.includes('Error'));
    record(`${node.name} wrote: ${cause}`);
  }
  const breaches = [];
  const mostLost = Math.max(...lostCounts);
  if (mostLost > MOST_LOST) {
    breaches.push(
      `LOST: ${mostLost} requests of kept connections were passed on by one machine and not answered`,
    );
  }
  const faulty = endCounts.filter(count => count >= FAULTY_ENDS).length;
  if (faulty >= FAULTY_MACHINES) {
    breaches.push(
      `Fault: processes ended by themselves ${FAULTY_ENDS} times or more on ${faulty} machines`,
    );
  }
  return breaches;
});
