/**
 * The operator orders the next version while the replicas of the version that was
 * rolled back have not drained yet.
 */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const REQUESTS_PER_S = 160;
const WORK_MS = 20;
/** From the order of a rollout to the registration of the new replicas. */
const BOOT_MS = 1_000;
const PERIOD_S = 16;
/** Share of the answers of version 2 that are failures. */
const BAD_SHARE = 0.15;
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;
const ROLLBACK_MS = 5_000;
/** From `rolled_back` to the next order, and to the drain of the replicas. */
const NEXT_ORDER_MS = 500;
const DRAIN_MS = 8_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'lookup',
      Host: 'shop.example',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      TimeoutMs: 1_000,
      GoalMs: 100,
      Priority: 2,
      Service: 'app',
      Attempts: 2,
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
  /** Times of the bad answers of version 2. */
  const badAt = [];

  async function startVersion(version) {
    const replicas = await Promise.all(
      Array.from({length: REPLICAS}, (_, index) =>
        startReplica({
          id: `i-${version}-${index}`,
          service: 'app',
          zone: ZONES[index],
          answer(request, response) {
            const isBad = version === 'v2' && Math.random() < BAD_SHARE;
            setTimeout(() => {
              if (isBad) {
                badAt.push(performance.now());
              }
              response.writeHead(isBad ? 500 : 200);
              response.end(isBad ? 'failed' : 'found');
            }, WORK_MS);
          },
        }),
      ),
    );
    for (const replica of replicas) {
      onEnd(() => replica.close());
      store.put('servers', replica.id, {
        ...replica.registration,
        Version: version,
      });
    }
    record(`the replicas of ${version} are registered`);
    return replicas;
  }

  function drain(replicas, version) {
    for (const {id} of replicas) {
      store.put('servers', id, {
        ...store.get('servers', id).spec,
        State: 'draining',
      });
    }
    record(`the replicas of ${version} drain`);
  }

  function order(version) {
    store.put('rollouts', 'app', {
      Service: 'app',
      Target: version,
      PeriodS: PERIOD_S,
    });
    record(`rollout of ${version} ordered, to be done in ${PERIOD_S} s`);
    return performance.now();
  }

  const first = await startVersion('v1');
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
  const statuses = new Map();
  const sentAt = new Map();
  let sent = 0;
  const load = setInterval(() => {
    const index = sent % GATEWAYS;
    sent += 1;
    const id = `try-${sent}`;
    sentAt.set(id, performance.now());
    send(gateways.nodes[index].listen.Front, {
      path: `/lookup/${sent}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': id,
        'X-Deadline-Ms': '1000',
      },
      agent: agents[index],
      timeoutMs: 3_000,
    }).then(({status}) =>
      statuses.set(status, (statuses.get(status) ?? 0) + 1),
    );
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => clearInterval(load));
  await sleep(BOUNDS.ContactMs + 2_000);

  const orderedAt = order('v2');
  const deadlineAt = orderedAt + PERIOD_S * 1_000;
  await sleep(BOOT_MS);
  const second = await startVersion('v2');
  while (store.get('rollouts', 'app').status?.State !== 'rolled_back') {
    if (performance.now() > deadlineAt) {
      throw new Error('version 2 was not rolled back in time');
    }
    await sleep(20);
  }
  record(`version 2 is rolled back after ${badAt.length} bad answers`);
  const rolledBackAt = performance.now();
  const all = [...first, ...second];
  let third = [];
  if (hasTrouble) {
    await sleep(NEXT_ORDER_MS);
    order('v3');
    await sleep(BOOT_MS);
    third = await startVersion('v3');
    all.push(...third);
  }
  await sleep(rolledBackAt + DRAIN_MS - performance.now());
  drain(second, 'v2');
  await sleep(BOUNDS.DrainMs);
  clearInterval(load);
  await sleep(500);

  function countRuns(replicas, from, until) {
    return replicas
      .flatMap(({runs}) => runs)
      .filter(({at}) => at >= from && at < until).length;
  }
  for (let at = orderedAt; at < performance.now(); at += 1_000) {
    record(
      `second ${Math.round((at - orderedAt) / 1_000) + 1} since the order of v2: ` +
        `${countRuns(first, at, at + 1_000)} requests at v1, ` +
        `${countRuns(second, at, at + 1_000)} at v2, ` +
        `${countRuns(third, at, at + 1_000)} at v3`,
    );
  }
  record(`answers by status: ${JSON.stringify([...statuses])}`);

  const breaches = [];
  const exposed = countRuns(second, orderedAt, deadlineAt);
  const most =
    countRuns(all, orderedAt, deadlineAt) * EXPOSE_SHARE + EXPOSE_SLACK;
  record(
    `until its deadline ${exposed} requests reached v2; at most ${most.toFixed(0)} may`,
  );
  if (exposed > most) {
    breaches.push(
      `EXPOSURE: ${exposed} requests reached the bad version, over ${most.toFixed(0)}`,
    );
  }
  const fiftiethAt = badAt[49] ?? Infinity;
  const late = second
    .flatMap(({runs}) => runs)
    .filter(
      ({attemptId}) => sentAt.get(attemptId) > fiftiethAt + ROLLBACK_MS,
    ).length;
  record(
    `${late} requests sent over ${ROLLBACK_MS} ms after its 50th bad answer reached v2`,
  );
  if (late > 0) {
    breaches.push(
      `EXPOSURE: ${late} requests sent over ${ROLLBACK_MS} ms after the 50th bad answer reached the bad version`,
    );
  }
  return breaches;
});
