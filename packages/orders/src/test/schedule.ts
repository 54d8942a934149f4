/** Schedules of orders and faults, generated or written in tests. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {settlePromises} from '@skylarkfield/base';
import type {LostReplyEffect} from './simulatedProcess.js';
import {createCluster, TIMEOUT_MS, type Cluster} from './cluster.js';

/**
 * One step of a schedule. Entries and keys are given by index, so that any
 * combination of steps is valid.
 */
export type Step =
  | {readonly do: 'submit'; readonly entry: number; readonly key: number}
  | {readonly do: 'submit-unkeyed'; readonly entry: number}
  | {
      readonly do: 'submit-conflicting';
      readonly entry: number;
      readonly key: number;
    }
  | {
      readonly do: 'submit-short-deadline';
      readonly entry: number;
      readonly key: number;
    }
  | {readonly do: 'wait'; readonly ms: number}
  | {readonly do: 'crash'; readonly entry: number}
  | {readonly do: 'pause'; readonly entry: number}
  | {readonly do: 'resume'; readonly entry: number}
  | {readonly do: 'leave'; readonly entry: number}
  | {readonly do: 'start'; readonly entry: number}
  | {readonly do: 'suspect'; readonly entry: number; readonly peer: number}
  | {readonly do: 'unsuspect'; readonly entry: number; readonly peer: number}
  | {readonly do: 'cut'; readonly entry: number; readonly peer: number}
  | {readonly do: 'uncut'; readonly entry: number; readonly peer: number}
  | {
      readonly do: 'lose-replies';
      readonly entry: number;
      readonly count: number;
    }
  | {
      readonly do: 'interrupt';
      readonly entry: number;
      readonly effects: readonly LostReplyEffect[];
    }
  | {readonly do: 'platform'; readonly isDown: boolean}
  | {readonly do: 'platform-slow'; readonly ms: number}
  | {
      readonly do: 'disconnect';
      readonly entry: number;
      readonly isDown: boolean;
    };

export interface Schedule {
  readonly seed: number;
  /** Shares of calls rejected, lost after the run, or lost before the run. */
  readonly serviceFaultShares: readonly [number, number, number];
  /** Shares of messages between entries that are lost or duplicated. */
  readonly networkFaultShares: readonly [number, number];
  /** Maximum time that an order waits for capacity at the service. */
  readonly waitMs: number;
  readonly steps: readonly Step[];
}

const ENTRY_COUNT = 4;
const KEY_COUNT = 5;
const SETTLE_MS = 30_000;

const anyEntry = fc.nat(ENTRY_COUNT - 1);
const anyKey = fc.nat(KEY_COUNT - 1);
const anyShare = fc.constantFrom(0, 0, 0.1, 0.3);

function anyStep<T extends Step['do'], F extends object>(
  action: T,
  fields: {[K in keyof F]: fc.Arbitrary<F[K]>},
): fc.Arbitrary<{do: T} & F> {
  return fc.record({
    do: fc.constant(action),
    ...fields,
  }) as unknown as fc.Arbitrary<{do: T} & F>;
}

const orderSteps = [
  {weight: 8, arbitrary: anyStep('submit', {entry: anyEntry, key: anyKey})},
  {weight: 2, arbitrary: anyStep('submit-unkeyed', {entry: anyEntry})},
  {
    weight: 1,
    arbitrary: anyStep('submit-conflicting', {entry: anyEntry, key: anyKey}),
  },
  {
    weight: 2,
    arbitrary: anyStep('submit-short-deadline', {entry: anyEntry, key: anyKey}),
  },
  {weight: 5, arbitrary: anyStep('wait', {ms: fc.constantFrom(1, 5, 20, 100)})},
  {weight: 1, arbitrary: anyStep('wait', {ms: fc.constantFrom(400, 3_000)})},
];

const leaveSteps = [
  {weight: 2, arbitrary: anyStep('leave', {entry: anyEntry})},
  {weight: 3, arbitrary: anyStep('start', {entry: anyEntry})},
  {
    weight: 1,
    arbitrary: anyStep('lose-replies', {
      entry: anyEntry,
      count: fc.integer({min: 1, max: 3}),
    }),
  },
];

