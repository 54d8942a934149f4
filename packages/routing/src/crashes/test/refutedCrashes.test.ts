import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {mergeCrashGossip} from '../crashGossip.js';
import {
  createCrashQuarantine,
  type CrashQuarantine,
} from '../crashQuarantine.js';

const REQUEST = 'f00d';
const CONFIRMATION_DELAY_MS = 300;

/** Time after a crash within which a response refutes it, in milliseconds. */
const RESTART_MS = 1_000;

function createEntries(ids: readonly string[]) {
  const clock = createVirtualClock();
  const entries = ids.map(self =>
    createCrashQuarantine({
      clock,
      self,
      decisions: createDecisionLog(clock, createSilentLogger()),
      wallMs: () => clock.wall(),
    }),
  );
  return {
    clock,
    entries,
    /** Loses the connection to each endpoint, at intervals. */
    loseConnections(
      entry: CrashQuarantine,
      endpoints: readonly string[],
      afterEach: (endpoint: string) => void = () => {},
    ) {
      for (const endpoint of endpoints) {
        entry.recordConnectionLost({request: REQUEST, endpoint});
        clock.advanceSync(CONFIRMATION_DELAY_MS + 100);
        afterEach(endpoint);
        clock.advanceSync(2_000);
      }
    },
    gossip() {
      for (const sender of entries) {
        const report = sender.reportToGossip();
        entries
          .filter(entry => entry !== sender && report !== undefined)
          .forEach(entry => entry.mergeGossip(report!));
      }
    },
    verdicts: () => entries.map(entry => entry.verdictFor(REQUEST).type),
  };
}

const ENDPOINTS = ['e1', 'e2', 'e3'];
const CLEAR = ['clear', 'clear', 'clear'];
const QUARANTINED = ['quarantined', 'quarantined', 'quarantined'];

describe('a crash that one entry reports', () => {
  // Guards against a sound request that all entries reject, since its endpoints
  // closed connections and answered nobody else at one of many entries.
  it('is refuted at all entries by a response to any of them', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    fleet.loseConnections(entries[0]!, ENDPOINTS, endpoint => {
      fleet.gossip();
      entries[1]!.recordResponse(endpoint, clock.now());
      fleet.gossip();
    });
    assert.deepEqual(fleet.verdicts(), CLEAR);
  });

  // Guards against entries that learn of a crash only after the response.
  it('is refuted by an earlier response once it is known', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    fleet.loseConnections(entries[0]!, ENDPOINTS, endpoint =>
      entries[1]!.recordResponse(endpoint, clock.now()),
    );
    fleet.gossip();
    fleet.gossip();
    assert.deepEqual(fleet.verdicts(), CLEAR);
  });

  // Guards against refuted crashes that a new process reads from the store.
  it('is no longer reported to the store once it is refuted', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    let changes = 0;
    entries[0]!.onDidChange(() => (changes += 1));
    fleet.loseConnections(entries[0]!, ['e1']);
    assert.equal(entries[0]!.reportToStore().crashes.length, 1);
    assert.equal(changes, 1);
    entries[1]!.recordResponse('e1', clock.now() - 2_000);
    fleet.gossip();
    fleet.gossip();
    assert.deepEqual(entries[0]!.reportToStore().crashes, []);
    assert.equal(changes, 2);
  });

  it('is refuted by a response that comes late', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    const sends = new Map<string, number>();
    fleet.loseConnections(entries[0]!, ENDPOINTS, endpoint =>
      sends.set(endpoint, clock.now()),
    );
    fleet.gossip();
    assert.deepEqual(fleet.verdicts(), QUARANTINED);
    sends.forEach((sentAt, endpoint) =>
      entries[0]!.recordResponse(endpoint, sentAt),
    );
    fleet.gossip();
    assert.deepEqual(fleet.verdicts(), CLEAR);
  });

  // Guards against a request that crashes endpoints and is taken for sound,
  // since the endpoint had responded before, or a new process responds.
  for (const [name, offsetMs] of [
    ['was sent before the crash', -10],
    ['was sent at the time of the crash', 100],
    ['may come from a restarted process', RESTART_MS + 100],
  ] as const) {
    it(`is not refuted by a response to a request that ${name}`, () => {
      const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
      const crashedAt = new Map<string, number>();
      fleet.loseConnections(entries[0]!, ENDPOINTS, endpoint => {
        crashedAt.set(endpoint, clock.now() - CONFIRMATION_DELAY_MS - 100);
        fleet.gossip();
      });
      crashedAt.forEach((atMs, endpoint) =>
        entries[1]!.recordResponse(endpoint, atMs + offsetMs),
      );
      fleet.gossip();
      assert.deepEqual(fleet.verdicts(), QUARANTINED);
    });
  }

  // Guards against refutations that are lost at the entries that relay digests.
  it('is refuted through an entry that merges the gossip of others', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    const [reporting, responding, other] = entries;
    fleet.loseConnections(reporting!, ENDPOINTS, endpoint => {
      responding!.mergeGossip(reporting!.reportToGossip()!);
      responding!.recordResponse(endpoint, clock.now());
      const relayed = mergeCrashGossip(
        reporting!.reportToGossip()!,
        responding!.reportToGossip()!,
      );
      other!.mergeGossip(relayed);
      reporting!.mergeGossip(relayed);
    });
    assert.deepEqual(fleet.verdicts(), CLEAR);
  });

  it('counts if the endpoint crashes after a refuted crash', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    fleet.loseConnections(entries[0]!, ENDPOINTS, endpoint => {
      fleet.gossip();
      entries[1]!.recordResponse(endpoint, clock.now());
      fleet.gossip();
    });
    fleet.loseConnections(entries[0]!, ENDPOINTS, fleet.gossip);
    assert.deepEqual(fleet.verdicts(), QUARANTINED);
  });
});

