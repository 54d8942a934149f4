/** Simulated processes that compete for one duty on one platform. */
import assert from 'node:assert/strict';
import {
  createPausableClock,
  seededRandom,
  toDisposable,
  createVirtualClock,
  type PausableClock,
} from '@skylarkfield/base';
import {
  createMemoryPlatform,
  type MemoryObjectStoreClient,
  type ObjectTableCopy,
} from '@skylarkfield/providers';
import type {DutyElections, DutyTerm} from '../contracts.js';
import {createDutyElections} from '../duties.js';
import {LEASE_KIND} from '../lease.js';

export interface SimulatedProcess {
  readonly id: string;
  readonly clock: PausableClock;
  readonly store: MemoryObjectStoreClient;
  readonly dutyElections: DutyElections;
}

const PROCESS_IDS = ['a', 'b', 'c', 'd'];
/** Maximum clock drift, as a fraction; real hosts drift far less. */
const MAX_CLOCK_DRIFT = 0.01;
/**
 * Nonzero, so that a timer delivers each reply and a paused process receives
 * its replies only after the pause.
 */
const NETWORK_LATENCY_MS = 4;
const CHECK_INTERVAL_MS = 250;
/** Copies that are kept, one each `CHECK_INTERVAL_MS`; the oldest is 10 s old. */
const MAX_COPIES = 40;

/**
 * Creates the simulation. Asserts every `CHECK_INTERVAL_MS` that a duty has
 * never had two valid holders and that its fencing tokens have risen.
 *
 * @example
 * const simulation = createDutySimulation(7);
 * await simulation.advance(10_000);
 */
export function createDutySimulation(seed: number) {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const platform = createMemoryPlatform({clock, random});
  platform.faults.setDelay(NETWORK_LATENCY_MS);
  const processes = new Map<string, SimulatedProcess>();
  const tokens: number[] = [];
  /** What was found as terms started; an election survives errors of its work. */
  const violations: string[] = [];
  const copies: ObjectTableCopy[] = [];
  let incarnationCount = 0;

  function start(id: string): void {
    incarnationCount += 1;
    const clockRate = 1 + MAX_CLOCK_DRIFT * (2 * random.next() - 1);
    const processClock = createPausableClock(clock, clockRate);
    const store = platform.createClient(id, {clock: processClock});
    const dutyElections = createDutyElections({
      clock: processClock,
      random: seededRandom(random.integer(0, 1_000_000)),
      store,
      self: {id, incarnation: incarnationCount},
      members: () => [...processes.keys()],
    });
    const simulatedProcess = {id, clock: processClock, store, dutyElections};
    processes.set(id, simulatedProcess);
    dutyElections.compete('fleet', term => beginTerm(term));
  }

  function beginTerm({fencing}: DutyTerm) {
    const lastFencing = tokens.at(-1) ?? 0;
    if (fencing <= lastFencing) {
      violations.push(`fencing token ${fencing} follows ${lastFencing}`);
    }
    tokens.push(fencing);
    recordSecondHolder();
    return toDisposable(() => {});
  }

  /**
   * Returns the ids of all processes, including paused ones, whose term is
   * valid by their own clock.
   */
  function findValidHolders(): readonly string[] {
    return [...processes.values()]
      .filter(simulatedProcess =>
        simulatedProcess.dutyElections.currentTerm('fleet')?.isValid(),
      )
      .map(simulatedProcess => simulatedProcess.id);
  }

  function recordSecondHolder(): void {
    const validHolders = findValidHolders();
    if (validHolders.length > 1) {
      violations.push(`held by ${validHolders.join(' and ')} at the same time`);
    }
  }

  function check(): void {
    recordSecondHolder();
    assert.deepEqual(violations, []);
  }

  /**
   * A process that starts after a return learns of it from the lease; without
   * one, it cannot tell a restored store from a new one.
   */
  function takeCopy(): void {
    if (platform.table.list(LEASE_KIND).objects.length > 0) {
      copies.push(platform.takeCopy());
      copies.splice(0, copies.length - MAX_COPIES);
    }
  }

  function crash(id: string): void {
    const simulatedProcess = processes.get(id);
    processes.delete(id);
    simulatedProcess?.clock.kill();
    simulatedProcess?.store.faults.setDown(true);
  }

  PROCESS_IDS.forEach(start);
  return {
    platform,
    processes,
    findValidHolders,
    termCount: () => tokens.length,
    processIds: PROCESS_IDS,
    async advance(durationMs: number) {
      for (
        let remainingMs = durationMs;
        remainingMs > 0;
        remainingMs -= CHECK_INTERVAL_MS
      ) {
        await clock.advance(Math.min(remainingMs, CHECK_INTERVAL_MS));
        check();
        takeCopy();
      }
    },
    /** Restores the store from a copy; an `age` of 1 stands for the oldest. */
    restore(age: number) {
      const copy = copies[Math.floor((1 - age) * (copies.length - 1))];
      if (copy !== undefined) {
        platform.restore(copy);
      }
    },
    crash,
    /** Shuts a process down gracefully: it releases the duty. */
    leave(id: string) {
      const simulatedProcess = processes.get(id);
      if (simulatedProcess === undefined) {
        return;
      }
      processes.delete(id);
      void simulatedProcess.dutyElections.release();
    },
    restart(id: string) {
      crash(id);
      start(id);
    },
    /** Ends all faults and waits long enough for leases to change holders. */
    async heal() {
      platform.faults.setDown(false);
      platform.faults.setDelay(NETWORK_LATENCY_MS);
      platform.faults.loseReplies(0);
      for (const id of PROCESS_IDS) {
        const simulatedProcess = processes.get(id);
        if (simulatedProcess === undefined) {
          start(id);
          continue;
        }
        simulatedProcess.store.faults.setDown(false);
        simulatedProcess.store.faults.loseReplies(0);
        simulatedProcess.clock.resume();
      }
      await this.advance(40_000);
    },
  };
}
