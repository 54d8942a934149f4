/** Schedules of orders and faults, generated or repeated by named tests. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {settlePromises} from '@skylarkfield/base';
import type {LostReplyEffect} from './simulatedProcess.js';
import {createCluster, TIMEOUT_MS, type Cluster} from './cluster.js';

/** One step; entries and keys are numbers, so any combination is valid. */
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
  | {readonly do: 'suspect'; readonly entry: number; readonly other: number}
  | {readonly do: 'unsuspect'; readonly entry: number; readonly other: number}
  | {readonly do: 'cut'; readonly entry: number; readonly other: number}
  | {readonly do: 'uncut'; readonly entry: number; readonly other: number}
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
  /** Shares of calls rejected, lost after the run, or lost before it. */
  readonly service: readonly [number, number, number];
  /** Shares of the inner messages that are lost or duplicated. */
  readonly network: readonly [number, number];
  /** Time that orders wait for capacity at the service. */
  readonly waitMs: number;
  readonly steps: readonly Step[];
}

const ENTRY_COUNT = 4;
const KEY_COUNT = 5;
const SETTLE_MS = 30_000;

const entry = fc.nat(ENTRY_COUNT - 1);
const key = fc.nat(KEY_COUNT - 1);
const share = fc.constantFrom(0, 0, 0.1, 0.3);

function step<T extends Step['do'], F extends object>(
  name: T,
  fields: {[K in keyof F]: fc.Arbitrary<F[K]>},
): fc.Arbitrary<{do: T} & F> {
  return fc.record({
    do: fc.constant(name),
    ...fields,
  }) as unknown as fc.Arbitrary<{do: T} & F>;
}

const orderSteps = [
  {weight: 8, arbitrary: step('submit', {entry, key})},
  {weight: 2, arbitrary: step('submit-unkeyed', {entry})},
  {weight: 1, arbitrary: step('submit-conflicting', {entry, key})},
  {weight: 2, arbitrary: step('submit-short-deadline', {entry, key})},
  {weight: 5, arbitrary: step('wait', {ms: fc.constantFrom(1, 5, 20, 100)})},
  {weight: 1, arbitrary: step('wait', {ms: fc.constantFrom(400, 3_000)})},
];

const leaveSteps = [
  {weight: 2, arbitrary: step('leave', {entry})},
  {weight: 3, arbitrary: step('start', {entry})},
  {
    weight: 1,
    arbitrary: step('lose-replies', {
      entry,
      count: fc.integer({min: 1, max: 3}),
    }),
  },
];

const lostReplyEffect = fc.constantFrom<LostReplyEffect>(
  'now',
  'late',
  'never',
);
const effects = fc.array(lostReplyEffect, {minLength: 1, maxLength: 3});

const faultSteps = [
  {weight: 3, arbitrary: step('interrupt', {entry, effects})},
  {weight: 1, arbitrary: step('crash', {entry})},
  {weight: 2, arbitrary: step('pause', {entry})},
  {weight: 2, arbitrary: step('resume', {entry})},
  {weight: 1, arbitrary: step('suspect', {entry, other: entry})},
  {weight: 1, arbitrary: step('unsuspect', {entry, other: entry})},
  {weight: 1, arbitrary: step('cut', {entry, other: entry})},
  {weight: 1, arbitrary: step('uncut', {entry, other: entry})},
  {weight: 1, arbitrary: step('platform', {isDown: fc.boolean()})},
  {
    weight: 1,
    arbitrary: step('platform-slow', {ms: fc.constantFrom(0, 4, 100, 2_500)}),
  },
  {
    weight: 1,
    arbitrary: step('disconnect', {entry, isDown: fc.boolean()}),
  },
];

function schedules(
  steps: ReadonlyArray<{weight: number; arbitrary: fc.Arbitrary<Step>}>,
  hasFaults: boolean,
): fc.Arbitrary<Schedule> {
  const fault = hasFaults ? share : fc.constant(0);
  return fc.record({
    seed: fc.nat(1_000_000),
    service: fc.tuple(fault, fault, fault),
    network: fc.tuple(fault, fault),
    waitMs: fc.constantFrom(0, 10, 200, 2_000),
    steps: fc.array(fc.oneof(...steps), {minLength: 5, maxLength: 40}),
  });
}

/** Any orders and faults. */
export const anySchedules = schedules(
  [...orderSteps, ...leaveSteps, ...faultSteps],
  true,
);

/** Only announced reclaims, new entries and lost platform responses. */
export const leaveSchedules = schedules([...orderSteps, ...leaveSteps], false);

type Handlers = {
  [K in Step['do']]: (
    cluster: Cluster,
    step: Extract<Step, {do: K}>,
  ) => unknown;
};

function idOf(index: number): string {
  return `e${index}`;
}

