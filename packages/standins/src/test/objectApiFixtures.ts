/** The object API implementations that the contract tests run against. */
import type {Clock} from '@skylarkfield/base';
import {seededRandom, systemClock, toDisposable} from '@skylarkfield/base';
import {
  createHttpObjectStore,
  createMemoryPlatform,
  type ObjectStoreClient,
  type ObjectFaultControls,
  type ObjectStoreSettings,
  type ObjectTable,
} from '@skylarkfield/providers';
import {startPlatformStandin} from '../platform/platformStandin.js';

/** A running object API with its fault controls. */
export interface ObjectApiFixture {
  readonly table: ObjectTable;
  readonly faults: ObjectFaultControls;
  client(writer: string, settings?: ObjectStoreSettings): ObjectStoreClient;
  stop(): Promise<void>;
}

export interface ObjectApiFixtureType {
  readonly name: string;
  start(): Promise<ObjectApiFixture>;
}

/** System clock whose timers keep the test process alive. */
export const testClock: Clock = {
  ...systemClock(),
  after(delayMs, callback) {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return toDisposable(() => clearTimeout(timer));
  },
};

export const objectApiFixtureTypes: readonly ObjectApiFixtureType[] = [
  {name: 'memory platform', start: startMemoryPlatform},
  {name: 'HTTP stand-in', start: startHttpStandin},
];

async function startMemoryPlatform(): Promise<ObjectApiFixture> {
  const platform = createMemoryPlatform({clock: testClock});
  return {
    table: platform.table,
    faults: platform.faults,
    client: (writer, settings) => platform.createClient(writer, settings),
    stop: () => Promise.resolve(),
  };
}

let lastSeed = 0;

async function startHttpStandin(): Promise<ObjectApiFixture> {
  const platform = await startPlatformStandin({port: 0, clock: testClock});
  return {
    table: platform.table,
    faults: {
      setDown(isDown) {
        platform.faults.isDown = isDown;
        platform.dropWatches();
      },
      setDelay(delayMs) {
        platform.faults.delayMs = delayMs;
      },
      loseReplies(count) {
        platform.faults.repliesToLose = count;
      },
      setRejectingWatches(isRejecting) {
        platform.faults.isRejectingWatches = isRejecting;
        platform.dropWatches();
      },
      setStallingWatches(isSilent) {
        platform.faults.isSilent = isSilent;
      },
    },
    client: (writer, settings) =>
      createHttpObjectStore({
        ...settings,
        url: platform.url,
        writer,
        clock: testClock,
        random: seededRandom((lastSeed += 1)),
      }),
    stop: () => platform.stop(),
  };
}

/** Polls until the condition holds; only the test's timeout limits the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
