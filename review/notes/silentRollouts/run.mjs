/**
 * A bad version is rolled out after the open connections to the store have gone
 * silent for good.
 */
import {performance} from 'node:perf_hooks';
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';
import {startSilencer} from '../../lib/silencer.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const REQUESTS_PER_S = 160;
const WORK_MS = 20;
/** From the order of the rollout to the registration of the new replicas. */
const BOOT_MS = 500;
const PERIOD_S = 12;
/** The new version turns bad this long after its replicas have started. */
const BAD_AFTER_MS = 5_000;
const BAD_SHARE = 0.5;
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;
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
  let onWatch = () => {};
  const silencer = await startSilencer(store.address, text => {
    if (/^GET \/skylarkfield\/objects\/rollouts\?Watch=/m.test(text)) {
      onWatch();
    }
  });
  onEnd(() => silencer.close());

  async function startVersion(version) {
    const bornAt = performance.now();
    const replicas = await Promise.all(
      Array.from({length: REPLICAS}, (_, index) =>
        startReplica({
          id: `i-${version}-${index}`,
          service: 'app',
          zone: ZONES[index],
          answer(request, response) {
            const isBad =
              version === 'v2' &&
              performance.now() - bornAt > BAD_AFTER_MS &&
              Math.random() < BAD_SHARE;
            setTimeout(() => {
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
    return replicas;
  }

  const former = await startVersion('v1');
  store.put('config', 'main', CONFIGURATION);
  const gateways = await createGateways({
    count: GATEWAYS,
    storeAddress: silencer.address,
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
  let sent = 0;
  const load = setInterval(() => {
    const index = sent % GATEWAYS;
    sent += 1;
    send(gateways.nodes[index].listen.Front, {
      path: `/lookup/${sent}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': `try-${sent}`,
        'X-Deadline-Ms': '1000',
      },
      agent: agents[index],
      timeoutMs: 3_000,
    }).then(({status}) =>
      statuses.set(status, (statuses.get(status) ?? 0) + 1),
    );
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => clearInterval(load));
  await sleep(4_000);

  if (hasTrouble) {
    await new Promise(resolve => (onWatch = resolve));
    onWatch = () => {};
    await sleep(100);
    record(`${silencer.silence()} open connections to the store go silent`);
  }
  // All machines are in touch again after this time.
  await sleep(BOUNDS.ContactMs + 50);

  store.put('rollouts', 'app', {
    Service: 'app',
    Target: 'v2',
    PeriodS: PERIOD_S,
  });
  const orderedAt = performance.now();
  const deadlineAt = orderedAt + PERIOD_S * 1_000;
  record(`rollout of v2 ordered, to be done in ${PERIOD_S} s`);
  await sleep(BOOT_MS);
  const added = await startVersion('v2');
  record('the replicas of v2 are registered');

  function countRuns(replicas, from, until) {
    return replicas
      .flatMap(({runs}) => runs)
      .filter(({at}) => at >= from && at < until).length;
  }

  let state;
  for (let at = orderedAt; at < deadlineAt; at += 1_000) {
    await sleep(Math.max(0, at + 1_000 - performance.now()));
    record(
      `second ${Math.round((at - orderedAt) / 1_000) + 1} since the order: ` +
        `${countRuns(former, at, at + 1_000)} requests at v1, ` +
        `${countRuns(added, at, at + 1_000)} at v2`,
    );
    const current = JSON.stringify(store.get('rollouts', 'app').status);
    if (current !== state) {
      state = current;
      record(`state of the rollout: ${state}`);
    }
  }
  clearInterval(load);
  await sleep(300);
  record(`answers by status: ${JSON.stringify([...statuses])}`);
  const exposed = countRuns(added, orderedAt, deadlineAt);
  const all = exposed + countRuns(former, orderedAt, deadlineAt);
  const most = all * EXPOSE_SHARE + EXPOSE_SLACK;
  record(
    `${exposed} of ${all} requests reached the bad version; at most ${most.toFixed(0)} may`,
  );
  return exposed > most
    ? [`EXPOSURE: ${exposed} of ${all} requests, over ${most.toFixed(0)}`]
    : [];
});
