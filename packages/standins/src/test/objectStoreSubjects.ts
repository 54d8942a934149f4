/** The two object APIs that every contract case runs against. */
import type {Clock} from '@skylarkfield/base';
import {seededRandom, systemClock, toDisposable} from '@skylarkfield/base';
import {
  createHttpObjectStore,
  memoryPlatform,
  type ObjectClient,
  type ObjectFaults,
  type ObjectStoreSettings,
  type ObjectTable,
} from '@skylarkfield/providers';
import {startPlatformStandin} from '../platform/platformStandin.js';

/** One running object API with its switches. */
export interface Subject {
  readonly table: ObjectTable;
  readonly faults: ObjectFaults;
  client(writer: string, settings?: ObjectStoreSettings): ObjectClient;
  stop(): Promise<void>;
}

export interface SubjectType {
  readonly name: string;
  start(): Promise<Subject>;
}

/** Real time whose timers keep the test process alive. */
export const testClock: Clock = {
  ...systemClock(),
  after(delayMs, callback) {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return toDisposable(() => clearTimeout(timer));
  },
};

export const subjects: readonly SubjectType[] = [
  {name: 'memory platform', start: startMemory},
  {name: 'HTTP stand-in', start: startHttp},
];

async function startMemory(): Promise<Subject> {
  const platform = memoryPlatform({clock: testClock});
  return {
    table: platform.table,
    faults: platform.faults,
    client: (writer, settings) => platform.client(writer, settings),
    stop: () => Promise.resolve(),
  };
}

let seeds = 0;

async function startHttp(): Promise<Subject> {
  const platform = await startPlatformStandin({port: 0, clock: testClock});
  return {
    table: platform.table,
    faults: {
      setDown(isDown) {
        platform.faults.isDown = isDown;
        platform.dropWatches();
      },
      setSlow(delayMs) {
        platform.faults.delayMs = delayMs;
      },
      loseReplies(count) {
        platform.faults.repliesToLose = count;
      },
      rejectWatches(isRejecting) {
        platform.faults.isRejectingWatches = isRejecting;
        platform.dropWatches();
      },
      silenceWatches(isSilent) {
        platform.faults.isSilent = isSilent;
      },
    },
    client: (writer, settings) =>
      createHttpObjectStore({
        ...settings,
        url: platform.url,
        writer,
        clock: testClock,
        random: seededRandom((seeds += 1)),
      }),
    stop: () => platform.stop(),
  };
}

/** Waits until the condition holds; the test's own timeout ends a wait in vain. */
export async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