const anyEffect = fc.constantFrom<LostReplyEffect>('now', 'late', 'never');
const anyEffects = fc.array(anyEffect, {minLength: 1, maxLength: 3});

const faultSteps = [
  {
    weight: 3,
    arbitrary: anyStep('interrupt', {entry: anyEntry, effects: anyEffects}),
  },
  {weight: 1, arbitrary: anyStep('crash', {entry: anyEntry})},
  {weight: 2, arbitrary: anyStep('pause', {entry: anyEntry})},
  {weight: 2, arbitrary: anyStep('resume', {entry: anyEntry})},
  {
    weight: 1,
    arbitrary: anyStep('suspect', {entry: anyEntry, peer: anyEntry}),
  },
  {
    weight: 1,
    arbitrary: anyStep('unsuspect', {entry: anyEntry, peer: anyEntry}),
  },
  {weight: 1, arbitrary: anyStep('cut', {entry: anyEntry, peer: anyEntry})},
  {weight: 1, arbitrary: anyStep('uncut', {entry: anyEntry, peer: anyEntry})},
  {weight: 1, arbitrary: anyStep('platform', {isDown: fc.boolean()})},
  {
    weight: 1,
    arbitrary: anyStep('platform-slow', {
      ms: fc.constantFrom(0, 4, 100, 2_500),
    }),
  },
  {
    weight: 1,
    arbitrary: anyStep('disconnect', {entry: anyEntry, isDown: fc.boolean()}),
  },
];

function createSchedules(
  steps: ReadonlyArray<{weight: number; arbitrary: fc.Arbitrary<Step>}>,
  hasFaults: boolean,
): fc.Arbitrary<Schedule> {
  const faultShare = hasFaults ? anyShare : fc.constant(0);
  return fc.record({
    seed: fc.nat(1_000_000),
    serviceFaultShares: fc.tuple(faultShare, faultShare, faultShare),
    networkFaultShares: fc.tuple(faultShare, faultShare),
    waitMs: fc.constantFrom(0, 10, 200, 2_000),
    steps: fc.array(fc.oneof(...steps), {minLength: 5, maxLength: 40}),
  });
}

/** Schedules with any orders and faults. */
export const anySchedules = createSchedules(
  [...orderSteps, ...leaveSteps, ...faultSteps],
  true,
);

/**
 * Schedules whose only disruptions are announced reclaims, new entries and lost
 * platform responses.
 */
export const leaveSchedules = createSchedules(
  [...orderSteps, ...leaveSteps],
  false,
);

type StepHandlers = {
  [K in Step['do']]: (
    cluster: Cluster,
    step: Extract<Step, {do: K}>,
  ) => unknown;
};

function entryId(index: number): string {
  return `e${index}`;
}

/** Submits an order if the entry is alive; no caller can reach a dead entry. */
function submitAt(
  cluster: Cluster,
  index: number,
  keyIndex: number | undefined,
  timeoutMs = TIMEOUT_MS,
  isConflicting = false,
): void {
  const entry = cluster.entries.get(entryId(index));
  if (entry === undefined || !entry.process.isAlive) {
    return;
  }
  const key = keyIndex === undefined ? undefined : `k${keyIndex}`;
  const subject = isConflicting ? `${key} changed` : key;
  cluster.submit(entry.id, key, subject, timeoutMs);
}

function callIfAlive(
  cluster: Cluster,
  index: number,
  action: (id: string) => unknown,
): void {
  if (cluster.entries.get(entryId(index))?.process.isAlive) {
    action(entryId(index));
  }
}

