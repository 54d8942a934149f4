/**
 * The registrations hold an entry of another writer, whose address is none, while
 * a new version is rolled out.
 */
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const REQUESTS_PER_S = 80;
const WORK_MS = 100;
/** The platform starts a process that has ended again after this time. */
const RESTART_MS = 500;
const PERIOD_S = 12;
/** From the order of the rollout to the registration of the new replicas. */
const BOOT_MS = 1_000;
/** More unanswered requests of kept connections break the rule. */
const MOST_LOST = 3;
/** Ends of one process by itself that are a fault, at two machines. */
const FAULTY_ENDS = 3;
const FAULTY_MACHINES = 2;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'order',
      Host: 'shop.example',
      PathPrefix: '/order/',
      Kind: 'non_idempotent',
      TimeoutMs: 1_000,
      GoalMs: 200,
      Priority: 2,
      Service: 'app',
      Attempts: 1,
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
  const replicas = [];

  async function startVersion(version) {
    const added = await Promise.all(
      Array.from({length: REPLICAS}, (_, index) =>
        startReplica({
          id: `i-${version}-${index}`,
          service: 'app',
          zone: ZONES[index % ZONES.length],
          answer(request, response) {
            setTimeout(() => {
              response.writeHead(200);
              response.end('ordered');
            }, WORK_MS);
          },
        }),
      ),
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
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(() => gateways.stopAll());
  await gateways.startAll();

  const agents = gateways.nodes.map(
    () => new http.Agent({keepAlive: true, maxSockets: 40}),
  );
  onEnd(() => agents.forEach(agent => agent.destroy()));
  const answers = new Map();
  /** Requests that ended without an answer. */
  const unanswered = [];
  let sent = 0;
  const load = setInterval(() => {
    const index = sent % GATEWAYS;
    sent += 1;
    const id = `try-${sent}`;
    let isKept = false;
    send(gateways.nodes[index].listen.Front, {
      method: 'POST',
      path: `/order/${sent}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': id,
        'X-Deadline-Ms': '1000',
      },
      body: `order ${sent}`,
      agent: agents[index],
      timeoutMs: 3_000,
      onRequest(request) {
        request.once('socket', () => (isKept = request.reusedSocket));
      },
    }).then(({status, error}) => {
      const name = String(status ?? error);
      answers.set(name, (answers.get(name) ?? 0) + 1);
      if (status === undefined) {
        unanswered.push({id, isKept, error, node: gateways.nodes[index].name});
      }
    });
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => clearInterval(load));

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
  store.put('rollouts', 'app', {
    Service: 'app',
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
  await sleep(PERIOD_S * 1_000 - 2 * BOOT_MS);
  clearInterval(load);
  await sleep(1_500);
  isEnding = true;

  const {status} = store.get('rollouts', 'app');
  record(`state of the rollout: ${JSON.stringify(status)}`);
  record(`answers: ${JSON.stringify([...answers])}`);
  const ranAt = new Map(
    replicas.flatMap(({id, runs}) =>
      runs.map(({attemptId}) => [attemptId, id]),
    ),
  );
  const lost = unanswered.filter(({id, isKept}) => isKept && ranAt.has(id));
  for (const {id, error, node} of lost.slice(0, 10)) {
    record(
      `${id}, sent to ${node}, ran at ${ranAt.get(id)}, and got no answer: ${error}`,
    );
  }
  const ends = gateways.nodes.map(({ownEnds}) => ownEnds.length);
  record(`ends of processes by themselves, by machine: ${ends.join(', ')}`);
  record(
    `${lost.length} orders from kept connections ran at sound replicas and got no answer`,
  );
  for (const node of gateways.nodes.filter(({ownEnds}) => ownEnds.length > 0)) {
    const cause = gateways
      .readLog(node)
      .split('\n')
      .find(line => line.includes('Error'));
    record(`${node.name} wrote: ${cause}`);
  }
  const breaches = [];
  if (lost.length > MOST_LOST) {
    breaches.push(
      `LOST: ${lost.length} requests of kept connections were passed on and not answered`,
    );
  }
  const faulty = ends.filter(count => count >= FAULTY_ENDS).length;
  if (faulty >= FAULTY_MACHINES) {
    breaches.push(
      `Fault: processes ended by themselves ${FAULTY_ENDS} times or more on ${faulty} machines`,
    );
  }
  return breaches;
});
