import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Member} from '@skylarkfield/members';
import {selectEntries} from '../lookup.js';

function member(
  id: number,
  failureDomain: string,
  cores?: number,
  load = 0,
): Member {
  return {
    id: `${failureDomain}${id}`,
    incarnation: 1,
    state: 'live',
    callerUrl: `http://10.0.${failureDomain.charCodeAt(0)}.${id}:8080`,
    innerUrl: 'ws://10.0.0.1:81',
    failureDomain,
    region: 'r',
    load,
    ...(cores !== undefined && {cores}),
  };
}

function domain(name: string, strong: number, weak: number): Member[] {
  return Array.from({length: strong + weak}, (_, index) =>
    member(index + 1, name, index < strong ? 1.35 : 0.324),
  );
}

const CALLERS = Array.from(
  {length: 400},
  (_, index) => `10.9.${index >> 8}.${index & 255}`,
);

/** Returns each entry's fraction of the requests. */
function requestShares(members: readonly Member[]): Map<string, number> {
  const share = new Map<string, number>();
  for (const caller of CALLERS) {
    const addresses = selectEntries(members, 'a', caller);
    for (const address of addresses) {
      const part = 1 / addresses.length / CALLERS.length;
      share.set(address, (share.get(address) ?? 0) + part);
    }
  }
  return share;
}

describe('lookup', () => {
  it('returns local entries, and remote ones only if there are too few', () => {
    const members = [member(1, 'a'), member(1, 'b', 1, 5), member(2, 'b', 1)];
    assert.deepEqual(selectEntries(members, 'a', 'x'), [
      '10.0.97.1:8080',
      '10.0.98.2:8080',
    ]);
    assert.deepEqual(selectEntries(members, 'c', 'x'), [
      '10.0.97.1:8080',
      '10.0.98.2:8080',
      '10.0.98.1:8080',
    ]);
  });

  // Guards against slow hosts that get as many callers as fast ones.
  it('distributes requests in proportion to cores', () => {
    const members = domain('a', 3, 27);
    const share = requestShares(members);
    const cores = members.reduce((sum, each) => sum + each.cores!, 0);
    for (const {callerUrl, cores: own} of members) {
      const expectedShare = own! / cores;
      const actualShare = share.get(new URL(callerUrl).host) ?? 0;
      assert.ok(
        actualShare > expectedShare * 0.6 && actualShare < expectedShare * 1.4,
        `${callerUrl} gets ${actualShare} of ${expectedShare}`,
      );
    }
  });

  // Guards against callers that close their connections at each new response.
  it('returns a stable subset for a caller', () => {
    const members = domain('a', 3, 27);
    const first = selectEntries(members, 'a', '10.9.0.1');
    assert.deepEqual(selectEntries(members, 'a', '10.9.0.1'), first);
    const fewer = members.filter(
      ({callerUrl}) => new URL(callerUrl).host !== first[0],
    );
    const next = selectEntries(fewer, 'a', '10.9.0.1');
    assert.equal(next.filter(address => first.includes(address)).length, 7);
  });

  it('treats entries without reported cores as equal', () => {
    const members = Array.from({length: 20}, (_, index) =>
      member(index + 1, 'a'),
    );
    const shares = [...requestShares(members).values()];
    assert.equal(shares.length, 20);
    assert.ok(Math.max(...shares) < 0.08);
  });
});
