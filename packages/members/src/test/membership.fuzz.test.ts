import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createCluster, type Cluster} from './cluster.js';

const IDS = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];
const IS_LONG = process.env.SKYLARKFIELD_FUZZ === 'long';
const RUNS = IS_LONG ? 2_000 : 40;
const SEED = IS_LONG ? Date.now() % 1_000_000_000 : 20_261;
/** Time for two reconnection rounds and failure detection after all faults. */
const SETTLE_MS = 90_000;

type Action =
  | {readonly type: 'start' | 'crash' | 'pause' | 'resume' | 'stop'; id: string}
  | {readonly type: 'cut' | 'heal'; id: string; other: string}
  | {readonly type: 'cutOff'; id: string}
  | {readonly type: 'healAll'}
  | {readonly type: 'platform'; isDown: boolean}
  | {readonly type: 'loss'; probability: number}
  | {readonly type: 'wait'; ms: number};

const idArbitrary = fc.constantFrom(...IDS);
const idActionArbitrary = fc.record({
  type: fc.constantFrom('start', 'crash', 'pause', 'resume', 'stop'),
  id: idArbitrary,
});
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {weight: 5, arbitrary: idActionArbitrary as fc.Arbitrary<Action>},
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constantFrom('cut' as const, 'heal' as const),
      id: idArbitrary,
      other: idArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cutOff' as const),
      id: idArbitrary,
    }),
  },
  {weight: 1, arbitrary: fc.constant({type: 'healAll' as const})},
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('platform' as const),
      isDown: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('loss' as const),
      probability: fc.constantFrom(0, 0.1),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.constantFrom(5, 300, 2_000, 8_000, 70_000),
    }),
  },
);

/** Expected state of the entries, tracked independently of their own views. */
interface Oracle {
  readonly runningIds: Set<string>;
  readonly pausedAtById: Map<string, number>;
}

type Handler = (
  cluster: Cluster,
  oracle: Oracle,
  action: Action,
) => Promise<void> | void;

type Handlers = {
  [T in Action['type']]: (
    cluster: Cluster,
    oracle: Oracle,
    action: Action & {readonly type: T},
  ) => Promise<void> | void;
};

const handlers = {
  start(cluster, {runningIds, pausedAtById}, {id}) {
    pausedAtById.delete(id);
    runningIds.add(id);
    cluster.start(id, IDS);
  },
  crash(cluster, {runningIds, pausedAtById}, {id}) {
    runningIds.delete(id);
    pausedAtById.delete(id);
    cluster.crash(id);
  },
  pause(cluster, {runningIds, pausedAtById}, {id}) {
    if (runningIds.has(id) && !pausedAtById.has(id)) {
      pausedAtById.set(id, cluster.clock.now());
      cluster.net.pause(id);
    }
  },
  resume(cluster, oracle, {id}) {
    resume(cluster, oracle, id);
  },
  async stop(cluster, {runningIds, pausedAtById}, {id}) {
    if (runningIds.has(id) && !pausedAtById.has(id)) {
      runningIds.delete(id);
      await cluster.stop(id);
    }
  },
  cut(cluster, _, {id, other}) {
    cluster.net.partition(id, other);
  },
  heal(cluster, _, {id, other}) {
    cluster.net.heal(id, other);
  },
  cutOff(cluster, _, {id}) {
    cluster.isolate(
      id,
      IDS.filter(other => other !== id),
    );
  },
  healAll: cluster => cluster.net.healAll(),
  platform: (cluster, _, {isDown}) => cluster.platform.faults.setDown(isDown),
  loss: (cluster, _, {probability}) =>
    cluster.net.setLossProbability(probability),
  wait: (cluster, _, {ms}) => cluster.clock.advance(ms),
} satisfies Handlers as Handlers;

/**
 * Pause, in milliseconds, above which an entry must not be current as soon as
 * it resumes.
 */
const DETECTABLE_PAUSE_MS = 4_000;

function resume(cluster: Cluster, {pausedAtById}: Oracle, id: string) {
  const pausedAt = pausedAtById.get(id);
  if (pausedAt === undefined) {
    return;
  }
  pausedAtById.delete(id);
  const hasPeers = cluster.memberships.get(id)!.members().length > 1;
  const wasDetectable = cluster.clock.now() - pausedAt > DETECTABLE_PAUSE_MS;
  cluster.net.resume(id);
  if (wasDetectable && hasPeers) {
    assert.equal(
      cluster.memberships.get(id)!.isCurrent(),
      false,
      `${id} is current`,
    );
  }
}

async function repairAndSettle(cluster: Cluster, oracle: Oracle) {
  [...oracle.pausedAtById.keys()].forEach(id => resume(cluster, oracle, id));
  cluster.net.healAll();
  cluster.net.setLossProbability(0);
  cluster.platform.faults.setDown(false);
  await cluster.clock.advance(SETTLE_MS);
}

async function checkConvergence(actions: readonly Action[]) {
  const cluster = createCluster(7);
  const oracle: Oracle = {runningIds: new Set(), pausedAtById: new Map()};
  for (const id of IDS.slice(0, 4)) {
    await handlers.start(cluster, oracle, {type: 'start', id});
  }
  await cluster.clock.advance(5_000);
  for (const nextAction of actions) {
    const run: Handler = handlers[nextAction.type] as Handler;
    await run(cluster, oracle, nextAction);
  }
  await repairAndSettle(cluster, oracle);
  const expectedIds = [...oracle.runningIds].sort();
  for (const id of expectedIds) {
    assert.deepEqual(cluster.liveIdsSeenBy(id), expectedIds, `seen by ${id}`);
    assert.equal(
      cluster.memberships.get(id)!.isCurrent(),
      true,
      `${id} current`,
    );
  }
}

describe('membership under random faults', () => {
  it('converges to exactly the running entries after recovery', async () => {
    // Crashes, pauses, partitions and platform outages overlap in any order. A
    // running entry that stays unlisted leaves its host idle; a stopped entry
    // that stays listed costs every caller a timeout.
    console.log(`membership fuzz: seed ${SEED}, ${RUNS} runs`);
    await fc.assert(
      fc.asyncProperty(
        fc.array(actionArbitrary, {maxLength: 25}),
        checkConvergence,
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });
});
