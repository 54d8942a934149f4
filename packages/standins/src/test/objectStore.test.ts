/** The object API's contract, against the in-process fake and the HTTP stand-in alike. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, type ErrorKind} from '@skylarkfield/base';
import type {
  ObjectClient,
  ObjectStoreSettings,
  StoredObject,
} from '@skylarkfield/providers';
import {subjects, until, type Subject} from './objectStoreSubjects.js';

const TIMEOUT_MS = 20_000;
const quick: ObjectStoreSettings = {callDeadlineMs: 300};

/** What a fault case starts from: one object at a known version. */
interface Scene {
  readonly subject: Subject;
  readonly store: ObjectClient;
  readonly first: StoredObject<string>;
}

/** Another writer replaces the object as soon as ours has landed. */
function overwriteAfterOurs({subject, first}: Scene): void {
  const subscription = subject.table.onDidChange(change => {
    if (change.version <= first.version) {
      return;
    }
    subscription.dispose();
    // The emitter calls this within the first write: the second comes after it.
    queueMicrotask(() => overwrite(subject, 'theirs'));
  });
}

function overwrite(subject: Subject, value: string): void {
  subject.table.put(
    {
      kind: 'thing',
      name: 'a',
      writeId: 'other.1',
      condition: {type: 'any'},
    },
    value,
  );
}

/** A write under a fault, and what it must come to. */
interface LostWriteCase {
  readonly fault: string;
  readonly arrange: (scene: Scene) => void;
  readonly outcome: 'written' | ErrorKind;
  readonly finalValue: string;
}

const lostWrites: readonly LostWriteCase[] = [
  {
    fault: 'nothing goes wrong',
    arrange: () => {},
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the reply is lost after the effect',
    arrange: ({subject}) => subject.faults.loseReplies(1),
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the reply is lost and another writer replaces the object',
    arrange: scene => {
      scene.subject.faults.loseReplies(1);
      overwriteAfterOurs(scene);
    },
    outcome: 'written',
    finalValue: 'theirs',
  },
  {
    fault: 'the reply is lost, the object replaced and the history compacted',
    arrange: scene => {
      scene.subject.faults.loseReplies(1);
      overwriteAfterOurs(scene);
      scene.subject.table.onDidChange(change => {
        if (change.writeId === 'other.1') {
          scene.subject.table.compact();
        }
      });
    },
    outcome: 'outcome-unknown',
    finalValue: 'theirs',
  },
  {
    fault: 'the call times out and another writer comes first',
    arrange: ({subject}) => {
      subject.faults.setSlow(1500);
      setTimeout(() => overwrite(subject, 'theirs'), 50);
      setTimeout(() => subject.faults.setSlow(0), 100);
    },
    outcome: 'version-conflict',
    finalValue: 'theirs',
  },
  {
    fault: 'the call times out and takes effect later',
    arrange: ({subject}) => {
      subject.faults.setSlow(900);
      setTimeout(() => subject.faults.setSlow(0), 100);
    },
    outcome: 'written',
    finalValue: 'ours',
  },
  {
    fault: 'the platform is down before the call',
    arrange: ({subject}) => subject.faults.setDown(true),
    outcome: 'platform-unavailable',
    finalValue: 'first',
  },
];

