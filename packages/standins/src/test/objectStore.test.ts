/** Contract tests of the object API, for the memory platform and HTTP. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, type ErrorKind} from '@skylarkfield/base';
import type {
  ObjectStoreClient,
  ObjectStoreSettings,
  StoredObject,
} from '@skylarkfield/providers';
import {
  objectApiFixtureTypes,
  waitUntil,
  type ObjectApiFixture,
} from './objectApiFixtures.js';

const TIMEOUT_MS = 20_000;
const fastSettings: ObjectStoreSettings = {callDeadlineMs: 300};

/** Initial state of a test: an object API that stores one object. */
interface Scenario {
  readonly fixture: ObjectApiFixture;
  readonly store: ObjectStoreClient;
  readonly initialObject: StoredObject<string>;
}

/** Makes another writer replace the object right after the tested write. */
function overwriteAfterTestedWrite({fixture, initialObject}: Scenario): void {
  const subscription = fixture.table.onDidChange(change => {
    if (change.version <= initialObject.version) {
      return;
    }
    subscription.dispose();
    // The event fires while the tested write runs, so defer the overwrite.
    queueMicrotask(() => overwrite(fixture, 'theirs'));
  });
}

function overwrite(fixture: ObjectApiFixture, value: string): void {
  fixture.table.put(
    {
      kind: 'thing',
      name: 'a',
      writeId: 'other.1',
      condition: {type: 'any'},
    },
    value,
  );
}

/** A fault during a write, and the expected outcome of the write. */
interface WriteFaultCase {
  readonly fault: string;
  readonly arrange: (scenario: Scenario) => void;
  readonly outcome: 'written' | ErrorKind;
  readonly finalValue: string;
}

const writeFaultCases: readonly WriteFaultCase[] = [
  {
    fault: 'there is no fault',
    arrange: () => {},
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the response is lost after the effect',
    arrange: ({fixture}) => fixture.faults.loseReplies(1),
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the response is lost and another writer replaces the object',
    arrange: scenario => {
      scenario.fixture.faults.loseReplies(1);
      overwriteAfterTestedWrite(scenario);
    },
    outcome: 'written',
    finalValue: 'theirs',
  },
  {
    fault:
      'the response is lost, the object replaced and the history compacted',
    arrange: scenario => {
      scenario.fixture.faults.loseReplies(1);
      overwriteAfterTestedWrite(scenario);
      scenario.fixture.table.onDidChange(change => {
        if (change.writeId === 'other.1') {
          scenario.fixture.table.compact();
        }
      });
    },
    outcome: 'outcome-unknown',
    finalValue: 'theirs',
  },
  {
    fault: 'the call times out and another write takes effect first',
    arrange: ({fixture}) => {
      fixture.faults.setDelay(1500);
      setTimeout(() => overwrite(fixture, 'theirs'), 50);
      setTimeout(() => fixture.faults.setDelay(0), 100);
    },
    outcome: 'version-conflict',
    finalValue: 'theirs',
  },
  {
    fault: 'the call times out and the write takes effect later',
    arrange: ({fixture}) => {
      fixture.faults.setDelay(900);
      setTimeout(() => fixture.faults.setDelay(0), 100);
    },
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the platform is down before the call',
    arrange: ({fixture}) => fixture.faults.setDown(true),
    outcome: 'platform-unavailable',
    finalValue: 'first',
  },
];

