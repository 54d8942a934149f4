import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runSchedule, healAndCheck, type Step} from './schedule.js';
import type {Cluster} from './cluster.js';

/** A schedule that failed in the fuzzer, reduced to few steps. */
interface FuzzFinding {
  readonly name: string;
  readonly seed: number;
  readonly waitMs: number;
  readonly steps: readonly Step[];
  readonly expect: (cluster: Cluster) => void;
}

function answerKinds(cluster: Cluster): ReadonlyArray<string | undefined> {
  return cluster.submittedRequests.map(({answer}) => answer?.kind);
}

const findings: readonly FuzzFinding[] = [
  // An entry takes over the shard of a running order. The old owner recorded
  // the reply in its table, which it could no longer write to the ledger; a
  // retry got `may-have-run`.
  {
    name: 'a reply recorded after the shard was lost reaches the new owner',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit', entry: 0, key: 1},
      {do: 'start', entry: 3},
      {do: 'submit-unkeyed', entry: 0},
      {do: 'wait', ms: 5},
      {do: 'submit', entry: 0, key: 1},
    ],
    expect: cluster =>
      assert.deepEqual(answerKinds(cluster), [
        'reply',
        'reply',
        'reply',
        'reply',
      ]),
  },
  // An entry leaves while an order is in transit to it, and another process
  // starts under its id. The sending entry waited until the caller's deadline
  // for an answer of the ended process.
  {
    name: 'an order sent to an entry that has just left runs elsewhere',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit-unkeyed', entry: 0},
      {do: 'leave', entry: 2},
      {do: 'wait', ms: 150},
      {do: 'start', entry: 2},
    ],
    expect: cluster => assert.deepEqual(answerKinds(cluster), ['reply']),
  },
  // All entries leave at once, so no entry is left to accept an order in
  // transit. The caller must get `not-run`, not `may-have-run`.
  {
    name: 'an order in transit to the last leaving entry is rejected as not run',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit', entry: 0, key: 0},
      {do: 'leave', entry: 0},
      {do: 'leave', entry: 1},
      {do: 'leave', entry: 2},
    ],
    expect: cluster =>
      assert.equal(cluster.submittedRequests[0]?.answer?.run, 'not-run'),
  },
  // A short deadline passes while the order waits for capacity at the service.
  // If its claim became `unknown`, every retry would be blocked, though nothing
  // was sent.
  {
    name: 'an order cancelled while it waited for capacity can be submitted again',
    seed: 0,
    waitMs: 200,
    steps: [
      {do: 'submit-short-deadline', entry: 0, key: 0},
      {do: 'wait', ms: 400},
      {do: 'submit', entry: 0, key: 0},
      {do: 'submit', entry: 0, key: 0},
    ],
    expect(cluster) {
      const [shortRequest, ...retries] = cluster.submittedRequests;
      assert.equal(shortRequest?.answer?.run, 'not-run');
      assert.ok(retries.every(({answer}) => answer?.kind === 'reply'));
    },
  },
  // Two of three entries leave at once. One leaving entry took over a shard
  // that the other had released, claimed an order and exited; a retry got
  // `may-have-run`.
  {
    name: 'a leaving entry takes over no shard',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'lose-replies', entry: 2, count: 2},
      {do: 'submit', entry: 0, key: 0},
      {do: 'wait', ms: 20},
      {do: 'submit', entry: 0, key: 0},
      {do: 'leave', entry: 2},
      {do: 'leave', entry: 0},
    ],
    expect: cluster =>
      assert.deepEqual(answerKinds(cluster), ['reply', 'reply', 'reply']),
  },
  // All entries leave while an order waits for capacity, so the order is handed
  // over when no entry can take over its shard. The caller got `not-run`; then
  // an entry started, found the order in the ledger and ran it.
  {
    name: 'an order that waits in the ledger is not reported as not run',
    seed: 129_460,
    waitMs: 200,
    steps: [
      {do: 'submit', entry: 1, key: 3},
      {do: 'leave', entry: 2},
      {do: 'wait', ms: 100},
      {do: 'leave', entry: 0},
      {do: 'leave', entry: 1},
      {do: 'wait', ms: 400},
      {do: 'start', entry: 0},
    ],
    expect(cluster) {
      assert.equal(cluster.runs.length, 1);
      assert.equal(cluster.submittedRequests[0]?.answer?.run, 'may-have-run');
    },
  },
  // A retry waits at the shard's new owner for the reply to a call that the old
  // owner sent. The new owner leaves meanwhile; the caller got `may-have-run`
  // although the reply arrived.
  {
    name: 'a reply that arrives after the shard was released is delivered',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit-short-deadline', entry: 0, key: 3},
      {do: 'wait', ms: 20},
      {do: 'start', entry: 3},
      {do: 'submit', entry: 0, key: 3},
      {do: 'wait', ms: 1},
      {do: 'leave', entry: 3},
      {do: 'leave', entry: 1},
      {do: 'submit', entry: 0, key: 0},
      {do: 'wait', ms: 400},
    ],
    expect: cluster =>
      assert.equal(cluster.submittedRequests[1]?.answer?.kind, 'reply'),
  },
  // All entries leave while an order waits for capacity, and the next entry
  // starts after the order's deadline. The order must not run any more, but a
  // retry was rejected because of the deadline of the old order.
  {
    name: 'an order that waited past its deadline can be submitted again',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit-short-deadline', entry: 0, key: 0},
      {do: 'leave', entry: 2},
      {do: 'leave', entry: 1},
      {do: 'wait', ms: 401},
      {do: 'submit', entry: 0, key: 2},
      {do: 'wait', ms: 1},
      {do: 'leave', entry: 0},
    ],
    expect(cluster) {
      const [, order, , retry] = cluster.submittedRequests;
      assert.equal(order?.answer?.run, 'may-have-run');
      assert.equal(retry?.answer?.kind, 'reply');
    },
  },
  // Two requests use one key. The second request arrives at an entry that has
  // not noticed the loss of the shard, so its claim is never written. The first
  // request was rejected for a conflict with that claim, reported as not run,
  // and then ran.
  {
    name: 'an unwritten claim causes no key conflict',
    seed: 0,
    waitMs: 2_000,
    steps: [
      {do: 'submit-conflicting', entry: 0, key: 1},
      {do: 'start', entry: 3},
      {do: 'wait', ms: 400},
      {do: 'submit', entry: 0, key: 3},
      {do: 'wait', ms: 20},
      {do: 'leave', entry: 3},
      {do: 'submit-conflicting', entry: 0, key: 3},
      {do: 'submit', entry: 0, key: 0},
      {do: 'leave', entry: 1},
    ],
    expect(cluster) {
      const request = cluster.submittedRequests.find(
        ({subject}) => subject === 'k3',
      );
      assert.equal(request?.answer?.kind, 'reply');
    },
  },
  // An entry leaves with an unsent order of a disconnected caller, but another
  // entry takes over the shard before the hand-over is written. No entry routes
  // the order to the new owner, its claim stayed and a retry got
  // `may-have-run`.
  {
    name: 'a claim whose hand-over was not written does not block the retry',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit-short-deadline', entry: 0, key: 3},
      {do: 'lose-replies', entry: 0, count: 2},
      {do: 'wait', ms: 5},
      {do: 'submit-unkeyed', entry: 0},
      {do: 'wait', ms: 5},
      {do: 'submit', entry: 1, key: 1},
      {do: 'submit', entry: 0, key: 4},
      {do: 'leave', entry: 0},
    ],
    expect(cluster) {
      const retry = cluster.submittedRequests.findLast(({key}) => key === 'k3');
      assert.equal(retry?.answer?.kind, 'reply');
    },
  },
  // A short deadline passes while the claim is being written, and a new entry
  // takes over the shard including the claim. The new owner queries the old
  // owner, which does not know the outcome of the write yet; a retry of the
  // unsent order got `may-have-run`.
  {
    name: 'a claim cancelled during its write does not block a retry at the new owner',
    seed: 484_910,
    waitMs: 2_000,
    steps: [
      {do: 'submit', entry: 0, key: 2},
      {do: 'wait', ms: 100},
      {do: 'submit-short-deadline', entry: 0, key: 0},
      {do: 'start', entry: 3},
      {do: 'submit', entry: 0, key: 0},
      {do: 'wait', ms: 20},
      {do: 'submit', entry: 0, key: 0},
      {do: 'start', entry: 0},
      {do: 'lose-replies', entry: 0, count: 1},
    ],
    expect(cluster) {
      const [, shortRequest, ...retries] = cluster.submittedRequests;
      assert.equal(shortRequest?.answer?.run, 'not-run');
      assert.ok(retries.every(({answer}) => answer?.kind === 'reply'));
    },
  },
  // A retry with a longer timeout joins an order at another entry. At the first
  // deadline the order ended for both callers, and the retry got `may-have-run`
  // for an order that never ran.
  {
    name: 'a caller with a short timeout does not end the order of another caller',
    seed: 0,
    waitMs: 2_000,
    steps: [
      {do: 'submit', entry: 1, key: 4},
      {do: 'submit-short-deadline', entry: 0, key: 4},
      {do: 'wait', ms: 20},
      {do: 'start', entry: 3},
      {do: 'submit', entry: 0, key: 0},
      {do: 'submit', entry: 0, key: 4},
      {do: 'wait', ms: 1},
      {do: 'leave', entry: 3},
      {do: 'submit-short-deadline', entry: 0, key: 0},
    ],
    expect(cluster) {
      const longRequests = cluster.submittedRequests.filter(
        ({timeoutMs}) => timeoutMs > 1_000,
      );
      for (const {subject, answer} of longRequests) {
        assert.equal(answer?.kind, 'reply', subject);
      }
    },
  },
];

describe('schedules found by the fuzzer', () => {
  for (const {name, seed, waitMs, steps, expect} of findings) {
    it(name, async () => {
      const serviceFaultShares = [0, 0, 0] as const;
      const networkFaultShares = [0, 0] as const;
      const cluster = await runSchedule({
        seed,
        serviceFaultShares,
        networkFaultShares,
        waitMs,
        steps,
      });
      try {
        await healAndCheck(cluster);
        expect(cluster);
      } finally {
        cluster.dispose();
      }
    });
  }
});