for (const type of subjects) {
  describe(`object API over ${type.name}`, {timeout: TIMEOUT_MS}, () => {
    async function inScene(
      run: (scene: Scene) => Promise<void>,
      settings: ObjectStoreSettings = quick,
    ): Promise<void> {
      const subject = await type.start();
      const store = subject.client('us', settings);
      try {
        const first = await store.put('thing', 'a', 'first', {type: 'absent'});
        await run({subject, store, first});
      } finally {
        store.dispose();
        await subject.stop();
      }
    }

    it('refuses a write whose condition does not hold', () =>
      inScene(async ({store, first}) => {
        await rejects(
          store.put('thing', 'a', 'x', {type: 'absent'}),
          'version-conflict',
        );
        const {version} = first;
        await store.put('thing', 'a', 'y', {type: 'version', version});
        await rejects(
          store.put('thing', 'a', 'z', {type: 'version', version}),
          'version-conflict',
        );
        await rejects(
          store.remove('thing', 'a', {type: 'version', version}),
          'version-conflict',
        );
        assert.equal((await store.get('thing', 'a'))?.value, 'y');
      }));

    it('reads, lists and removes', () =>
      inScene(async ({store, first}) => {
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

    // A process dies and its successor of the same name starts at once. If their
    // write ids were alike, it would take the other's write for its own.
    it('never uses a write id again after a restart', () =>
      inScene(async ({store, subject}) => {
        const successor = subject.client('us', quick);
        const one = await store.put('thing', 'b', 1, {type: 'any'});
        const two = await successor.put('thing', 'c', 1, {type: 'any'});
        const ids = [one.writeId, two.writeId].map(id => id.split('.').at(-2));
        assert.notEqual(ids[0], ids[1]);
        successor.dispose();
      }));

    it('refuses a value above a megabyte', () =>
      inScene(({store}) =>
        rejects(
          store.put('thing', 'big', 'x'.repeat(1_100_000), {type: 'any'}),
          'too-large',
        ),
      ));

    // A reply gets lost or late, and the writer cannot tell from it whether the
    // change is there. A wrong guess runs an order twice or loses it.
    for (const {fault, arrange, outcome, finalValue} of lostWrites) {
      it(`tells the truth about a write when ${fault}`, () =>
        inScene(async scene => {
          const {store, subject, first} = scene;
          arrange(scene);
          const {version} = first;
          const result = await store
            .put('thing', 'a', 'ours', {type: 'version', version})
            .then(
              () => 'written',
              error => (isServingError(error) ? error.kind : String(error)),
            );
          assert.equal(result, outcome);
          await until(
            () => subject.table.get('thing', 'a')?.value === finalValue,
          );
          const ours = (
            subject.table.changesSince('thing', version) ?? []
          ).filter(change => change.writeId.startsWith('us'));
          assert.ok(ours.length <= 1, 'the write took effect twice');
        }));
    }

    // The platform goes away right after a write: nobody can tell what became of it.
    it('says that an outcome is unknown when it cannot be read back', () =>
      inScene(
        async ({store, subject, first}) => {
          subject.faults.loseReplies(1);
          const subscription = subject.table.onDidChange(() => {
            subscription.dispose();
            subject.faults.setDown(true);
          });
          const {version} = first;
          await rejects(
            store.put('thing', 'a', 'ours', {type: 'version', version}),
            'outcome-unknown',
          );
        },
        {callDeadlineMs: 300, writeDeadlineMs: 900},
      ));

    // With the platform down every call would wait for its deadline, and
    // requests would pile up behind it instead of being refused at once.
    it('fails at once while the platform is down, and comes back by itself', () =>
      inScene(async ({store, subject}) => {
        subject.faults.setDown(true);
        while (store.state() !== 'down') {
          await rejects(store.get('thing', 'a'), 'platform-unavailable');
        }
        const before = store.dump().calls.get;
        await rejects(store.get('thing', 'a'), 'platform-unavailable');
        assert.equal(store.dump().calls.get, before);
        subject.faults.setDown(false);
        await until(() => store.state() === 'up');
        assert.equal((await store.get('thing', 'a'))?.value, 'first');
      }));

    for (const gap of ['none', 'cut', 'cut and compacted'] as const) {
      // A watch is cut while objects change. A process that goes on from a list
      // that is no longer true acts on records and leases that are long gone.
      it(`shows a watcher every object after a gap: ${gap}`, () =>
        inScene(async ({store, subject}) => {
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
          await until(() => view.get('a') === 'first');
          await store.put('thing', 'b', 1, {type: 'absent'});
          await until(() => view.get('b') === 1);
          if (gap !== 'none') {
            subject.faults.rejectWatches(true);
            await until(() => store.dump().watches['thing'] !== 'open');
          }
          await store.put('thing', 'c', 2, {type: 'absent'});
          await store.remove('thing', 'b', {type: 'any'});
          if (gap === 'cut and compacted') {
            subject.table.compact();
          }
          subject.faults.rejectWatches(false);
          await until(() => view.get('c') === 2 && !view.has('b'));
          assert.deepEqual([...view.keys()].sort(), ['a', 'c']);
          assert.equal(lists, gap === 'cut and compacted' ? 2 : 1);
          watch.dispose();
        }));
    }
  });
}

async function rejects(
  promise: Promise<unknown>,
  kind: ErrorKind,
): Promise<void> {
  await assert.rejects(promise, error => {
    assert.ok(isServingError(error), String(error));
    assert.equal(error.kind, kind, error.message);
    return true;
  });
}