describe('a deregistered endpoint that stood still', () => {
  /** Loses a silent endpoint that is deregistered. */
  function loseSilent(
    entry: CrashQuarantine,
    endpoint: string,
    isDeregisteredFirst: boolean,
  ): void {
    if (isDeregisteredFirst) {
      entry.recordDeregistered(endpoint);
    }
    entry.recordUnanswered({request: REQUEST, endpoint});
    if (!isDeregisteredFirst) {
      entry.recordDeregistered(endpoint);
    }
  }

  // Guards against a sound request that all entries reject, since replicas that
  // stood still were replaced while an entry could not read the store, and it
  // never saw them drain.
  for (const isDeregisteredFirst of [true, false]) {
    const order = isDeregisteredFirst ? 'before' : 'after';
    it(`has not crashed if it goes on, deregistered ${order} the loss`, () => {
      const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
      for (const endpoint of ENDPOINTS) {
        const sentAt = clock.now();
        clock.advanceSync(1_200);
        loseSilent(entries[0]!, endpoint, isDeregisteredFirst);
        fleet.gossip();
        clock.advanceSync(1_500);
        entries[0]!.recordData(endpoint, sentAt);
        fleet.gossip();
      }
      assert.deepEqual(fleet.verdicts(), CLEAR);
    });
  }

  it('has not crashed if it went on before it was deregistered', () => {
    const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
    for (const endpoint of ENDPOINTS) {
      const sentAt = clock.now();
      clock.advanceSync(1_200);
      entries[0]!.recordUnanswered({request: REQUEST, endpoint});
      clock.advanceSync(1_500);
      entries[0]!.recordData(endpoint, sentAt);
      entries[0]!.recordDeregistered(endpoint);
      fleet.gossip();
    }
    assert.deepEqual(fleet.verdicts(), CLEAR);
  });

  // Guards against a request that crashes endpoints and is taken for sound,
  // since data waited in a socket, or a new process sends data.
  for (const [name, sentAfterMs, arrivesAfterMs] of [
    ['waited to be read', -1_000, 500],
    ['may come from a new process', 300, 1_500],
  ] as const) {
    it(`has crashed if all data since then ${name}`, () => {
      const {clock, entries, ...fleet} = createEntries(['a1', 'a2', 'a3']);
      for (const endpoint of ENDPOINTS) {
        clock.advanceSync(1_200);
        const sentAt = clock.now() + sentAfterMs;
        loseSilent(entries[0]!, endpoint, true);
        clock.advanceSync(arrivesAfterMs);
        entries[0]!.recordData(endpoint, sentAt);
        fleet.gossip();
      }
      assert.deepEqual(fleet.verdicts(), QUARANTINED);
    });
  }
});
