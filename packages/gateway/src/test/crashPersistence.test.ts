import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  ServingError,
  silentLogger,
  virtualClock,
  type VirtualClock,
} from '@skylarkfield/base';
import {memoryPlatform, type ObjectStore} from '@skylarkfield/providers';
import {createCrashSuspects, type CrashReport} from '@skylarkfield/routing';
import {startCrashPersistence} from '../crashPersistence.js';
import {createMirror} from '../mirror.js';

const KIND = 'endpoint-crashes';
const REQUEST = 'f00d';
const CONFIRM_MS = 300;

/** An entry whose mirror shows what is in the store when it is told to look. */
function startEntry(self: string, store: ObjectStore, clock: VirtualClock) {
  const log = silentLogger();
  const suspects = createCrashSuspects({
    clock,
    self,
    decisions: decisionLog(clock, log),
    wallMs: () => clock.wall(),
  });
  const mirror = createMirror<CrashReport>({kind: 'crashes', clock, log});
  const memory = startCrashPersistence({
    mirror,
    suspects,
    store,
    self,
    clock,
    random: seededRandom(1),
    log,
    isReader: () => true,
  });
  return {
    suspects,
    memory,
    async look() {
      const {version, objects} = await store.list<CrashReport>(KIND);
      const items = objects.map(object => ({
        ...object,
        revision: object.version,
      }));
      mirror.applyListing({revision: version, items}, undefined);
    },
    async crash(...endpoints: string[]) {
      for (const endpoint of endpoints) {
        suspects.noteClosed({request: REQUEST, endpoint});
        await clock.advance(2_000);
      }
    },
  };
}

function createWorld() {
  const clock = virtualClock();
  const store: ObjectStore = memoryPlatform({clock}).client('e1');
  const start = (self: string, over = store) => startEntry(self, over, clock);
  return {clock, store, start};
}

describe('the memory of crashes', () => {
  // Guards against a verdict that is lost with the entries that reached it.
  it('tells entries that all were replaced', async () => {
    const {start} = createWorld();
    const before = start('a1');
    await before.look();
    await before.crash('e1', 'e2', 'e3');
    before.memory.dispose();
    const after = start('b1');
    await after.look();
    assert.equal(after.suspects.judge(REQUEST).type, 'quarantined');
  });

  // Guards against a restarted entry that overwrites what it had kept.
  it('adds to what the entry had kept before it was started again', async () => {
    const {start, store} = createWorld();
    const before = start('a1');
    await before.look();
    await before.crash('e1', 'e2');
    before.memory.dispose();
    const after = start('a1');
    await after.crash('e3');
    const untouched = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(untouched?.value.crashes.length, 2);
    await after.look();
    await after.crash();
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(after.suspects.judge(REQUEST).type, 'quarantined');
    assert.equal(after.suspects.own().crashes.length, 3);
  });

  it('writes until the store has taken it', async () => {
    const {clock, store, start} = createWorld();
    let isDown = true;
    const flaky: ObjectStore = {
      ...store,
      put: (...call) =>
        isDown
          ? Promise.reject(new ServingError('platform-unavailable', 'down'))
          : store.put(...call),
    };
    const entry = start('a1', flaky);
    await entry.look();
    await entry.crash('e1');
    assert.equal(await store.get(KIND, 'a1'), undefined);
    isDown = false;
    await clock.advance(1_000);
    const kept = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(kept?.value.crashes.length, 1);
  });

  it('writes once for all requests that an endpoint takes down', async () => {
    const {clock, store, start} = createWorld();
    let writes = 0;
    const counting: ObjectStore = {
      ...store,
      put: (...call) => {
        writes += 1;
        return store.put(...call);
      },
    };
    const entry = start('a1', counting);
    await entry.look();
    for (let index = 0; index < 40; index++) {
      entry.suspects.noteClosed({request: `r${index}`, endpoint: 'e1'});
    }
    await clock.advance(CONFIRM_MS + 2_000);
    assert.equal(writes, 1);
    const kept = await store.get<CrashReport>(KIND, 'a1');
    assert.equal(kept?.value.crashes.length, 40);
  });

  it('lifts verdicts whose objects an operator takes away', async () => {
    const {start, store} = createWorld();
    const entry = start('a1');
    await entry.look();
    await entry.crash('e1', 'e2', 'e3');
    await entry.look();
    await store.remove(KIND, 'a1', {type: 'any'});
    await entry.look();
    assert.equal(entry.suspects.judge(REQUEST).type, 'clear');
  });

  it('removes objects that hold nothing that still counts', async () => {
    const {clock, start, store} = createWorld();
    const gone = start('a1');
    await gone.look();
    await gone.crash('e1');
    gone.memory.dispose();
    const reader = start('b1');
    await reader.look();
    await clock.advance(3_600_000 + 300_000);
    assert.equal(await store.get(KIND, 'a1'), undefined);
  });
});
