/**
 * A gateway restarts while the store returns from a copy that is older than the
 * configuration that took a key away.
 */
import {performance} from 'node:perf_hooks';
import {send} from '../../lib/client.mjs';
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const GATEWAYS = 4;
const REPLICAS = 4;
const WORK_MS = 20;
const REVOKED_KEY = 'key-that-is-taken-away';
const KEPT_KEY = 'key-that-is-kept';
/** Time for which the store is away. */
const AWAY_MS = 700;
/** Time from the store's return until the operator has written again. */
const REWRITE_MS = 2_500;
const ASK_INTERVAL_MS = 10;

function configuration(version, keys) {
  return {
    Version: version,
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
    Tenants: [{Name: 'tenant-a', ApiKeys: keys, Priority: 1}],
    Limits: {
      HeaderBytes: 16_384,
      BodyBytes: 4_194_304,
      HeaderMs: 3_000,
      IdleMs: 15_000,
    },
  };
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(() => store.close());
  const dutyApi = await startDutyApi(() => {});
  onEnd(() => dutyApi.close());
  const replicas = await Promise.all(
    Array.from({length: REPLICAS}, (_, index) =>
      startReplica({
        id: `i-${index}`,
        service: 'app',
        zone: `zone-${'abcd'[index]}`,
        answer(request, response) {
          setTimeout(() => {
            response.writeHead(200);
            response.end('found');
          }, WORK_MS);
        },
      }),
    ),
  );
  for (const replica of replicas) {
    onEnd(() => replica.close());
    store.put('servers', replica.id, replica.registration);
  }
  store.put('config', 'main', configuration(1, [REVOKED_KEY, KEPT_KEY]));
  const gateways = await createGateways({
    count: GATEWAYS,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(() => gateways.stopAll());
  await gateways.startAll();
  await sleep(3_000);

  let attempts = 0;
  const sentAt = new Map();
  const statuses = new Map();
  function ask(node, key, group) {
    attempts += 1;
    const id = `try-${attempts}`;
    sentAt.set(id, {at: performance.now(), key, node: node.name});
    return send(node.listen.Front, {
      path: `/lookup/${attempts}`,
      headers: {
        Host: 'shop.example',
        'X-Try-Id': id,
        'X-Deadline-Ms': '1000',
        'X-Key': key,
      },
      timeoutMs: 3_000,
    }).then(({status}) => {
      const name = `${group} ${status ?? 'no answer'}`;
      statuses.set(name, (statuses.get(name) ?? 0) + 1);
      return status;
    });
  }
  async function askAll(label) {
    const found = await Promise.all(
      gateways.nodes.map(node => ask(node, REVOKED_KEY, label)),
    );
    record(`${label}: the key gets ${found.join(', ')}`);
  }

  await askAll('before it is taken away');
  const copy = store.takeCopy();
  store.put('config', 'main', configuration(2, [KEPT_KEY]));
  const acknowledgedAt = performance.now();
  record('configuration 2, without the key, is acknowledged');
  await sleep(1_000);
  await askAll('1 s later');
  await sleep(BOUNDS.RevokeMs - 1_000 + 100);
  await askAll('after RevokeMs');

  const last = gateways.nodes.at(-1);
  gateways.signal(last, 'SIGKILL');
  await last.child.ended;
  if (hasTrouble) {
    store.leave();
    record('the store is away');
    await sleep(AWAY_MS);
    store.returnFrom(copy);
    const ageMs = performance.now() - acknowledgedAt;
    record(`the store returns from a copy that is ${ageMs.toFixed(0)} ms old`);
    setTimeout(() => {
      store.put('config', 'main', configuration(2, [KEPT_KEY]));
      record('the operator has written configuration 2 again');
    }, REWRITE_MS);
  } else {
    await sleep(AWAY_MS);
  }
  gateways.start(last);
  const pending = [];
  const until = performance.now() + REWRITE_MS + 1_000;
  while (performance.now() < until) {
    pending.push(ask(last, REVOKED_KEY, 'restarted gateway:'));
    pending.push(ask(gateways.nodes[0], REVOKED_KEY, 'other gateway:'));
    await sleep(ASK_INTERVAL_MS);
  }
  await Promise.all(pending);
  record(`answers to the key: ${JSON.stringify([...statuses])}`);

  const late = replicas
    .flatMap(({runs}) => runs)
    .map(({attemptId}) => sentAt.get(attemptId))
    .filter(
      ({at, key}) =>
        key === REVOKED_KEY && at - acknowledgedAt > BOUNDS.RevokeMs,
    );
  for (const {at, node} of late.slice(0, 5)) {
    record(
      `a request with the key ran, sent to ${node} ${(at - acknowledgedAt).toFixed(0)} ms after the acknowledgement`,
    );
  }
  return late.length > 0
    ? [`CONFIG: ${late.length} requests with the key ran after RevokeMs`]
    : [];
});
