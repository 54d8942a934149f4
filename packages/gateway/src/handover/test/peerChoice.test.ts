import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import {choosePeer, type PeerRequest} from '../peerChoice.js';

const SERVICE = 's';
const DOMAINS = ['a', 'b', 'c', 'd'];

function createMember(id: string, overrides: Partial<Member> = {}): Member {
  return {
    id,
    incarnation: 1,
    state: 'live',
    callerUrl: 'http://10.0.0.1:80',
    innerUrl: 'ws://10.0.0.1:81',
    failureDomain: id.slice(0, 1),
    region: 'r',
    load: 10,
    ...overrides,
  };
}

/** Chooses entries for many requests, of which none ends; counts them by entry. */
function chooseMany(
  members: readonly Member[],
  count: number,
  request: Partial<PeerRequest> = {},
): Map<string, number> {
  const counts = new Map<string, number>();
  const random = seededRandom(1);
  for (let index = 0; index < count; index++) {
    const peer = choosePeer(
      members,
      'a',
      {service: SERVICE, excluded: new Set(), ...request},
      {random, ownRequestsAt: id => counts.get(id) ?? 0},
    );
    if (peer !== undefined) {
      counts.set(peer.id, (counts.get(peer.id) ?? 0) + 1);
    }
  }
  return counts;
}

describe('choice of the entry that takes a request over', () => {
  // Guards against a failure domain that is cut off and brings down one entry after the other.
  it('spreads the requests of a failure domain over the others', () => {
    const members = Array.from({length: 58}, (_, index) =>
      createMember(`${DOMAINS[index % 4]}${index}`, {
        ...(index % 4 === 0 && {unreachableServices: [SERVICE]}),
      }),
    );
    const counts = chooseMany(members, 1_000);
    const reachingCount = members.filter(
      ({unreachableServices}) => unreachableServices === undefined,
    ).length;
    assert.equal(counts.size, reachingCount);
    assert.ok(Math.max(...counts.values()) <= (2 * 1_000) / reachingCount);
  });

  // Guards against work for entries that have the least processor.
  it('gives entries with more cores more requests', () => {
    const counts = chooseMany(
      [createMember('b1', {cores: 1.35}), createMember('b2', {cores: 0.324})],
      500,
    );
    assert.ok(counts.get('b1')! > 2 * counts.get('b2')!);
  });

  // Guards against paid traffic between failure domains where a near entry has room.
  it('prefers the own failure domain at equal load', () => {
    const members = [createMember('a1'), createMember('b1')];
    const [first] = chooseMany(members, 1).keys();
    assert.equal(first, 'a1');
  });

  // Guards against bodies that leave the regions that they are restricted to.
  it('keeps to the regions of the request', () => {
    const members = [createMember('a1'), createMember('b1', {region: 'q'})];
    assert.deepEqual(
      [...chooseMany(members, 20, {regions: ['q']}).keys()],
      ['b1'],
    );
    assert.equal(chooseMany(members, 1, {regions: ['z']}).size, 0);
  });

  // Guards against refusing everybody in the seconds after a cut has healed.
  it('uses entries that announce a cut if there are no others', () => {
    const cutOff = {unreachableServices: [SERVICE]};
    const members = [createMember('a1', cutOff), createMember('b1', cutOff)];
    assert.equal(chooseMany(members, 20).size, 2);
    assert.equal(
      chooseMany(members, 20, {excluded: new Set(['a1', 'b1'])}).size,
      0,
    );
  });
});
