import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runSchedule, healAndCheck, type Step} from './schedule.js';
import type {Cluster} from './cluster.js';

/** A schedule that the fuzzer found failing, shrunk. */
interface FuzzFinding {
  readonly name: string;
  readonly seed: number;
  readonly waitMs: number;
  readonly steps: readonly Step[];
  readonly expect: (cluster: Cluster) => void;
}

function answerKinds(cluster: Cluster): ReadonlyArray<string | undefined> {
  return cluster.submitted.map(({answer}) => answer?.kind);
}

const findings: readonly FuzzFinding[] = [
  // An entry joins and takes over the shard of a running order. Its old owner notes the reply in a
  // table that it can't write any more. A retry then hears `may-have-run` of a kit that was
  // confirmed, and the designer orders a second one.
  {
    name: 'a reply noted after the shard was lost reaches the new owner',
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
  // An entry leaves while an order is on its way to it, and another process starts under its name.
  // The sender waits for an answer that can't come, until its caller's deadline has passed.
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
  // All entries leave at once and nobody is left to take an order that is on its way. The caller
  // must hear that it was not run, not that it may have.
  {
    name: 'an order on its way to an entry that leaves last is refused as not run',
    seed: 0,
    waitMs: 0,
    steps: [
      {do: 'submit', entry: 0, key: 0},
      {do: 'leave', entry: 0},
      {do: 'leave', entry: 1},
      {do: 'leave', entry: 2},
    ],
    expect: cluster =>
      assert.equal(cluster.submitted[0]?.answer?.run, 'not-run'),
  },
  // A caller's short deadline passes while its order still waits for a place at the service. Nothing
  // was sent; a claim that stays behind as `unknown` would deny every retry.
  {
    name: 'an order given up while it waited can be placed again',
    seed: 0,
    waitMs: 200,
    steps: [
      {do: 'submit-short-deadline', entry: 0, key: 0},
      {do: 'wait', ms: 400},
      {do: 'submit', entry: 0, key: 0},
      {do: 'submit', entry: 0, key: 0},
    ],
    expect(cluster) {
      const [shortDeadline, ...later] = cluster.submitted;
      assert.equal(shortDeadline?.answer?.run, 'not-run');
      assert.ok(later.every(({answer}) => answer?.kind === 'reply'));
    },
  },
  // Two of three entries leave at once. One of them took a shard over that the other had released,
  // claimed an order there and ended; a retry heard `may-have-run`.
  {
    name: 'an entry that leaves takes no shard',
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
  // All entries leave while an order waits, so it is handed over with nobody there to take it. Its
  // caller heard `not-run`; then an entry started, found the order and ran it.
  {
    name: 'an order that waits in the ledger is not called not run',
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
      assert.equal(cluster.submitted[0]?.answer?.run, 'may-have-run');
    },
  },
  // A retry waits at the shard's new owner for the reply of a run at the old one. The new owner
  // leaves meanwhile; the reply comes, and the caller heard `may-have-run` all the same.
  {
    name: 'a reply that comes after the shard was released is passed on',
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
      assert.equal(cluster.submitted[1]?.answer?.kind, 'reply'),
  },
  // All entries leave while an order waits, and the next one comes only after the order's deadline.
  // The order is not run so late; a retry that came then was refused by the old order's deadline.
  {
    name: 'an order that waited past its deadline can be placed again',
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
      const [, order, , retry] = cluster.submitted;
      assert.equal(order?.answer?.run, 'may-have-run');
      assert.equal(retry?.answer?.kind, 'reply');
    },
  },
  // Two requests use one key. The second comes to an entry that does not know yet that it has lost
  // the shard; its claim will never be written, but the first was refused as conflicting with it,
  // as not run, and then ran.
  {
    name: 'a claim that is not written yet makes no key conflict',
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
      const kept = cluster.submitted.find(({subject}) => subject === 'k3');
      assert.equal(kept?.answer?.kind, 'reply');
    },
  },
  // An entry leaves with an order that was not sent yet, but another takes the shard before the
  // hand-over is written. The caller has hung up, so nobody brings the order along. It never ran,
  // yet its claim stayed with the new owner, and a retry of the kit order heard `may-have-run`.
  {
    name: 'a claim whose hand-over came too late does not deny the retry',
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
      const retry = cluster.submitted.findLast(({key}) => key === 'k3');
      assert.equal(retry?.answer?.kind, 'reply');
    },
  },
  // A caller's short deadline passes while its claim is being written, and an entry that has just
  // started takes the shard with the claim in it. It asks the first entry, which does not know yet
  // what became of the write; the retry of an order that never ran heard `may-have-run`.
  {
    name: 'a claim given up during its write does not deny the retry elsewhere',
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
      const [, shortDeadline, ...retries] = cluster.submitted;
      assert.equal(shortDeadline?.answer?.run, 'not-run');
      assert.ok(retries.every(({answer}) => answer?.kind === 'reply'));
    },
  },
  // A caller with little time sends an order, and a retry with more time joins it elsewhere. When the
  // first one's time was up the order ended for both, and the retry heard `may-have-run` for an order
  // that never ran.
  {
    name: 'a caller with little time does not end the order of one with more',
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
      const longDeadline = cluster.submitted.filter(
        ({timeoutMs}) => timeoutMs > 1_000,
      );
      for (const {subject, answer} of longDeadline) {
        assert.equal(answer?.kind, 'reply', subject);
      }
    },
  },
];

describe('schedules that the fuzzer found', () => {
  for (const {name, seed, waitMs, steps, expect} of findings) {
    it(name, async () => {
      const service = [0, 0, 0] as const;
      const network = [0, 0] as const;
      const cluster = await runSchedule({
        seed,
        service,
        network,
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
