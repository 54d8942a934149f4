/**
 * Two gateways are stopped and started in turn, and the first one is killed while
 * it stops.
 */
import {BOUNDS, createGateways} from '../../lib/gateways.mjs';
import {sleep, startDutyApi, startStore} from '../../lib/platform.mjs';
import {runCase} from '../../lib/record.mjs';
import {startReplica} from '../../lib/replica.mjs';

const KILL_AFTER_MS = 300;
/** Short delay after which the platform starts an ended process again. */
const RESTART_MS = 1_000;
const ROUNDS = 3;
/** Time before and after a round; a new holder has repeated its reports then. */
const CALM_MS = 6_000;
const CALL_LIMIT_MS = 15_000;

const CONFIGURATION = {
  Version: 1,
  Routes: [
    {
      Name: 'parcel-lookup',
      Host: 'shop.example',
      PathPrefix: '/lookup/',
      Kind: 'idempotent',
      TimeoutMs: 1_000,
      GoalMs: 150,
      Service: 'desk',
      Attempts: 2,
    },
  ],
  Services: [{Name: 'desk', MaxConns: 100, HealthPath: '/healthz'}],
  Limits: {
    HeaderBytes: 16_384,
    BodyBytes: 4_194_304,
    HeaderMs: 3_000,
    IdleMs: 15_000,
  },
  Tenants: [{Name: 'shop', ApiKeys: ['key-of-the-shop'], RatePerS: 0}],
};

/** Returns the calls of which a holder acted, then another, then it again. */
function findAlternations(calls) {
  const found = [];
  for (const [first, {at, holder}] of calls.entries()) {
    const within = calls
      .slice(first + 1)
      .filter(call => call.at - at <= BOUNDS.LeaseMs);
    const other = within.findIndex(call => call.holder !== holder);
    const again =
      other < 0
        ? undefined
        : within.slice(other + 1).find(call => call.holder === holder);
    if (again !== undefined) {
      found.push([calls[first], within[other], again]);
    }
  }
  return found;
}

function describe({duty, holder, token, body}) {
  return `${duty} by ${holder} with token ${token}, window ${body.WindowId}`;
}

await runCase(import.meta.url, async ({record, hasTrouble, onEnd}) => {
  const store = await startStore();
  onEnd(store.close);
  const calls = [];
  let onCall = () => {};
  const dutyApi = await startDutyApi(call => {
    calls.push(call);
    record(describe(call));
    onCall(call);
  });
  onEnd(dutyApi.close);
  const replica = await startReplica({
    id: 'desk-1',
    service: 'desk',
    zone: 'zone-a',
    answer: (_, response) => response.end('an answer'),
  });
  onEnd(replica.close);
  store.put('servers', replica.id, replica.registration);
  store.put('config', 'main', CONFIGURATION);
  const fleet = await createGateways({
    count: 2,
    storeAddress: store.address,
    dutyAddress: dutyApi.address,
    log: record,
  });
  onEnd(fleet.stopAll);
  await fleet.startAll();

  /** Resolves to the next expected call; undefined if there is none. */
  function nextCall(isExpected) {
    return new Promise(resolve => {
      function finish(call) {
        clearTimeout(timer);
        onCall = () => {};
        resolve(call);
      }
      const timer = setTimeout(finish, CALL_LIMIT_MS);
      onCall = call => {
        if (isExpected(call)) {
          finish(call);
        }
      };
    });
  }

  /** Stops both gateways in turn, after a lone report of the holder. */
  async function playRound() {
    await sleep(CALM_MS);
    const call = await nextCall(() => true);
    if (call === undefined) {
      throw new Error('no gateway reports usage');
    }
    if (!hasTrouble) {
      return;
    }
    const first = fleet.nodes.find(({name}) => name === call.holder);
    const second = fleet.nodes.find(node => node !== first);
    const secondActs = nextCall(({holder}) => holder === second.name);
    fleet.signal(first, 'SIGTERM');
    await sleep(KILL_AFTER_MS);
    fleet.signal(first, 'SIGKILL');
    await first.child.ended;
    await sleep(RESTART_MS);
    fleet.start(first);
    await secondActs;
    fleet.signal(second, 'SIGTERM');
    await second.child.ended;
    await sleep(RESTART_MS);
    fleet.start(second);
    await fleet.whenReady(second);
  }

  for (let round = 1; round <= ROUNDS; round++) {
    record(`round ${round}`);
    await playRound();
    if (findAlternations(calls).length > 0) {
      break;
    }
  }
  return findAlternations(calls).map(
    ([one, other, again]) =>
      `ONE: ${describe(one)}; then ${describe(other)}; then ${describe(again)}; all within ${(again.at - one.at).toFixed(0)} ms, and LeaseMs is ${BOUNDS.LeaseMs}`,
  );
});