const stepHandlers: StepHandlers = {
  submit: (cluster, step) => submitAt(cluster, step.entry, step.key),
  'submit-unkeyed': (cluster, step) => submitAt(cluster, step.entry, undefined),
  'submit-conflicting': (cluster, step) =>
    submitAt(cluster, step.entry, step.key, TIMEOUT_MS, true),
  'submit-short-deadline': (cluster, step) =>
    submitAt(cluster, step.entry, step.key, 25),
  wait: (cluster, step) => cluster.clock.advance(step.ms),
  crash: (cluster, step) => cluster.crash(entryId(step.entry)),
  pause: (cluster, step) => callIfAlive(cluster, step.entry, cluster.pause),
  resume: (cluster, step) => callIfAlive(cluster, step.entry, cluster.resume),
  leave: (cluster, step) =>
    callIfAlive(cluster, step.entry, id => void cluster.leave(id)),
  start(cluster, step) {
    if (!cluster.entries.get(entryId(step.entry))?.process.isAlive) {
      cluster.start(entryId(step.entry));
    }
  },
  suspect: (cluster, step) =>
    cluster.entries.get(entryId(step.entry))?.suspects.add(entryId(step.peer)),
  unsuspect: (cluster, step) =>
    cluster.entries
      .get(entryId(step.entry))
      ?.suspects.delete(entryId(step.peer)),
  cut: (cluster, step) =>
    cluster.network.cuts.add(`${entryId(step.entry)}>${entryId(step.peer)}`),
  uncut: (cluster, step) =>
    cluster.network.cuts.delete(`${entryId(step.entry)}>${entryId(step.peer)}`),
  'lose-replies': (cluster, step) =>
    cluster.entries
      .get(entryId(step.entry))
      ?.client.faults.loseReplies(step.count),
  interrupt: (cluster, step) =>
    cluster.entries
      .get(entryId(step.entry))
      ?.process.lostReplyEffects.push(...step.effects),
  platform: (cluster, step) => cluster.platform.faults.setDown(step.isDown),
  'platform-slow': (cluster, step) => cluster.platform.faults.setDelay(step.ms),
  disconnect: (cluster, step) =>
    cluster.entries
      .get(entryId(step.entry))
      ?.client.faults.setDown(step.isDown),
};

/** Runs the steps of a schedule; returns the cluster in its final state. */
export async function runSchedule(schedule: Schedule): Promise<Cluster> {
  const cluster = createCluster(schedule.seed);
  const [rejectedShare, lostAfterRunShare, lostBeforeRunShare] =
    schedule.serviceFaultShares;
  const {waitMs} = schedule;
  Object.assign(cluster.service, {
    rejectedShare,
    lostAfterRunShare,
    lostBeforeRunShare,
    waitMs,
  });
  [cluster.network.lostShare, cluster.network.duplicatedShare] =
    schedule.networkFaultShares;
  for (let index = 0; index < ENTRY_COUNT - 1; index++) {
    cluster.start(entryId(index));
  }
  for (const step of schedule.steps) {
    await stepHandlers[step.do](cluster, step as never);
    await settlePromises();
  }
  return cluster;
}

/** Ends all faults, waits for all answers, and checks all runs and retries. */
export async function healAndCheck(cluster: Cluster): Promise<void> {
  const {clock, platform, network, service, entries} = cluster;
  platform.faults.setDown(false);
  platform.faults.setDelay(4);
  network.cuts.clear();
  network.lostShare = 0;
  Object.assign(service, {
    rejectedShare: 0,
    lostAfterRunShare: 0,
    lostBeforeRunShare: 0,
    waitMs: 1,
  });
  for (const {process, suspects, client} of entries.values()) {
    suspects.clear();
    process.lostReplyEffects.length = 0;
    client.faults.setDown(false);
    await process.resume();
  }
  await clock.advance(SETTLE_MS);
  cluster.check();
  cluster.start('last');
  await checkRetries(cluster);
}

/**
 * Checks that a retry of an order that has run, through a new entry, gets the
 * reply of that run or `may-have-run`.
 */
async function checkRetries(cluster: Cluster): Promise<void> {
  const earlierRuns = [...cluster.runs];
  const subjects = [
    ...new Set(cluster.submittedRequests.map(({subject}) => subject)),
  ];
  const retries = subjects
    .map(subject =>
      cluster.submittedRequests.find(request => request.subject === subject),
    )
    .filter(request => request?.key !== undefined)
    .map(request => cluster.submit('last', request?.key, request?.subject));
  await cluster.clock.advance(SETTLE_MS);
  cluster.check();
  for (const {key, subject, answer} of retries) {
    assert.ok(answer, `the retry of ${subject} was not answered`);
    const run = earlierRuns.find(earlierRun => earlierRun.subject === subject);
    if (run === undefined || answer.kind === 'key-conflict') {
      continue;
    }
    assert.equal(answer.body ?? run.body, run.body, `${key} ran again`);
    assert.notEqual(answer.run, 'not-run', `${key} has run`);
  }
}
