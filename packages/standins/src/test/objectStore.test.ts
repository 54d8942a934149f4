/** Contract tests of the object API, run in process and over HTTP. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, type ErrorKind} from '@skylarkfield/base';
import type {
  ObjectClient,
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

/** Initial state of a test: one stored object at a known version. */
interface Scenario {
  readonly fixture: ObjectApiFixture;
  readonly store: ObjectClient;
  readonly first: StoredObject<string>;
}

/** Lets another writer replace the object right after our write. */
function overwriteAfterOwnWrite({fixture, first}: Scenario): void {
  const subscription = fixture.table.onDidChange(change => {
    if (change.version <= first.version) {
      return;
    }
    subscription.dispose();
    // The emitter fires inside the first write, so the overwrite is deferred.
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

/** A write under a fault, with its expected outcome. */
interface WriteFaultCase {
  readonly fault: string;
  readonly arrange: (scenario: Scenario) => void;
  readonly outcome: 'written' | ErrorKind;
  readonly finalValue: string;
}

const writeFaultCases: readonly WriteFaultCase[] = [
  {
    fault: 'nothing goes wrong',
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
      overwriteAfterOwnWrite(scenario);
    },
    outcome: 'written',
    finalValue: 'theirs',
  },
  {
    fault:
      'the response is lost, the object replaced and the history compacted',
    arrange: scenario => {
      scenario.fixture.faults.loseReplies(1);
      overwriteAfterOwnWrite(scenario);
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
    fault: 'the call times out and another writer comes first',
    arrange: ({fixture}) => {
      fixture.faults.setDelay(1500);
      setTimeout(() => overwrite(fixture, 'theirs'), 50);
      setTimeout(() => fixture.faults.setDelay(0), 100);
    },
    outcome: 'version-conflict',
    finalValue: 'theirs',
  },
  {
    fault: 'the call times out and takes effect later',
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

for (const type of objectApiFixtureTypes) {
  describe(`object API over ${type.name}`, {timeout: TIMEOUT_MS}, () => {
    async function withScenario(
      run: (scenario: Scenario) => Promise<void>,
      settings: ObjectStoreSettings = fastSettings,
    ): Promise<void> {
      const fixture = await type.start();
      const store = fixture.client('us', settings);
      try {
        const first = await store.put('thing', 'a', 'first', {type: 'absent'});
        await run({fixture, store, first});
      } finally {
        store.dispose();
        await fixture.stop();
      }
    }

    it('rejects a write whose condition does not hold', () =>
      withScenario(async ({store, first}) => {
        await assertRejects(
          store.put('thing', 'a', 'x', {type: 'absent'}),
          'version-conflict',
        );
        const {version} = first;
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

    it('reads, lists and removes', () =>
      withScenario(async ({store, first}) => {
        await store.put('thing', 'b/c d', {deep: [1]}, {type: 'any'});
        const read = await store.get('thing', 'b/c d');
        assert.deepEqual(read?.value, {deep: [1]});
        const listing = await store.list('thing');
        assert.deepEqual(listing.objects.map(object => object.name).sort(), [
          'a',
          'b/c d',
        ]);
        assert.equal(listing.version, read?.version);
        const {version} = first;
        await store.remove('thing', 'a', {type: 'version', version});
        await store.remove('thing', 'a', {type: 'version', version});
        assert.equal(await store.get('thing', 'a'), undefined);
      }));

    // A process crashes and is restarted with the same name. With repeated write
    // ids, the new process would mistake writes of the old process for its own.
    it('never reuses a write id after a restart', () =>
      withScenario(async ({store, fixture}) => {
        const restarted = fixture.client('us', fastSettings);
        const one = await store.put('thing', 'b', 1, {type: 'any'});
        const two = await restarted.put('thing', 'c', 1, {type: 'any'});
        const ids = [one.writeId, two.writeId].map(id => id.split('.').at(-2));
        assert.notEqual(ids[0], ids[1]);
        restarted.dispose();
      }));

    it('rejects a value above a megabyte', () =>
      withScenario(({store}) =>
        assertRejects(
          store.put('thing', 'big', 'x'.repeat(1_100_000), {type: 'any'}),
          'too-large',
        ),
      ));

    // A response is lost or late, so the writer cannot tell whether its change
    // took effect. A wrong conclusion runs an order twice or loses it.
    for (const {fault, arrange, outcome, finalValue} of writeFaultCases) {
      it(`reports the actual outcome of a write when ${fault}`, () =>
        withScenario(async scenario => {
          const {store, fixture, first} = scenario;
          arrange(scenario);
          const {version} = first;
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
          const ours = (
            fixture.table.changesSince('thing', version) ?? []
          ).filter(change => change.writeId.startsWith('us'));
          assert.ok(ours.length <= 1, 'the write took effect twice');
        }));
    }

    // The platform goes down right after a write, so its outcome is unknown.
    it('reports an unknown outcome when the write cannot be read back', () =>
      withScenario(
        async ({store, fixture, first}) => {
          fixture.faults.loseReplies(1);
          const subscription = fixture.table.onDidChange(() => {
            subscription.dispose();
            fixture.faults.setDown(true);
          });
          const {version} = first;
          await assertRejects(
            store.put('thing', 'a', 'ours', {type: 'version', version}),
            'outcome-unknown',
          );
        },
        {callDeadlineMs: 300, writeDeadlineMs: 900},
      ));

    // While the platform is down, calls must not wait for their deadlines:
    // requests would queue up instead of being rejected at once.
    it('fails fast while the platform is down, and recovers by itself', () =>
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

    for (const gap of ['none', 'cut', 'cut and compacted'] as const) {
      // A watch is interrupted while objects change. A process that continues
      // from its stale list acts on records and leases that no longer exist.
      it(`delivers every object to a watcher after a gap: ${gap}`, () =>
        withScenario(async ({store, fixture}) => {
          const view = new Map<string, unknown>();
          let lists = 0;
          const watch = store.watch('thing', {
            onDidList({objects}) {
              lists += 1;
              view.clear();
              objects.forEach(object => view.set(object.name, object.value));
            },
            onDidPut: object => view.set(object.name, object.value),
            onDidRemove: name => view.delete(name),
          });
          await waitUntil(() => view.get('a') === 'first');
          await store.put('thing', 'b', 1, {type: 'absent'});
          await waitUntil(() => view.get('b') === 1);
          if (gap !== 'none') {
            fixture.faults.rejectWatches(true);
            await waitUntil(() => store.dump().watches['thing'] !== 'open');
          }
          await store.put('thing', 'c', 2, {type: 'absent'});
          await store.remove('thing', 'b', {type: 'any'});
          if (gap === 'cut and compacted') {
            fixture.table.compact();
          }
          fixture.faults.rejectWatches(false);
          await waitUntil(() => view.get('c') === 2 && !view.has('b'));
          assert.deepEqual([...view.keys()].sort(), ['a', 'c']);
          assert.equal(lists, gap === 'cut and compacted' ? 2 : 1);
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
