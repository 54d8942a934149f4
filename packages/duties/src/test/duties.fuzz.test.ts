/** Random schedules of faults against the oracle: one valid holder, rising numbers, and one in the end. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createDutyWorld} from './dutyWorld.js';

const isLong = process.env['SKYLARKFIELD_FUZZ'] === 'long';
const runs = isLong
  ? Number(process.env['SKYLARKFIELD_FUZZ_RUNS'] ?? 10_000)
  : 50;
const seed = isLong ? Date.now() % 1_000_000_000 : 42;
const TIMEOUT_MS = isLong ? 230_000 : 60_000;

type World = ReturnType<typeof createDutyWorld>;

/** What can happen; each handler takes the name of a process and a size from 0 to 1. */
const handlers = {
  advance: (world, _id, size) => world.advance(50 + size * 15_000),
  pause: (world, id) => world.players.get(id)?.clock.pause(),
  resume: (world, id) => world.players.get(id)?.clock.resume(),
  crash: (world, id) => world.crash(id),
  restart: (world, id) => world.restart(id),
  leave: (world, id) => world.leave(id),
  loseReplies: (world, id, size) =>
    world.players.get(id)?.store.faults.loseReplies(Math.ceil(size * 3)),
  cut: (world, id) => world.players.get(id)?.store.faults.setDown(true),
  heal: (world, id) => world.players.get(id)?.store.faults.setDown(false),
  platformDown: world => world.platform.faults.setDown(true),
  platformUp: world => world.platform.faults.setDown(false),
  slow: (world, _id, size) => world.platform.faults.setSlow(4 + size * 5000),
  fast: world => world.platform.faults.setSlow(4),
} satisfies Record<
  string,
  (world: World, id: string, size: number) => Promise<void> | void
>;

const commands = fc.record({
  what: fc.oneof(
    {weight: 12, arbitrary: fc.constant('advance' as const)},
    {
      weight: 12,
      arbitrary: fc.constantFrom(
        ...(Object.keys(handlers) as (keyof typeof handlers)[]),
      ),
    },
  ),
  id: fc.constantFrom('a', 'b', 'c', 'd'),
  // Whole percents: random doubles are nearly all close to 0.
  size: fc.integer({min: 0, max: 100}).map(percent => percent / 100),
});

// Holders are paused past their lease, replies are lost, the platform goes away
// and comes back. Two processes that both believe to hold a duty order hosts
// twice and send endpoints back and forth.
test(
  `duties: never two valid holders (${runs} schedules, seed ${seed})`,
  {timeout: TIMEOUT_MS},
  async () => {
    let tenures = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.array(commands, {minLength: 5, maxLength: 40, size: 'max'}),
        async (worldSeed, schedule) => {
          const world = createDutyWorld(worldSeed);
          for (const {what, id, size} of schedule) {
            await handlers[what](world, id, size);
          }
          await world.heal();
          assert.equal(world.holders().length, 1, 'nobody took the duty');
          tenures += world.tenures();
        },
      ),
      {numRuns: runs, seed, endOnFailure: isLong},
    );
    console.log(`${runs} schedules with ${tenures} tenures`);
  },
);
