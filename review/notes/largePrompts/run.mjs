/**
 * Some clients send prompts that are larger than a replica's memory, which the
 * replicas reject as if they were full. Others use the same gateways meanwhile.
 */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {createGateways} from '../../lib/gateways.mjs';
import {send} from '../../lib/client.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const CONTACT_MS = 3_000;
const LOAD_MS = 90_000;
/** Short delay after which the platform starts an ended process again. */
const RESTART_MS = 500;

/** Memory of a model replica, in tokens, as in the sheet. */
const MEMORY_TOKENS = 297_702;
/** Parts of a usual prompt of `mould-quote`, in tokens, as in the sheet. */
const USUAL_PARTS = {shared: 6_300, own: 2_890};
/** Parts of a large prompt. Its body is within `BodyBytes`, like all others. */
const LARGE_PARTS = {shared: 1_900_000, own: 2_890};
/** Bytes of a prompt's token in the body, as in the site file. */
const TOKEN_BYTES = 2;
/** Events of an answer to a usual prompt, and the time between two. */
const EVENT_COUNT = 12;
const EVENT_MS = 25;
/** Clients of model requests for each gateway, and the time between two. */
const MODEL_CLIENTS = 8;
const MODEL_PAUSE_MS = 120;

/** Clients of the desk for each gateway, and the time between two requests. */
const DESK_CLIENTS = 12;
const DESK_PAUSE_MS = 100;
/** Usual work of a request, and that of one in four, within the sheet's 450 ms. */
const WORK_MS = 85;
const LONG_WORK_MS = 430;
const LONG_SHARE = 4;

