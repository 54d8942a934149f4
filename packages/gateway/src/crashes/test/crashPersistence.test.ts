import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  hash32,
  seededRandom,
  ServingError,
  createSilentLogger,
  createVirtualClock,
  type VirtualClock,
} from '@skylarkfield/base';
import {
  createMemoryPlatform,
  createStoreRevision,
  revisionInEra,
  type ObjectStore,
  type StoredObject,
  type WriteCondition,
} from '@skylarkfield/providers';
import {createCrashQuarantine, type CrashReport} from '@skylarkfield/routing';
import {startCrashPersistence} from '../crashPersistence.js';
import {createMirror} from '../../mirrors/mirror.js';

const KIND = 'endpoint-crashes';
const REQUEST = 'f00d';
const CRASH_CONFIRM_MS = 300;

/**
 * Creates an entry whose mirror is updated from the store only by `refresh`.
 */
function startEntry(
  self: string,
  store: ObjectStore,
  clock: VirtualClock,
  seed = 1,
) {
  const log = createSilentLogger();
  const crashQuarantine = createCrashQuarantine({
    clock,
    self,
    decisions: createDecisionLog(clock, log),
    wallMs: () => clock.wall(),
  });
  const mirror = createMirror<CrashReport>({kind: 'crashes', clock, log});
  const persistence = startCrashPersistence({
    mirror,
    crashQuarantine,
    store,
    self,
    clock,
    random: seededRandom(hash32(`${seed}`)),
    log,
    isReader: () => true,
  });
  /** Replaces the mirror's content, at the store's current revision. */
  async function receive(
    objects: readonly StoredObject<CrashReport>[],
  ): Promise<void> {
    const {version} = await store.list(KIND);
    const items = objects.map(object => ({
      ...object,
      revision: object.version,
    }));
    mirror.applyListing({revision: version, items}, undefined);
  }

  return {
    crashQuarantine,
    persistence,
    receive,
    async refresh() {
      const {objects} = await store.list<CrashReport>(KIND);
      await receive(objects);
    },
    async loseConnections(...endpoints: string[]) {
      for (const endpoint of endpoints) {
        crashQuarantine.recordConnectionLost({request: REQUEST, endpoint});
        await clock.advance(2_000);
      }
    },
  };
}

/** Creates a store whose positions name eras, and that can return from a copy. */
function createRestorableStore(clock: VirtualClock) {
  let store: ObjectStore = createMemoryPlatform({clock}).createClient('e1');
  let era = 0;
  const writtenNames: string[] = [];
  const toPosition = <T>(object: StoredObject<T>) => ({
    ...object,
    version: createStoreRevision(era, object.version),
  });
  const toCondition = (condition: WriteCondition): WriteCondition =>
    condition.type === 'version'
      ? {type: 'version', version: revisionInEra(condition.version)}
      : condition;
  const restorableStore: ObjectStore = {
    ...store,
    async list<T>(kind: string) {
      const {version, objects} = await store.list<T>(kind);
      return {
        version: createStoreRevision(era, version),
        objects: objects.map(toPosition),
      };
    },
    async get<T>(kind: string, name: string) {
      const object = await store.get<T>(kind, name);
      return object && toPosition(object);
    },
    async put(kind, name, value, condition) {
      writtenNames.push(name);
      return toPosition(
        await store.put(kind, name, value, toCondition(condition)),
      );
    },
    remove: (kind, name, condition) =>
      store.remove(kind, name, toCondition(condition)),
  };
  return {
    store: restorableStore,
    /** Names of the objects written so far, in the order of the writes. */
    writtenNames,
    takeCopy: async () => (await store.list(KIND)).objects,
    async restore(copy: readonly StoredObject[]) {
      store = createMemoryPlatform({clock}).createClient('e1');
      era += 1;
      for (const {kind, name, value} of copy) {
        await store.put(kind, name, value, {type: 'any'});
      }
    },
  };
}

function createFleet() {
  const clock = createVirtualClock();
  const store: ObjectStore = createMemoryPlatform({clock}).createClient('e1');
  const start = (self: string, entryStore = store) =>
    startEntry(self, entryStore, clock);
  return {clock, store, start};
}