/** Submits an order if the entry is running, as a caller could. */
function submitAt(
  cluster: Cluster,
  index: number,
  keyIndex: number | undefined,
  timeoutMs = TIMEOUT_MS,
  isConflicting = false,
): void {
  const found = cluster.entries.get(idOf(index));
  if (found === undefined || !found.process.isAlive) {
    return;
  }
  const name = keyIndex === undefined ? undefined : `k${keyIndex}`;
  const subject = isConflicting ? `${name} changed` : name;
  cluster.submit(found.id, name, subject, timeoutMs);
}

function withEntry(
  cluster: Cluster,
  index: number,
  action: (id: string) => unknown,
): void {
  if (cluster.entries.get(idOf(index))?.process.isAlive) {
    action(idOf(index));
  }
}

const handlers: Handlers = {
  submit: (cluster, step) => submitAt(cluster, step.entry, step.key),
  'submit-unkeyed': (cluster, step) => submitAt(cluster, step.entry, undefined),
  'submit-conflicting': (cluster, step) =>
    submitAt(cluster, step.entry, step.key, TIMEOUT_MS, true),
  'submit-short-deadline': (cluster, step) =>
    submitAt(cluster, step.entry, step.key, 25),
  wait: (cluster, step) => cluster.clock.advance(step.ms),
  crash: (cluster, step) => cluster.crash(idOf(step.entry)),
  pause: (cluster, step) => withEntry(cluster, step.entry, cluster.pause),
  resume: (cluster, step) => withEntry(cluster, step.entry, cluster.resume),
  leave: (cluster, step) =>
    withEntry(cluster, step.entry, id => void cluster.leave(id)),
  start(cluster, step) {
    if (!cluster.entries.get(idOf(step.entry))?.process.isAlive) {
      cluster.start(idOf(step.entry));
    }
  },
  suspect: (cluster, step) =>
    cluster.entries.get(idOf(step.entry))?.suspects.add(idOf(step.other)),
  unsuspect: (cluster, step) =>
    cluster.entries.get(idOf(step.entry))?.suspects.delete(idOf(step.other)),
  cut: (cluster, step) =>
    cluster.network.cuts.add(`${idOf(step.entry)}>${idOf(step.other)}`),
  uncut: (cluster, step) =>
    cluster.network.cuts.delete(`${idOf(step.entry)}>${idOf(step.other)}`),
  'lose-replies': (cluster, step) =>
    cluster.entries
      .get(idOf(step.entry))
      ?.client.faults.loseReplies(step.count),
  interrupt: (cluster, step) =>
    cluster.entries
      .get(idOf(step.entry))
      ?.process.lostReplyEffects.push(...step.effects),
  platform: (cluster, step) => cluster.platform.faults.setDown(step.isDown),
  'platform-slow': (cluster, step) => cluster.platform.faults.setDelay(step.ms),
  disconnect: (cluster, step) =>
    cluster.entries.get(idOf(step.entry))?.client.faults.setDown(step.isDown),
};

/** Runs the steps of a schedule; returns the cluster in its final state. */
export async function runSchedule(schedule: Schedule): Promise<Cluster> {
  const cluster = createCluster(schedule.seed);
  const [rejectedShare, lostAfterRunShare, lostBeforeRunShare] =
    schedule.service;
  const {waitMs} = schedule;
  Object.assign(cluster.service, {
    rejectedShare,
    lostAfterRunShare,
    lostBeforeRunShare,
    waitMs,
  });
  [cluster.network.lostShare, cluster.network.duplicatedShare] =
    schedule.network;
  for (let index = 0; index < ENTRY_COUNT - 1; index++) {
    cluster.start(idOf(index));
  }
  for (const next of schedule.steps) {
    await handlers[next.do](cluster, next as never);
    await settlePromises();
  }
  return cluster;
}

/** Ends all faults, waits for all answers and checks the whole history. */
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

/** A retry through a new entry gets the reply of the run or `may-have-run`. */
async function checkRetries(cluster: Cluster): Promise<void> {
  const ranBefore = [...cluster.runs];
  const subjects = [...new Set(cluster.submitted.map(({subject}) => subject))];
  const retries = subjects
    .map(subject =>
      cluster.submitted.find(request => request.subject === subject),
    )
    .filter(request => request?.key !== undefined)
    .map(request => cluster.submit('last', request?.key, request?.subject));
  await cluster.clock.advance(SETTLE_MS);
  cluster.check();
  for (const {key, subject, answer} of retries) {
    assert.ok(answer, `the retry of ${subject} was not answered`);
    const run = ranBefore.find(item => item.subject === subject);
    if (run === undefined || answer.kind === 'key-conflict') {
      continue;
    }
    assert.equal(answer.body ?? run.body, run.body, `${key} ran again`);
    assert.notEqual(answer.run, 'not-run', `${key} has run`);
  }
}
