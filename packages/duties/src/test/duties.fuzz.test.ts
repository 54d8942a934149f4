/** Random fault schedules against the lease election's invariants. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createDutySimulation} from './dutySimulation.js';

const isLong = process.env['SKYLARKFIELD_FUZZ'] === 'long';
const runs = isLong
  ? Number(process.env['SKYLARKFIELD_FUZZ_RUNS'] ?? 10_000)
  : 50;
const seed = isLong ? Date.now() % 1_000_000_000 : 42;
const TIMEOUT_MS = isLong ? 230_000 : 60_000;

type Simulation = ReturnType<typeof createDutySimulation>;

/**
 * Steps of a schedule; each receives a process id and a magnitude from 0 to 1.
 */
const stepHandlers = {
  advance: (simulation, _id, magnitude) =>
    simulation.advance(50 + magnitude * 15_000),
  pause: (simulation, id) => simulation.processes.get(id)?.clock.pause(),
  resume: (simulation, id) => simulation.processes.get(id)?.clock.resume(),
  crash: (simulation, id) => simulation.crash(id),
  restart: (simulation, id) => simulation.restart(id),
  leave: (simulation, id) => simulation.leave(id),
  loseReplies: (simulation, id, magnitude) =>
    simulation.processes
      .get(id)
      ?.store.faults.loseReplies(Math.ceil(magnitude * 3)),
  cut: (simulation, id) =>
    simulation.processes.get(id)?.store.faults.setDown(true),
  heal: (simulation, id) =>
    simulation.processes.get(id)?.store.faults.setDown(false),
  platformDown: simulation => simulation.platform.faults.setDown(true),
  platformUp: simulation => simulation.platform.faults.setDown(false),
  slow: (simulation, _id, magnitude) =>
    simulation.platform.faults.setDelay(4 + magnitude * 5000),
  fast: simulation => simulation.platform.faults.setDelay(4),
  restore: (simulation, _id, magnitude) => simulation.restore(magnitude),
} satisfies Record<
  string,
  (
    simulation: Simulation,
    id: string,
    magnitude: number,
  ) => Promise<void> | void
>;

const stepArbitrary = fc.record({
  fault: fc.oneof(
    {weight: 12, arbitrary: fc.constant('advance' as const)},
    {
      weight: 12,
      arbitrary: fc.constantFrom(
        ...(Object.keys(stepHandlers) as (keyof typeof stepHandlers)[]),
      ),
    },
  ),
  id: fc.constantFrom('a', 'b', 'c', 'd'),
  // Whole percents, since most random doubles are close to 0.
  magnitude: fc.integer({min: 0, max: 100}).map(percent => percent / 100),
});

// Guards against two holders that start hosts twice and send conflicting commands.
test(
  `duties: a duty never has two valid holders (${runs} schedules, seed ${seed})`,
  {timeout: TIMEOUT_MS},
  async () => {
    let termCount = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.array(stepArbitrary, {minLength: 5, maxLength: 40, size: 'max'}),
        async (simulationSeed, schedule) => {
          const simulation = createDutySimulation(simulationSeed);
          for (const {fault, id, magnitude} of schedule) {
            await stepHandlers[fault](simulation, id, magnitude);
          }
          await simulation.heal();
          assert.equal(
            simulation.findValidHolders().length,
            1,
            'number of valid holders after the faults have ended',
          );
          termCount += simulation.termCount();
        },
      ),
      {numRuns: runs, seed, endOnFailure: isLong},
    );
    console.log(`${runs} schedules with ${termCount} terms`);
  },
);
