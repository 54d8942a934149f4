import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createVirtualClock,
  seededRandom,
  toDisposable,
} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {createDutyElections} from '../duties.js';
import {LEASE_KIND} from '../lease.js';

const DUTY = 'fleet';
const STEP_MS = 100;
/** Time in which a duty without a live holder is acquired, in milliseconds. */
const ACQUIRE_MS = 30_000;

const VALID_LEASE = {
  holder: 'x.1',
  fencing: 3,
  durationMs: 8_000,
  sequence: 1,
  isReleased: false,
};

const ODD_LEASES: Readonly<Record<string, unknown>> = {
  'no fields': null,
  'an endless duration': {...VALID_LEASE, durationMs: 1e300},
  'a negative duration': {...VALID_LEASE, durationMs: -1},
  'a token that cannot increase': {...VALID_LEASE, fencing: 1e300},
  'a negative token': {...VALID_LEASE, fencing: -5},
  'a broken token': {...VALID_LEASE, fencing: 0.5},
  'an impossible era': {...VALID_LEASE, era: 1e300, firstEra: -7},
};

function createProcesses() {
  const clock = createVirtualClock();
  const platform = createMemoryPlatform({clock});
  platform.faults.setDelay(2);
  const tokens: number[] = [];
  let runningCount = 0;
  for (const id of ['a', 'b']) {
    const dutyElections = createDutyElections({
      clock,
      random: seededRandom(5),
      store: platform.createClient(id, {clock}),
      self: {id, incarnation: 1},
      members: () => ['a', 'b'],
      mayHold: () => true,
    });
    dutyElections.compete(DUTY, ({fencing}) => {
      tokens.push(fencing);
      runningCount += 1;
      return toDisposable(() => (runningCount -= 1));
    });
  }
  return {
    clock,
    tokens,
    putLease: (value: unknown) =>
      platform.table.put(
        {
          kind: LEASE_KIND,
          name: DUTY,
          writeId: 'odd',
          condition: {type: 'any'},
        },
        value,
      ),
    runningCount: () => runningCount,
  };
}

/** Asserts that each token is above the one before. */
function assertIncreasing(tokens: readonly number[]): void {
  assert.ok(tokens.every(Number.isSafeInteger), tokens.join());
  assert.ok(
    tokens.every((token, index) => token > (tokens[index - 1] ?? 0)),
    tokens.join(),
  );
}

describe('a lease of another writer', () => {
  for (const [name, value] of Object.entries(ODD_LEASES)) {
    // Guards against a duty that nobody holds because of one odd object.
    it(`does not keep a duty from being acquired with ${name}`, async () => {
      const {clock, tokens, putLease, runningCount} = createProcesses();
      putLease(value);
      await clock.advance(ACQUIRE_MS);
      assert.equal(runningCount(), 1);
      assertIncreasing(tokens);
    });

    // Guards against two holders at the same time.
    it(`does not add a second holder with ${name}`, async () => {
      const {clock, tokens, putLease, runningCount} = createProcesses();
      await clock.advance(ACQUIRE_MS);
      assert.equal(runningCount(), 1);
      putLease(value);
      for (let waitedMs = 0; waitedMs < ACQUIRE_MS; waitedMs += STEP_MS) {
        await clock.advance(STEP_MS);
        assert.ok(runningCount() <= 1);
      }
      assert.equal(runningCount(), 1);
      assertIncreasing(tokens);
    });
  }
});