describe('crash persistence', () => {
  // Guards against losing verdicts together with the entries that reached them.
  it('restores a verdict after all entries were replaced', async () => {
    const {start} = createFleet();
    const firstEntry = start('a1');
    await firstEntry.refresh();
    await firstEntry.loseConnections('e1', 'e2', 'e3');
    firstEntry.persistence.dispose();
    const replacementEntry = start('b1');
    await replacementEntry.refresh();
    assert.equal(
      replacementEntry.crashQuarantine.verdictFor(REQUEST).type,
      'quarantined',
    );
  });

  // Guards against a restarted entry that overwrites its persisted report
  // before reading it.
  it('merges new crashes into the report from before a restart', async () => {
    const {start, store} = createFleet();
    const firstProcess = start('a1');
    await firstProcess.refresh();
    await firstProcess.loseConnections('e1', 'e2');
    firstProcess.persistence.dispose();
    const restartedProcess = start('a1');
    await restartedProcess.loseConnections('e3');
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 2);
    await restartedProcess.refresh();
    await restartedProcess.loseConnections();
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(
      restartedProcess.crashQuarantine.verdictFor(REQUEST).type,
      'quarantined',
    );
    assert.equal(
      restartedProcess.crashQuarantine.reportToStore().crashes.length,
      3,
    );
  });

  it('retries a failed write until the store is available', async () => {
    const {clock, store, start} = createFleet();
    let isDown = true;
    const flakyStore: ObjectStore = {
      ...store,
      put: (...call) =>
        isDown
          ? Promise.reject(new ServingError('platform-unavailable', 'down'))
          : store.put(...call),
    };
    const entry = start('a1', flakyStore);
    await entry.refresh();
    await entry.loseConnections('e1');
    assert.equal(await store.get(KIND, 'a1'), undefined);
    isDown = false;
    await clock.advance(1_000);
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 1);
  });

  it('batches the requests of one crash into one write', async () => {
    const {clock, store, start} = createFleet();
    let writeCount = 0;
    const countingStore: ObjectStore = {
      ...store,
      put: (...call) => {
        writeCount += 1;
        return store.put(...call);
      },
    };
    const entry = start('a1', countingStore);
    await entry.refresh();
    for (let index = 0; index < 40; index++) {
      entry.crashQuarantine.recordConnectionLost({
        request: `r${index}`,
        endpoint: 'e1',
      });
    }
    await clock.advance(CRASH_CONFIRM_MS + 2_000);
    assert.equal(writeCount, 1);
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 40);
  });

  it('clears a verdict after an operator has removed the persisted report', async () => {
    const {start, store} = createFleet();
    const entry = start('a1');
    await entry.refresh();
    await entry.loseConnections('e1', 'e2', 'e3');
    await entry.refresh();
    await store.remove(KIND, 'a1', {type: 'any'});
    await entry.refresh();
    assert.equal(entry.crashQuarantine.verdictFor(REQUEST).type, 'clear');
  });

  it('removes a persisted report after all its crashes have expired', async () => {
    const {clock, start, store} = createFleet();
    const removedEntry = start('a1');
    await removedEntry.refresh();
    await removedEntry.loseConnections('e1');
    removedEntry.persistence.dispose();
    const reader = start('b1');
    await reader.refresh();
    await clock.advance(3_600_000 + 300_000);
    assert.equal(await store.get(KIND, 'a1'), undefined);
  });

  // Guards against reports that were written in the seconds that the store lost.
  it('persists its report again after the store returned from a copy', async () => {
    const clock = createVirtualClock();
    const {store, takeCopy, restore} = createRestorableStore(clock);
    const entry = startEntry('a1', store, clock);
    await entry.refresh();
    await entry.loseConnections('e1');
    const copy = await takeCopy();
    await entry.loseConnections('e2', 'e3');
    await entry.refresh();
    await restore(copy);
    await entry.refresh();
    await clock.advance(2_000);
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 3);
    await entry.refresh();
    const {type} = entry.crashQuarantine.verdictFor(REQUEST);
    assert.equal(type, 'quarantined');
  });

  // Guards against an entry that takes its lost report for a removed one.
  it('keeps its verdict when the store returned without its report', async () => {
    const clock = createVirtualClock();
    const {store, takeCopy, restore} = createRestorableStore(clock);
    const entry = startEntry('a1', store, clock);
    await entry.refresh();
    const copy = await takeCopy();
    await entry.loseConnections('e1', 'e2', 'e3');
    await entry.refresh();
    await restore(copy);
    await entry.refresh();
    const {type} = entry.crashQuarantine.verdictFor(REQUEST);
    assert.equal(type, 'quarantined');
    await clock.advance(2_000);
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 3);
  });

  // Guards against a fleet that writes at once, or more often than needed.
  it('spreads the writes of 195 entries after a return, one for each', async () => {
    const clock = createVirtualClock();
    const {store, takeCopy, restore, writtenNames} =
      createRestorableStore(clock);
    const entries = Array.from({length: 195}, (_, index) =>
      startEntry(`a${index}`, store, clock, index),
    );
    const reporters = entries.slice(0, 190);
    await Promise.all(entries.map(entry => entry.refresh()));
    const copy = await takeCopy();
    await Promise.all(reporters.map(entry => entry.loseConnections('e1')));
    await clock.advance(2_000);
    await Promise.all(entries.map(entry => entry.refresh()));
    await restore(copy);
    await Promise.all(entries.map(entry => entry.refresh()));
    writtenNames.length = 0;
    let mostPerTenth = 0;
    for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
      const writtenBefore = writtenNames.length;
      await clock.advance(100);
      mostPerTenth = Math.max(
        mostPerTenth,
        writtenNames.length - writtenBefore,
      );
    }
    assert.equal(writtenNames.length, reporters.length);
    assert.equal(new Set(writtenNames).size, reporters.length);
    assert.ok(mostPerTenth <= 40, `${mostPerTenth} writes in 100 ms`);
  });

  // Guards against writes of what the store still holds.
  it('writes nothing after a return that lost no report', async () => {
    const clock = createVirtualClock();
    const {store, takeCopy, restore, writtenNames} =
      createRestorableStore(clock);
    const entry = startEntry('a1', store, clock);
    await entry.refresh();
    await entry.loseConnections('e1');
    await entry.refresh();
    await restore(await takeCopy());
    await entry.refresh();
    const writtenCount = writtenNames.length;
    await clock.advance(10_000);
    assert.equal(writtenNames.length, writtenCount);
  });

  // Guards against a restarted entry that learns of its lost report too late.
  it('persists a lost report of its former process that a peer retained', async () => {
    const clock = createVirtualClock();
    const {store, restore} = createRestorableStore(clock);
    const firstProcess = startEntry('a1', store, clock);
    await firstProcess.refresh();
    await firstProcess.loseConnections('e1', 'e2', 'e3');
    const {objects} = await store.list<CrashReport>(KIND);
    firstProcess.persistence.dispose();
    await restore([]);
    const restartedProcess = startEntry('a1', store, clock);
    await restartedProcess.refresh();
    await clock.advance(2_000);
    await restartedProcess.receive(objects);
    await clock.advance(2_000);
    const storedReport = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(storedReport?.value.crashes.length, 3);
  });

  // Guards against removals of reports that the store does not hold.
  it('removes no expired report of an earlier era', async () => {
    const clock = createVirtualClock();
    const {store, takeCopy, restore} = createRestorableStore(clock);
    const removedEntry = startEntry('a1', store, clock);
    await removedEntry.refresh();
    await removedEntry.loseConnections('e1');
    removedEntry.persistence.dispose();
    const copy = await takeCopy();
    const {objects} = await store.list<CrashReport>(KIND);
    await restore([]);
    const reader = startEntry('b1', store, clock);
    await reader.receive(objects);
    await restore(copy);
    await clock.advance(3_600_000 + 300_000);
    assert.notEqual(await store.get(KIND, 'a1'), undefined);
  });
});
