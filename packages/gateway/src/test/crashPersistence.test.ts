import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  seededRandom,
  ServingError,
  createSilentLogger,
  createVirtualClock,
  type VirtualClock,
} from '@skylarkfield/base';
import {createMemoryPlatform, type ObjectStore} from '@skylarkfield/providers';
import {createCrashQuarantine, type CrashReport} from '@skylarkfield/routing';
import {startCrashPersistence} from '../crashPersistence.js';
import {createMirror} from '../mirror.js';

const KIND = 'endpoint-crashes';
const REQUEST = 'f00d';
const CRASH_CONFIRM_MS = 300;

/**
 * Creates an entry whose mirror is updated from the store only by `refresh`.
 */
function startEntry(self: string, store: ObjectStore, clock: VirtualClock) {
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
    random: seededRandom(1),
    log,
    isReader: () => true,
  });
  return {
    crashQuarantine,
    persistence,
    async refresh() {
      const {version, objects} = await store.list<CrashReport>(KIND);
      const items = objects.map(object => ({
        ...object,
        revision: object.version,
      }));
      mirror.applyListing({revision: version, items}, undefined);
    },
    async loseConnections(...endpoints: string[]) {
      for (const endpoint of endpoints) {
        crashQuarantine.recordConnectionLost({request: REQUEST, endpoint});
        await clock.advance(2_000);
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
});
