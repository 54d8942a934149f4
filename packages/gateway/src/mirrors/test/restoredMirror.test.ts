import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {createStoreRevision} from '@skylarkfield/providers';
import {
  currentTimestamp,
  type RegisteredEndpoint,
  type TrafficPolicy,
} from '@skylarkfield/traffic';
import {createMirror, type Mirror} from '../mirror.js';
import {retentionRules} from '../retentionRules.js';
import {createEndpoint, createPolicy} from './mirroredValues.js';

const OLD_ERA = 3;
const NEW_ERA = 4;
/** Time within which what the store lost is written again, in ms. */
const REWRITE_MS = 5_000;

const log = createSilentLogger();

function setUp() {
  const clock = createVirtualClock();
  const createPolicies = () =>
    createMirror<TrafficPolicy>({
      kind: 'policy',
      clock,
      log,
      rule: retentionRules.policy,
    });
  const createEndpoints = () =>
    createMirror<RegisteredEndpoint>({
      kind: 'endpoints',
      clock,
      log,
      rule: retentionRules.endpoints,
    });

  function list<T>(
    mirror: Mirror<T>,
    era: number,
    revision: number,
    values: Readonly<Record<string, T>>,
  ): void {
    mirror.applyListing(
      {
        revision: createStoreRevision(era, revision),
        items: Object.entries(values).map(([name, value]) => ({
          name,
          revision: createStoreRevision(era, revision),
          value,
        })),
      },
      currentTimestamp(clock),
    );
  }

  /** Applies the change of one object; it is removed if `value` is undefined. */
  function change<T>(
    mirror: Mirror<T>,
    era: number,
    revision: number,
    name: string,
    value: T | undefined,
  ): void {
    const position = createStoreRevision(era, revision);
    const item =
      value === undefined ? undefined : {name, revision: position, value};
    mirror.applyChanges(
      {revision: position, changes: [{name, item}]},
      currentTimestamp(clock),
    );
  }

  return {clock, createPolicies, createEndpoints, list, change};
}

