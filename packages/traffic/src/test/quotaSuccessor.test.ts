import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import type {CustomerConfig} from '../contracts.js';
import {createQuotaGrants} from '../quotaGrants.js';
import {createQuotas} from '../quotas.js';

const WINDOW_MS = 8_000;

const customer: CustomerConfig = {
  name: 'chain',
  keys: ['k'],
  priority: undefined,
  quota: {unit: 'tokens', perSecond: 1_000, burst: 1_000, plainTokens: 1},
};

/** Creates entries that each rank themselves first. */
function createEntries(ids: readonly string[]) {
  const clock = createVirtualClock();
  const silentIds = new Set<string>();
  const entries = new Map(
    ids.map(id => {
      const quotas = createQuotas(clock, WINDOW_MS);
      const grants = createQuotaGrants({
        clock,
        log: createSilentLogger(),
        self: id,
        incarnation: 1,
        quotas,
        peers: {
          ask: async (target, question) => {
            if (silentIds.has(target)) {
              throw new Error('no answer');
            }
            return entries.get(target)!.answer(customer, question);
          },
          refund: () => {},
          takeOver: async (target, takeover) =>
            entries.get(target)!.yieldTo(id, takeover),
          rank: () => [id, ...ids.filter(other => other !== id)],
          reportAgeMs: () => Infinity,
        },
      });
      return [id, grants];
    }),
  );
  clock.advanceSync(2 * WINDOW_MS);
  return {entries, clock, silentIds};
}

describe('an entry that has left a quota to another one', () => {
  const takeover = {customer: customer.name, sinceMs: 300};

  // Guards against rejections by both while the entries rank differently.
  it('sends askers on to it, also if it ranks itself first again', async () => {
    const {entries} = createEntries(['a', 'b']);
    entries.get('a')!.yieldTo('b', takeover);
    const {outcome, decidedBy} = await entries.get('a')!.consume(customer, 10);
    assert.deepEqual(
      {outcome, decidedBy},
      {outcome: 'granted', decidedBy: 'b'},
    );
  });

  it('decides with what the other may have granted if that one does not answer', async () => {
    const {entries, silentIds} = createEntries(['a', 'b']);
    entries.get('a')!.yieldTo('b', takeover);
    silentIds.add('b');
    const {outcome} = await entries.get('a')!.consume(customer, 10);
    assert.equal(outcome, 'undecided');
  });

  it('decides again after a second', async () => {
    const {entries, clock} = createEntries(['a', 'b']);
    entries.get('a')!.yieldTo('b', takeover);
    clock.advanceSync(1_000);
    const {decidedBy} = await entries.get('a')!.consume(customer, 10);
    assert.equal(decidedBy, 'a');
  });
});
