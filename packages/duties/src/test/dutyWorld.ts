/** Several simulated processes that compete for one duty on one platform. */
import assert from 'node:assert/strict';
import {
  pausableClock,
  seededRandom,
  toDisposable,
  virtualClock,
  type PausableClock,
} from '@skylarkfield/base';
import {memoryPlatform, type MemoryClient} from '@skylarkfield/providers';
import type {Duties, Tenure} from '../contracts.js';
import {createDuties} from '../duties.js';

/** One simulated process. */
export interface Player {
  readonly id: string;
  readonly clock: PausableClock;
  readonly store: MemoryClient;
  readonly duties: Duties;
}

const NAMES = ['a', 'b', 'c', 'd'];
/** Clocks of hosts drift by far less than this. */
const DRIFT = 0.01;
/** So that every reply goes through a clock and waits while a process is paused. */
const NETWORK_MS = 4;
const CHECK_EVERY_MS = 250;

/**
 * Makes the world; every tenure is checked against the oracle as it starts.
 *
 * @example
 * const world = createDutyWorld(7);
 * await world.advance(10_000);
 */
export function createDutyWorld(seed: number) {
  const clock = virtualClock();
  const random = seededRandom(seed);
  const platform = memoryPlatform({clock, random});
  platform.faults.setSlow(NETWORK_MS);
  const players = new Map<string, Player>();
  let lastFencing = 0;
  let tenures = 0;
  let incarnations = 0;

  function start(id: string): void {
    incarnations += 1;
    const drift = 1 + DRIFT * (2 * random.next() - 1);
    const own = pausableClock(clock, drift);
    const store = platform.client(id, {clock: own});
    const duties = createDuties({
      clock: own,
      random: seededRandom(random.integer(0, 1_000_000)),
      store,
      self: {id, incarnation: incarnations},
      members: () => [...players.keys()],
    });
    const player = {id, clock: own, store, duties};
    players.set(id, player);
    duties.compete('fleet', tenure => begin(tenure));
  }

  function begin(tenure: Tenure) {
    tenures += 1;
    assert.ok(
      tenure.fencing > lastFencing,
      `fencing ${tenure.fencing} came after ${lastFencing}`,
    );
    lastFencing = tenure.fencing;
    check();
    return toDisposable(() => {});
  }

  /** A paused process looks at the clock before it acts, so it is judged by it too. */
  function holders(): readonly string[] {
    return [...players.values()]
      .filter(player => player.duties.held('fleet')?.isValid())
      .map(player => player.id);
  }

  function check(): void {
    const valid = holders();
    assert.ok(valid.length <= 1, `held at once by ${valid.join(' and ')}`);
  }

  function crash(id: string): void {
    const player = players.get(id);
    players.delete(id);
    player?.clock.kill();
    player?.store.faults.setDown(true);
  }

  NAMES.forEach(start);
  return {
    platform,
    players,
    holders,
    tenures: () => tenures,
    names: NAMES,
    async advance(spanMs: number) {
      for (let left = spanMs; left > 0; left -= CHECK_EVERY_MS) {
        await clock.advance(Math.min(left, CHECK_EVERY_MS));
        check();
      }
    },
    crash,
    /** A planned stop: gives the duty up and ends a little later. */
    leave(id: string) {
      const player = players.get(id);
      if (player === undefined) {
        return;
      }
      players.delete(id);
      void player.duties.release();
    },
    restart(id: string) {
      crash(id);
      start(id);
    },
    /** Ends every fault and waits until leases had time to change hands. */
    async heal() {
      platform.faults.setDown(false);
      platform.faults.setSlow(NETWORK_MS);
      platform.faults.loseReplies(0);
      for (const id of NAMES) {
        const player = players.get(id);
        if (player === undefined) {
          start(id);
          continue;
        }
        player.store.faults.setDown(false);
        player.store.faults.loseReplies(0);
        player.clock.resume();
      }
      await this.advance(40_000);
    },
  };
}
