/** Processes that compete for one duty over a store that returns from copies. */
import assert from 'node:assert/strict';
import {
  createPausableClock,
  createVirtualClock,
  seededRandom,
  toDisposable,
} from '@skylarkfield/base';
import {
  createMemoryPlatform,
  createStoreRevision,
  revisionInEra,
  type Freshness,
  type MemoryObjectStoreClient,
  type StoredObject,
} from '@skylarkfield/providers';
import type {DutyElections} from '../contracts.js';
import {createDutyElections} from '../duties.js';
import {LEASE_KIND} from '../lease.js';

const DUTY = 'fleet';
const STEP_MS = 50;
const MEMBERS = ['a', 'b', 'c'];

/**
 * Creates the platform. Its processes are checked while time advances: at most
 * one of them holds the duty, and fencing tokens rise with each term.
 */
export function createRestoredDutyProcesses() {
  const commonClock = createVirtualClock();
  const platform = createMemoryPlatform({clock: commonClock});
  platform.faults.setDelay(2);
  const startedTerms: {readonly id: string; readonly fencing: number}[] = [];
  const processes: {readonly id: string; isHolder(): boolean}[] = [];

  /** Not checked as a term starts, since an election survives such errors. */
  function checkTokensRise(): void {
    const tokens = startedTerms.map(({fencing}) => fencing);
    assert.ok(
      tokens.every((token, index) => index === 0 || token > tokens[index - 1]!),
      `tokens ${tokens.join(', ')}`,
    );
  }

  function checkSingleHolder(): void {
    const holders = processes.filter(({isHolder}) => isHolder());
    const ids = holders.map(({id}) => id).join(' and ');
    assert.ok(holders.length <= 1, `held by ${ids} at the same time`);
  }

  return {
    commonClock,
    platform,
    startedTerms,
    start(id: string, wrapStore = (client: MemoryObjectStoreClient) => client) {
      const clock = createPausableClock(commonClock);
      const store = wrapStore(platform.createClient(id, {clock}));
      let mayHold = true;
      const dutyElections = createDutyElections({
        clock,
        random: seededRandom(5),
        store,
        self: {id, incarnation: processes.length + 1},
        members: () => MEMBERS,
        mayHold: () => mayHold,
      });
      dutyElections.compete(DUTY, ({fencing}) => {
        startedTerms.push({id, fencing});
        return toDisposable(() => {});
      });
      const simulatedProcess = {
        id,
        clock,
        store,
        dutyElections,
        setMayHold: (value: boolean) => (mayHold = value),
        isHolder: () => dutyElections.currentTerm(DUTY)?.isValid() === true,
      };
      processes.push(simulatedProcess);
      return simulatedProcess;
    },
    async advance(durationMs: number): Promise<void> {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        await commonClock.advance(STEP_MS);
        checkSingleHolder();
        checkTokensRise();
      }
    },
    async advanceUntil(isReached: () => boolean): Promise<void> {
      for (let steps = 0; !isReached(); steps++) {
        assert.ok(steps < 2_000, 'not reached in 100 s');
        await this.advance(STEP_MS);
      }
    },
    /** Shuts a process down gracefully: it releases the duty. */
    async leave({dutyElections}: {readonly dutyElections: DutyElections}) {
      void dutyElections.release();
      await this.advance(2 * STEP_MS);
    },
    /** Raises the store's revision by changes of other objects. */
    writeOthers(count: number) {
      for (let index = 0; index < count; index++) {
        platform.table.put(
          {
            kind: 'other',
            name: 'x',
            writeId: `other-${index}`,
            condition: {type: 'any'},
          },
          index,
        );
      }
    },
    lease: () => platform.table.get(LEASE_KIND, DUTY),
  };
}

/**
 * Makes all `recent` reads return one object, at its revision of the old
 * history but in the era of the response.
 */
export function withReadsFromOldHistory(
  client: MemoryObjectStoreClient,
  oldObject: () => StoredObject | undefined,
): MemoryObjectStoreClient {
  return {
    ...client,
    async get<T>(
      kind: string,
      name: string,
      signal?: AbortSignal,
      freshness?: Freshness,
    ) {
      const latest = await client.get<T>(kind, name, signal);
      const object = oldObject() as StoredObject<T> | undefined;
      if (freshness !== 'recent' || object === undefined) {
        return latest;
      }
      const revision = revisionInEra(object.version);
      const version = createStoreRevision(client.era() ?? 0, revision);
      return {...object, version};
    },
  };
}
