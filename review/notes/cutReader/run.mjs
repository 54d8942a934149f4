/**
 * The gateway that reads the store for all others is cut off from the store, and just
 * after that a replica reports that it leaves.
 */
import http from 'node:http';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {send} from '../../lib/client.mjs';
import {createGateways} from '../../lib/gateways.mjs';
import {startLink} from '../../lib/link.mjs';
import {listen, sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 4;
/** As many as the sheet has. */
const REPLICAS = 6;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const ROUNDS = 12;
const ROUND_MS = 6_800;
/**
 * Step by which each cut comes later after the end of the cut before: a read takes up
 * to 1,500 ms, and the moments of the cuts are spread evenly over it.
 */
const STEP_MS = 150;
const STEPS = 10;
/** Length of a cut; the site file has 5,500. */
const CUT_MS = 2_800;
/** Time from the cut to the replica's report. */
const REPORT_AFTER_MS = 50;
/** Bound of the rule. */
const DRAIN_MS = 2_000;
/** Time for which a replica serves after its report: `DrainMs` and a little longer. */
const SERVES_MS = 2_500;
/** Streams a second at each gateway; together the 60.6 of all kinds of the sheet. */
const STREAMS_PER_S = 15;
/** Pieces of a stream, as in the sheet, and the time that each takes. */
const EVENT_COUNT = 36;
const EVENT_MS = 20;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'swatch-advice',
      Host: 'fleet.example',
      PathPrefix: '/advice/',
      Kind: 'streaming',
      TimeoutMs: 10_000,
      GoalMs: 400,
      GapAimMs: 400,
      Service: 'skylark-pool',
      Attempts: 1,
      Resumable: false,
    },
  ],
  Services: [{Name: 'skylark-pool', MaxConns: 300, HealthPath: '/healthz'}],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
};

/** Ids of the replicas that have reported to leave. */
const leavingIds = new Set();

/** Answers with a stream of events, until its end or that of its connection. */
async function answerStream(request, response, {id}) {
  let isClosed = false;
  response.once('close', () => (isClosed = true));
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    ...(leavingIds.has(id) && {Connection: 'close'}),
  });
  for (let event = 1; event <= EVENT_COUNT; event += 1) {
    await sleep(EVENT_MS);
    if (isClosed) {
      return;
    }
    response.write(`id: ${event}\ndata: piece ${event}\n\n`);
  }
  response.end();
}

/** Passes connections to the store on; tells of calls for changes of replicas. */
async function startWatchObserver(target, onDidWatch) {
  const [host, port] = target.split(':');
  const sockets = new Set();
  const server = net.createServer({allowHalfOpen: true}, caller => {
    const origin = net.connect({host, port: Number(port), allowHalfOpen: true});
    sockets.add(caller).add(origin);
    caller.on('data', bytes => {
      if (bytes.toString('latin1').includes('objects/servers?Watch=')) {
        onDidWatch();
      }
    });
    caller.pipe(origin).pipe(caller);
    caller.on('error', () => origin.destroy());
    origin.on('error', () => caller.destroy());
  });
  const address = await listen(server);
  return {
    address,
    close() {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const dutyApi = await startDutyApi(() => {});
  onEnd(dutyApi.close);
  /** Links of the gateways to the store, in their order. */
  const links = [];
  /** Index of the gateway that reads the changes of replicas. */
  let reader = 0;
  for (let index = 0; index < GATEWAYS; index += 1) {
    const observer = await startWatchObserver(
      store.address,
      () => (reader = index),
    );
    onEnd(observer.close);
    const link = await startLink(observer.address);
    onEnd(link.close);
    links.push(link);
  }
  const replicas = [];

  async function addReplica() {
    const number = replicas.length;
    const replica = await startReplica({
      id: `i-${number}`,
      service: 'skylark-pool',
      zone: ZONES[number % ZONES.length],
      slots: 48,
      answer: answerStream,
    });
    onEnd(replica.close);
    replicas.push(replica);
    store.put('servers', replica.id, replica.registration);
  }

  for (let index = 0; index < REPLICAS; index += 1) {
    await addReplica();
  }
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: GATEWAYS,
    storeAddress: ({name}) => links[Number(name.split('-').at(-1)) - 1].address,
    dutyAddress: dutyApi.address,
    zones: ZONES,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();
  await sleep(3_000);

  const answers = [];
  let isOver = false;

  async function sendStreams({listen: {Front: address}}, index) {
    const agent = new http.Agent({keepAlive: true});
    for (let count = 0; !isOver; count += 1) {
      const attemptId = `swatch-advice-${index}-${count}`;
      void send(address, {
        method: 'POST',
        path: '/advice/1',
        agent,
        headers: {
          Host: 'fleet.example',
          'X-Try-Id': attemptId,
          'X-Deadline-Ms': '10000',
        },
        body: 'a question',
      }).then(answer => answers.push(answer));
      await sleep(1_000 / STREAMS_PER_S);
    }
    await sleep(2_000);
    agent.destroy();
  }

  /** Returns the gateway that a request was sent to. */
  function gatewayOf(attemptId) {
    return fleet.nodes[Number(attemptId.split('-')[2])];
  }

  async function playRound(leaving) {
    const cutOff = reader;
    if (hasTrouble) {
      const {name} = fleet.nodes[cutOff];
      record(`${name}, which reads for the others, is cut off from the store`);
      links[cutOff].cut();
    }
    await sleep(REPORT_AFTER_MS);
    store.put('servers', leaving.id, {
      ...leaving.registration,
      State: 'draining',
    });
    leavingIds.add(leaving.id);
    const reportedAt = performance.now();
    record(`${leaving.id} reports draining`);
    await sleep(SERVES_MS);
    leaving.close();
    store.remove('servers', leaving.id);
    record(`${leaving.id} is gone`);
    await sleep(CUT_MS - REPORT_AFTER_MS - SERVES_MS);
    links[cutOff].heal();
    await addReplica();
    const delays = leaving.runs.map(({at, attemptId}) => ({
      attemptId,
      delayMs: Math.round(at - reportedAt),
      gateway: gatewayOf(attemptId),
    }));
    const lastMs = Math.max(0, ...delays.map(({delayMs}) => delayMs));
    record(`last request to ${leaving.id}: ${lastMs} ms after its report`);
    return delays
      .filter(({delayMs}) => delayMs > DRAIN_MS)
      .filter(({gateway}) => !hasTrouble || gateway !== fleet.nodes[cutOff])
      .map(
        ({attemptId, delayMs, gateway}) =>
          `DRAIN: ${attemptId} reaches ${leaving.id} ${delayMs} ms after its report, sent by ${gateway.name}, which isn't cut off`,
      );
  }

  const allSent = Promise.all(fleet.nodes.map(sendStreams));
  const breaches = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const endsAt = performance.now() + ROUND_MS;
    breaches.push(...(await playRound(replicas[round])));
    await sleep(endsAt + (round % STEPS) * STEP_MS - performance.now());
  }
  isOver = true;
  await allSent;
  const incomplete = answers.filter(
    ({status, isComplete}) => status !== 200 || !isComplete,
  );
  record(
    `streams that their replica ran and that broke off or failed: ${incomplete.length} of ${answers.length}`,
  );
  return breaches;
});