for (const fixtureType of objectApiFixtureTypes) {
  describe(`object API over ${fixtureType.name}`, {timeout: TIMEOUT_MS}, () => {
    async function withScenario(
      run: (scenario: Scenario) => Promise<void>,
      settings: ObjectStoreSettings = fastSettings,
    ): Promise<void> {
      const fixture = await fixtureType.start();
      const store = fixture.client('us', settings);
      try {
        const initialObject = await store.put('thing', 'a', 'first', {
          type: 'absent',
        });
        await run({fixture, store, initialObject});
      } finally {
        store.dispose();
        await fixture.stop();
      }
    }

    it('rejects a write whose condition does not hold', () =>
      withScenario(async ({store, initialObject}) => {
        await assertRejects(
          store.put('thing', 'a', 'x', {type: 'absent'}),
          'version-conflict',
        );
        const {version} = initialObject;
        await store.put('thing', 'a', 'y', {type: 'version', version});
        await assertRejects(
          store.put('thing', 'a', 'z', {type: 'version', version}),
          'version-conflict',
        );
        await assertRejects(
          store.remove('thing', 'a', {type: 'version', version}),
          'version-conflict',
        );
        assert.equal((await store.get('thing', 'a'))?.value, 'y');
      }));

    it('reads, lists and removes objects', () =>
      withScenario(async ({store, initialObject}) => {
        await store.put('thing', 'b/c d', {deep: [1]}, {type: 'any'});
        const readObject = await store.get('thing', 'b/c d');
        assert.deepEqual(readObject?.value, {deep: [1]});
        const listing = await store.list('thing');
        assert.deepEqual(listing.objects.map(object => object.name).sort(), [
          'a',
          'b/c d',
        ]);
        assert.equal(listing.version, readObject?.version);
        const {version} = initialObject;
        await store.remove('thing', 'a', {type: 'version', version});
        await store.remove('thing', 'a', {type: 'version', version});
        assert.equal(await store.get('thing', 'a'), undefined);
      }));

    // A process crashes and is restarted with the same name. If it repeated
    // write ids, it would mistake writes from before the crash for new writes.
    it('never reuses a write id after a restart', () =>
      withScenario(async ({store, fixture}) => {
        const restartedStore = fixture.client('us', fastSettings);
        const firstWrite = await store.put('thing', 'b', 1, {type: 'any'});
        const secondWrite = await restartedStore.put('thing', 'c', 1, {
          type: 'any',
        });
        const incarnations = [firstWrite.writeId, secondWrite.writeId].map(
          writeId => writeId.split('.').at(-2),
        );
        assert.notEqual(incarnations[0], incarnations[1]);
        restartedStore.dispose();
      }));

    it('rejects a value larger than a megabyte', () =>
      withScenario(({store}) =>
        assertRejects(
          store.put('thing', 'big', 'x'.repeat(1_100_000), {type: 'any'}),
          'too-large',
        ),
      ));

    // A response is lost or late, so the client must find out whether the write
    // took effect. A wrong result makes the caller repeat or lose an order.
    for (const {fault, arrange, outcome, finalValue} of writeFaultCases) {
      it(`reports the actual outcome of a write when ${fault}`, () =>
        withScenario(async scenario => {
          const {store, fixture, initialObject} = scenario;
          arrange(scenario);
          const {version} = initialObject;
          const result = await store
            .put('thing', 'a', 'ours', {type: 'version', version})
            .then(
              () => 'written',
              error => (isServingError(error) ? error.kind : String(error)),
            );
          assert.equal(result, outcome);
          await waitUntil(
            () => fixture.table.get('thing', 'a')?.value === finalValue,
          );
          const testedWrites = (
            fixture.table.changesSince('thing', version) ?? []
          ).filter(change => change.writeId.startsWith('us'));
          assert.ok(testedWrites.length <= 1, 'the write took effect twice');
        }));
    }

    // The platform goes down right after a write, so its outcome is unknown.
    it('reports an unknown outcome when the write cannot be read back', () =>
      withScenario(
        async ({store, fixture, initialObject}) => {
          fixture.faults.loseReplies(1);
          const subscription = fixture.table.onDidChange(() => {
            subscription.dispose();
            fixture.faults.setDown(true);
          });
          const {version} = initialObject;
          await assertRejects(
            store.put('thing', 'a', 'ours', {type: 'version', version}),
            'outcome-unknown',
          );
        },
        {callDeadlineMs: 300, writeDeadlineMs: 900},
      ));

    // While the platform is down, calls must not wait for their deadlines:
    // requests would queue up instead of being rejected at once.
    it('rejects calls at once while the platform is down, and recovers afterwards', () =>
      withScenario(async ({store, fixture}) => {
        fixture.faults.setDown(true);
        while (store.state() !== 'down') {
          await assertRejects(store.get('thing', 'a'), 'platform-unavailable');
        }
        const callsBefore = store.dump().calls.get;
        await assertRejects(store.get('thing', 'a'), 'platform-unavailable');
        assert.equal(store.dump().calls.get, callsBefore);
        fixture.faults.setDown(false);
        await waitUntil(() => store.state() === 'up');
        assert.equal((await store.get('thing', 'a'))?.value, 'first');
      }));

    for (const interruption of ['none', 'cut', 'cut and compacted'] as const) {
      // A watch is interrupted while objects change. A process that continues
      // from its stale list acts on records and leases that no longer exist.
      it(`delivers all changes to a watcher, interruption of the watch: ${interruption}`, () =>
        withScenario(async ({store, fixture}) => {
          const watchedValues = new Map<string, unknown>();
          let listCount = 0;
          const watch = store.watch('thing', {
            onDidList({objects}) {
              listCount += 1;
              watchedValues.clear();
              objects.forEach(object =>
                watchedValues.set(object.name, object.value),
              );
            },
            onDidPut: object => watchedValues.set(object.name, object.value),
            onDidRemove: name => watchedValues.delete(name),
          });
          await waitUntil(() => watchedValues.get('a') === 'first');
          await store.put('thing', 'b', 1, {type: 'absent'});
          await waitUntil(() => watchedValues.get('b') === 1);
          if (interruption !== 'none') {
            fixture.faults.setRejectingWatches(true);
            await waitUntil(() => store.dump().watches['thing'] !== 'open');
          }
          await store.put('thing', 'c', 2, {type: 'absent'});
          await store.remove('thing', 'b', {type: 'any'});
          if (interruption === 'cut and compacted') {
            fixture.table.compact();
          }
          fixture.faults.setRejectingWatches(false);
          await waitUntil(
            () => watchedValues.get('c') === 2 && !watchedValues.has('b'),
          );
          assert.deepEqual([...watchedValues.keys()].sort(), ['a', 'c']);
          assert.equal(listCount, interruption === 'cut and compacted' ? 2 : 1);
          watch.dispose();
        }));
    }
  });
}

async function assertRejects(
  promise: Promise<unknown>,
  kind: ErrorKind,
): Promise<void> {
  await assert.rejects(promise, error => {
    assert.ok(isServingError(error), String(error));
    assert.equal(error.kind, kind, error.message);
    return true;
  });
}