/** Losses that the rule LOST allows. */
const ALLOWED_LOSSES = 3;
/** Ends of one process, and processes, from which the day has a fault. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'mould-quote',
      Host: 'shop.example',
      PathPrefix: '/quote/',
      Kind: 'streaming',
      TimeoutMs: 6_000,
      GoalMs: 1_000,
      GapAimMs: 400,
      Service: 'skylark-quotes',
      Attempts: 1,
      Public: true,
      Sticky: true,
      Resumable: false,
    },
    {
      Name: 'quote-lookup',
      Host: 'shop.example',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      TimeoutMs: 4_000,
      GoalMs: 386,
      Service: 'quote-desk',
      Attempts: 2,
      Public: true,
    },
    {
      Name: 'po-confirm',
      Host: 'shop.example',
      PathPrefix: '/order/',
      Kind: 'non_idempotent',
      TimeoutMs: 4_000,
      GoalMs: 386,
      Service: 'quote-desk',
      Attempts: 1,
      Public: true,
    },
  ],
  Services: [
    {
      Name: 'skylark-quotes',
      MaxConns: 500,
      HealthPath: '/healthz',
      Engine: {Slots: 96, KvTokens: MEMORY_TOKENS, Stride: 3},
    },
    {Name: 'quote-desk', MaxConns: 110, HealthPath: '/healthz'},
  ],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
  Tenants: [],
};

/** Answers a prompt with some events, or rejects one that is too large. */
async function answerPrompt(request, response) {
  const [promptTokens] = request.headers['x-token-counts']
    .split(',')
    .map(Number);
  if (promptTokens > MEMORY_TOKENS) {
    response.removeHeader('X-Reply-Seal');
    response.writeHead(503, {'X-Not-Run': '1'}).end();
    return;
  }
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  for (let event = 1; event <= EVENT_COUNT; event += 1) {
    await sleep(EVENT_MS);
    response.write(`id: ${event}\ndata: a piece\n\n`);
  }
  response.end();
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);

  async function addReplica(id, service, slots, answer) {
    const replica = await startReplica({
      id,
      service,
      zone: 'zone-a',
      slots,
      answer,
    });
    onEnd(replica.close);
    store.put('servers', replica.id, replica.registration);
    return replica;
  }

  const desks = [];
  for (const number of [1, 2, 3]) {
    await addReplica(`engine-${number}`, 'skylark-quotes', 96, answerPrompt);
    desks.push(
      await addReplica(
        `desk-${number}`,
        'quote-desk',
        6,
        (_, response, {attemptId}) =>
          setTimeout(
            () => response.end(`answer to ${attemptId}`),
            Number(attemptId.slice(1)) % LONG_SHARE === 0
              ? LONG_WORK_MS
              : WORK_MS,
          ),
      ),
    );
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
  record('both gateways are ready');
  await sleep(CONTACT_MS + 500);

  let isLoaded = true;
  let lastId = 0;
  const deskAttempts = [];
  const promptStatuses = {};
  const parts = hasTrouble ? LARGE_PARTS : USUAL_PARTS;
  const prompt = Buffer.alloc((parts.shared + parts.own) * TOKEN_BYTES, 'a');

  /** Starts an ended process again, as the platform does. */
  async function keepRunning(node) {
    while (isLoaded) {
      await node.child.ended;
      await sleep(RESTART_MS);
      if (isLoaded) {
        fleet.start(node);
      }
    }
  }

  function partId() {
    lastId += 1;
    return (0x1000_0000 + lastId).toString(16);
  }

  /** Sends a prompt, waits, and sends the next one. */
  async function keepPrompting(node) {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    onEnd(() => agent.destroy());
    while (isLoaded) {
      const {shared, own} = parts;
      const sharedId = partId();
      const {status} = await send(node.listen.Front, {
        method: 'POST',
        path: '/quote/1',
        headers: {
          Host: 'shop.example',
          'X-Try-Id': `p${partId()}`,
          'X-Deadline-Ms': '6000',
          'X-Model': 'm',
          'X-Token-Counts': `${shared + own},51`,
          'X-Prompt-Prefix': `${sharedId}:${shared},${partId()}:${own}`,
        },
        body: prompt,
        agent,
      });
      promptStatuses[status] = (promptStatuses[status] ?? 0) + 1;
      await sleep(MODEL_PAUSE_MS);
    }
  }

  /** Sends requests to the desk, one after the other over one connection. */
  async function keepAsking(node, index) {
    let agent = new http.Agent({keepAlive: true, maxSockets: 1});
    let answered = 0;
    const isOrder = index % 2 === 0;
    while (isLoaded) {
      lastId += 1;
      const id = `d${lastId}`;
      const sentAt = performance.now();
      const {status, isComplete, error} = await send(node.listen.Front, {
        method: isOrder ? 'POST' : 'GET',
        path: isOrder ? '/order/a' : '/lookup/a',
        headers: {
          Host: 'shop.example',
          'X-Try-Id': id,
          'X-Deadline-Ms': '4000',
        },
        body: isOrder ? 'one mould' : undefined,
        agent,
        timeoutMs: 8_000,
      });
      const isAnswered = status !== undefined && isComplete;
      deskAttempts.push({id, sentAt, isKept: answered > 0, isAnswered, error});
      answered += 1;
      await sleep(DESK_PAUSE_MS);
      if (!isAnswered) {
        agent.destroy();
        agent = new http.Agent({keepAlive: true, maxSockets: 1});
        answered = 0;
      }
    }
    agent.destroy();
  }

  fleet.nodes.forEach(node => void keepRunning(node));
  const clients = fleet.nodes.flatMap(node => [
    ...Array.from({length: MODEL_CLIENTS}, () => keepPrompting(node)),
    ...Array.from({length: DESK_CLIENTS}, (_, index) =>
      keepAsking(node, index),
    ),
  ]);
  const loadedAt = performance.now();
  await sleep(LOAD_MS);
  isLoaded = false;
  await Promise.all(clients);
  const loadedS = (performance.now() - loadedAt) / 1_000;
  const endCounts = fleet.nodes.map(({ownEnds}) => ownEnds.length);
  for (const node of fleet.nodes.filter(({ownEnds}) => ownEnds.length > 0)) {
    const trace = /^FATAL ERROR.*$/m.exec(fleet.readLog(node));
    record(`${node.name} wrote: ${trace?.[0]}`);
  }

  const runIds = new Set(
    desks.flatMap(({runs}) => runs.map(({attemptId}) => attemptId)),
  );
  const lost = deskAttempts.filter(
    ({id, isKept, isAnswered, error}) =>
      isKept && !isAnswered && error !== 'timeout' && runIds.has(id),
  );
  const promptCount = Object.values(promptStatuses).reduce((a, b) => a + b, 0);
  record(
    `prompts of ${parts.shared + parts.own} tokens: ${promptCount}, ` +
      `${(promptCount / loadedS).toFixed(1)} a second, by status ${JSON.stringify(promptStatuses)}`,
  );
  record(
    `requests to the desk: ${deskAttempts.length}, answered ${
      deskAttempts.filter(({isAnswered}) => isAnswered).length
    }, run ${runIds.size}`,
  );
  record(
    `run by a sound replica, but closed without an answer on a kept connection: ${lost.length} (${lost
      .slice(0, 12)
      .map(({id}) => id)
      .join(' ')})`,
  );
  record(`ends of processes by themselves: ${endCounts.join(', ')}`);
  const breaches = [];
  if (lost.length > ALLOWED_LOSSES) {
    breaches.push(
      `LOST: ${lost.length} requests were passed on to a sound replica, and their kept connections closed without an answer; ${ALLOWED_LOSSES} are allowed`,
    );
  }
  const faultyCount = endCounts.filter(count => count >= FAULT_ENDS).length;
  if (faultyCount >= FAULT_MACHINES) {
    breaches.push(
      `Fault: on ${faultyCount} of 2 machines, processes ended by themselves ${FAULT_ENDS} times or more`,
    );
  }
  return breaches;
});