describe('mirror of a restored store', () => {
  // Guards against older configurations that come back with the copy.
  it('keeps a later policy until the store has one', () => {
    const {clock, createPolicies, list, change} = setUp();
    const mirror = createPolicies();
    list(mirror, OLD_ERA, 90, {main: createPolicy(31)});
    list(mirror, NEW_ERA, 80, {main: createPolicy(24)});
    clock.advanceSync(60_000);
    assert.equal(mirror.get('main')?.version, 31);
    change(mirror, NEW_ERA, 81, 'main', createPolicy(28));
    assert.equal(mirror.get('main')?.version, 31);
    change(mirror, NEW_ERA, 82, 'main', createPolicy(31));
    assert.deepEqual(mirror.retainedItems(), []);
    change(mirror, NEW_ERA, 83, 'main', createPolicy(34));
    assert.equal(mirror.get('main')?.version, 34);
  });

  // Guards against requests to processes that have said that they leave.
  it('keeps an endpoint draining that the copy calls ready', () => {
    const {clock, createEndpoints, list, change} = setUp();
    const mirror = createEndpoints();
    list(mirror, OLD_ERA, 90, {
      same: createEndpoint('same', 'draining'),
      reborn: createEndpoint('reborn', 'draining'),
    });
    list(mirror, NEW_ERA, 80, {
      same: createEndpoint('same'),
      reborn: createEndpoint('reborn'),
    });
    clock.advanceSync(60_000);
    change(mirror, NEW_ERA, 81, 'reborn', createEndpoint('reborn', 'ready', 2));
    assert.equal(mirror.get('same')?.state, 'draining');
    assert.equal(mirror.get('reborn')?.state, 'ready');
    change(mirror, NEW_ERA, 82, 'same', undefined);
    assert.equal(mirror.get('same'), undefined);
  });

  // Guards against requests to endpoints that left in the lost seconds.
  it('ignores a removed endpoint of the copy unless it registers again', () => {
    const {clock, createEndpoints, list, change} = setUp();
    const mirror = createEndpoints();
    const endpoints = {
      gone: createEndpoint('gone'),
      back: createEndpoint('back'),
    };
    list(mirror, OLD_ERA, 88, endpoints);
    change(mirror, OLD_ERA, 89, 'gone', undefined);
    change(mirror, OLD_ERA, 90, 'back', undefined);
    list(mirror, NEW_ERA, 80, endpoints);
    assert.deepEqual(mirror.items(), []);
    change(mirror, NEW_ERA, 81, 'back', createEndpoint('back'));
    assert.deepEqual(
      mirror.items().map(({name}) => name),
      ['back'],
    );
    let changeCount = 0;
    mirror.onDidChange(() => (changeCount += 1));
    clock.advanceSync(REWRITE_MS);
    assert.ok(mirror.get('gone') !== undefined);
    assert.equal(changeCount, 1);
  });

  // Guards against losing live endpoints that registered in the lost seconds.
  it('keeps an endpoint that the copy lacks until it should be back', () => {
    const {clock, createEndpoints, list} = setUp();
    const mirror = createEndpoints();
    list(mirror, OLD_ERA, 90, {fresh: createEndpoint('fresh')});
    list(mirror, NEW_ERA, 80, {});
    clock.advanceSync(2_000);
    assert.ok(mirror.get('fresh') !== undefined);
    clock.advanceSync(3_000);
    assert.equal(mirror.get('fresh'), undefined);
  });

  // Guards against a second return that makes the entries forget the first one.
  it('keeps its later states over a second return', () => {
    const {createPolicies, createEndpoints, list, change} = setUp();
    const policies = createPolicies();
    const endpoints = createEndpoints();
    list(policies, OLD_ERA, 90, {main: createPolicy(31)});
    list(endpoints, OLD_ERA, 90, {gone: createEndpoint('gone')});
    change(endpoints, OLD_ERA, 91, 'gone', undefined);
    for (const era of [NEW_ERA, NEW_ERA + 1]) {
      list(policies, era, 80, {main: createPolicy(24)});
      list(endpoints, era, 80, {gone: createEndpoint('gone')});
    }
    assert.equal(policies.get('main')?.version, 31);
    assert.equal(endpoints.get('gone'), undefined);
  });

  // Guards against restarted entries that know only the copy.
  it('learns from a peer what the copy lacks', () => {
    const {createPolicies, createEndpoints, list, change} = setUp();
    const policies = createPolicies();
    list(policies, OLD_ERA, 90, {main: createPolicy(31)});
    list(policies, NEW_ERA, 80, {main: createPolicy(24)});
    const endpoints = createEndpoints();
    list(endpoints, OLD_ERA, 90, {gone: createEndpoint('gone')});
    change(endpoints, OLD_ERA, 91, 'gone', undefined);
    list(endpoints, NEW_ERA, 80, {gone: createEndpoint('gone')});

    const freshPolicies = createPolicies();
    const freshEndpoints = createEndpoints();
    list(freshPolicies, NEW_ERA, 80, {main: createPolicy(24)});
    list(freshEndpoints, NEW_ERA, 80, {gone: createEndpoint('gone')});
    assert.ok(freshPolicies.lacksContentOf(policies.syncStatus(false)));
    freshPolicies.applyCopy(policies.copy());
    freshEndpoints.applyCopy(endpoints.copy());
    assert.equal(freshPolicies.get('main')?.version, 31);
    assert.equal(freshEndpoints.get('gone'), undefined);
    assert.ok(!freshPolicies.lacksContentOf(policies.syncStatus(false)));
    assert.ok(!policies.lacksContentOf(freshPolicies.syncStatus(false)));
  });

  // Guards against adopting a state that the store has superseded since.
  it('ignores what a slower peer retains of a rewritten object', () => {
    const {createEndpoints, list, change} = setUp();
    const [fast, slow] = [createEndpoints(), createEndpoints()];
    for (const mirror of [fast, slow]) {
      list(mirror, OLD_ERA, 90, {x: createEndpoint('x')});
      change(mirror, OLD_ERA, 91, 'x', undefined);
      list(mirror, NEW_ERA, 80, {x: createEndpoint('x')});
    }
    change(fast, NEW_ERA, 81, 'x', createEndpoint('x'));
    fast.applyCopy(slow.copy());
    assert.ok(fast.get('x') !== undefined);
  });

  // Guards against confirming keys by a peer that has not heard of the return.
  it('is not confirmed by a peer of another era', () => {
    const {clock, createPolicies, list} = setUp();
    const [ahead, behind] = [createPolicies(), createPolicies()];
    list(ahead, OLD_ERA, 90, {main: createPolicy(24)});
    list(behind, OLD_ERA, 95, {main: createPolicy(31)});
    list(ahead, NEW_ERA, 80, {main: createPolicy(24)});
    clock.advanceSync(1_000);
    const now = currentTimestamp(clock);
    assert.ok(!ahead.confirmByPeer(behind.syncStatus(true), now));
    assert.ok(!behind.confirmByPeer(ahead.syncStatus(true), now));
    assert.ok(behind.lacksContentOf(ahead.syncStatus(true)));
    behind.applyCopy(ahead.copy());
    assert.ok(ahead.lacksContentOf(behind.syncStatus(true)));
    ahead.applyCopy(behind.copy());
    assert.equal(ahead.get('main')?.version, 31);
  });

  // Guards against a removed key that the copy brings back after a long outage.
  it('is confirmed only after the operator could write again', () => {
    const {clock, createPolicies, list} = setUp();
    const mirror = createPolicies();
    list(mirror, OLD_ERA, 90, {main: createPolicy(24)});
    clock.advanceSync(4_000);
    list(mirror, NEW_ERA, 80, {main: createPolicy(24)});
    assert.equal(mirror.ageMs(), 4_000);
    clock.advanceSync(2_500);
    list(mirror, NEW_ERA, 80, {main: createPolicy(24)});
    assert.equal(mirror.ageMs(), 0);
  });

  // Guards against rejecting all keys after each short absence of the store.
  it('is confirmed at once after a short absence', () => {
    const {clock, createPolicies, list} = setUp();
    const mirror = createPolicies();
    list(mirror, OLD_ERA, 90, {main: createPolicy(24)});
    clock.advanceSync(2_000);
    list(mirror, NEW_ERA, 80, {main: createPolicy(24)});
    assert.equal(mirror.ageMs(), 0);
  });
});
