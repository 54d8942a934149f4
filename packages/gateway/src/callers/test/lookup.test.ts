import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Member} from '@skylarkfield/members';
import {selectEntries, type LookupCaller} from '../lookup.js';

function createMember(
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

function createCaller(failureDomain: string, address = 'x'): LookupCaller {
  return {failureDomain, region: 'r', address};
}

function createDomain(
  name: string,
  fastCount: number,
  slowCount: number,
): Member[] {
  return Array.from({length: fastCount + slowCount}, (_, index) =>
    createMember(index + 1, name, index < fastCount ? 1.35 : 0.324),
  );
}

const CALLER_ADDRESSES = Array.from(
  {length: 400},
  (_, index) => `10.9.${index >> 8}.${index & 255}`,
);

/**
 * Returns the fraction of all requests that each entry receives, by address.
 */
function requestShares(members: readonly Member[]): Map<string, number> {
  const shares = new Map<string, number>();
  for (const caller of CALLER_ADDRESSES) {
    const addresses = selectEntries(members, createCaller('a', caller));
    for (const address of addresses) {
      const part = 1 / addresses.length / CALLER_ADDRESSES.length;
      shares.set(address, (shares.get(address) ?? 0) + part);
    }
  }
  return shares;
}

describe('lookup', () => {
  // Guards against callers who are sent to entries that cannot reach endpoints.
  it('omits entries that are cut off while half of the entries are not', () => {
    const cutOff = {unreachableServices: ['s']};
    const members = [1, 2, 3, 4].map(id => createMember(id, 'a'));
    const oneCut = [{...members[0]!, ...cutOff}, ...members.slice(1)];
    assert.equal(selectEntries(oneCut, createCaller('a')).length, 3);
    const threeCut = [
      ...members.slice(0, 3).map(member => ({...member, ...cutOff})),
      members[3]!,
    ];
    assert.equal(selectEntries(threeCut, createCaller('a')).length, 4);
  });

  // Requests of callers may be restricted to their region.
  it('returns entries in other regions only if the own region has none', () => {
    const remote = {...createMember(1, 'z'), region: 'elsewhere'};
    const regional = createMember(1, 'b', 1, 9);
    const addressesFor = (members: readonly Member[]) =>
      selectEntries(members, createCaller('a'));
    assert.deepEqual(addressesFor([remote, regional]), ['10.0.98.1:8080']);
    assert.deepEqual(addressesFor([remote, createMember(1, 'a')]), [
      '10.0.97.1:8080',
    ]);
    assert.deepEqual(addressesFor([remote]), ['10.0.122.1:8080']);
  });

  it('returns remote entries only if there are too few local entries', () => {
    const members = [
      createMember(1, 'a'),
      createMember(1, 'b', 1, 5),
      createMember(2, 'b', 1),
    ];
    assert.deepEqual(selectEntries(members, createCaller('a')), [
      '10.0.97.1:8080',
      '10.0.98.2:8080',
    ]);
    assert.deepEqual(selectEntries(members, createCaller('c')), [
      '10.0.97.1:8080',
      '10.0.98.2:8080',
      '10.0.98.1:8080',
    ]);
  });

  // Guards against slow hosts that get as many callers as fast hosts.
  it('distributes requests in proportion to cores', () => {
    const members = createDomain('a', 3, 27);
    const shares = requestShares(members);
    const totalCores = members.reduce((sum, member) => sum + member.cores!, 0);
    for (const {callerUrl, cores: memberCores} of members) {
      const expectedShare = memberCores! / totalCores;
      const actualShare = shares.get(new URL(callerUrl).host) ?? 0;
      assert.ok(
        actualShare > expectedShare * 0.6 && actualShare < expectedShare * 1.4,
        `${callerUrl} gets ${actualShare} of ${expectedShare}`,
      );
    }
  });

  // Guards against responses that change each time and make callers close their
  // connections.
  it('returns a stable subset for a caller', () => {
    const members = createDomain('a', 3, 27);
    const firstAddresses = selectEntries(
      members,
      createCaller('a', '10.9.0.1'),
    );
    assert.deepEqual(
      selectEntries(members, createCaller('a', '10.9.0.1')),
      firstAddresses,
    );
    const remainingMembers = members.filter(
      ({callerUrl}) => new URL(callerUrl).host !== firstAddresses[0],
    );
    const newAddresses = selectEntries(
      remainingMembers,
      createCaller('a', '10.9.0.1'),
    );
    assert.equal(
      newAddresses.filter(address => firstAddresses.includes(address)).length,
      7,
    );
  });

  it('treats entries without reported cores as equal', () => {
    const members = Array.from({length: 20}, (_, index) =>
      createMember(index + 1, 'a'),
    );
    const shares = [...requestShares(members).values()];
    assert.equal(shares.length, 20);
    assert.ok(Math.max(...shares) < 0.08);
  });
});
