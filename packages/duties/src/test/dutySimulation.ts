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
} from '@skylarkfield/providers';
import type {DutyElections, DutyTerm} from '../contracts.js';
import {createDutyElections} from '../duties.js';

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

/**
 * Creates the simulation. Asserts that a duty never has two valid holders, at
 * the start of each term and every `CHECK_INTERVAL_MS`.
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
  let lastFencing = 0;
  let termCount = 0;
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

  function beginTerm(term: DutyTerm) {
    termCount += 1;
    assert.ok(
      term.fencing > lastFencing,
      `fencing token ${term.fencing} follows ${lastFencing}`,
    );
    lastFencing = term.fencing;
    checkSingleHolder();
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

  function checkSingleHolder(): void {
    const validHolders = findValidHolders();
    assert.ok(
      validHolders.length <= 1,
      `held by ${validHolders.join(' and ')} at the same time`,
    );
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
    termCount: () => termCount,
    processIds: PROCESS_IDS,
    async advance(durationMs: number) {
      for (
        let remainingMs = durationMs;
        remainingMs > 0;
        remainingMs -= CHECK_INTERVAL_MS
      ) {
        await clock.advance(Math.min(remainingMs, CHECK_INTERVAL_MS));
        checkSingleHolder();
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
