import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {LEDGER_KIND, SEGMENT_KIND, type LedgerSettings} from '../index.js';
import {createWorld, type World} from './world.js';

const WINDOW_MS = 60_000;
const HOUR_MS = 3_600_000;

describe('size and window of the ledger', () => {
  let world: World;
  afterEach(() => world.dispose());

  function start(settings: Partial<LedgerSettings> = {}): void {
    world = createWorld(1, {dedupeWindowMs: WINDOW_MS, ...settings});
    ['a', 'b'].forEach(world.start);
  }

  async function place(count: number, prefix = 'k'): Promise<void> {
    for (let order = 0; order < count; order++) {
      world.submit('a', `${prefix}${order}`);
      await world.clock.advance(20);
    }
    await world.clock.advance(500);
  }

  function bytesOf(kind: string): number[] {
    return world.platform.table
      .list(kind)
      .objects.map(({value}) => JSON.stringify(value).length);
  }

  it('keeps its objects small and remembers sealed orders at a new owner', async () => {
    start();
    await place(60);
    assert.ok(bytesOf(SEGMENT_KIND).length > 5);
    assert.ok(Math.max(...bytesOf(LEDGER_KIND)) < 2_500);
    world.crash('a');
    world.crash('b');
    world.start('c');
    const retries = Array.from({length: 60}, (_, order) =>
      world.submit('c', `k${order}`),
    );
    await world.clock.advance(1_000);
    assert.ok(retries.every(({answer}) => answer?.isReplay));
    world.check();
  });

  // The wall clock of an entry jumps ahead by hours. Were the window counted by it, all keys would
  // be forgotten at once and a retry would place its order a second time.
  it('keeps keys through a jump of the wall clock', async () => {
    start();
    await place(10);
    world.clock.shiftWall(5 * HOUR_MS);
    await place(10, 'later ');
    const retry = world.submit('b', 'k3');
    await world.clock.advance(500);
    assert.equal(retry.answer?.isReplay, true);
    world.check();
  });

  it('forgets keys after the window and removes their objects', async () => {
    start();
    await place(30);
    const before = bytesOf(SEGMENT_KIND).length;
    await world.clock.advance(WINDOW_MS / 2);
    const kept = world.submit('a', 'k3');
    await world.clock.advance(WINDOW_MS);
    await place(6, 'later ');
    assert.equal(kept.answer?.isReplay, true);
    assert.ok(bytesOf(SEGMENT_KIND).length < before);
  });

  // So many orders come that the ledger is full. To forget a key early would break the promise to
  // retries, so new orders are refused, and callers learn when to come back.
  it('refuses new orders when it is full, and says when to come back', async () => {
    start({maxShardBytes: 2_000});
    await place(30);
    const answers = world.submitted.map(({answer}) => answer);
    const refused = answers.filter(answer => answer?.kind === 'overloaded');
    assert.ok(refused.length > 5);
    assert.ok(refused.every(answer => answer?.run === 'not-run'));
    assert.ok(refused.every(answer => (answer?.retryAfterMs ?? 0) > 0));
    await world.clock.advance(2 * WINDOW_MS);
    const later = world.submit('a', 'later');
    await world.clock.advance(500);
    assert.equal(later.answer?.kind, 'reply');
    world.check();
  });

  it('says that an order ran whose reply was too large to be kept', async () => {
    start({maxReplyBytes: 3});
    await place(1);
    const retry = world.submit('b', 'k0');
    await world.clock.advance(500);
    assert.equal(retry.answer?.kind, 'outcome-unknown');
    assert.equal(retry.answer?.run, 'may-have-run');
    world.check();
  });
});
