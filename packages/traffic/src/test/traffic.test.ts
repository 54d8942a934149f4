import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {
  earlierTimestamp,
  createConfirmation,
  currentTimestamp,
} from '../confirmation.js';
import type {Route} from '../contracts.js';
import {createCustomerTable} from '../customerTable.js';
import {promptKeys} from '../promptKeys.js';
import {commonRegions} from '../regions.js';
import {createRouteTable} from '../routeTable.js';
import {createUsageWindows} from '../usageWindows.js';
import {chooseService} from '../weightedChoice.js';

function createRoute(
  name: string,
  authority: string,
  pathPrefix: string,
): Route {
  return {
    name,
    authority,
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1_000,
    goalMs: 100,
    priority: 0,
    services: [{service: 's', weight: 1}],
    attempts: 1,
    isPublic: false,
    isResumable: false,
    longestPauseMs: 0,
  };
}

describe('route table', () => {
  const table = createRouteTable([
    createRoute('short', 'shop.example', '/a/'),
    createRoute('long', 'shop.example', '/a/b/'),
    createRoute('other', 'other.example', '/a/'),
  ]);
  const cases: readonly [string, string, string | undefined][] = [
    ['shop.example', '/a/x', 'short'],
    ['shop.example', '/a/b/x', 'long'],
    ['shop.example', '/a/b', 'short'],
    ['SHOP.example:8080', '/a/x?y=/a/b/', 'short'],
    ['other.example', '/a/b/x', 'other'],
    ['shop.example', '/c/x', undefined],
    ['none.example', '/a/x', undefined],
    ['shop.example', '/a', undefined],
  ];
  for (const [authority, path, expected] of cases) {
    it(`finds ${expected} for ${authority}${path}`, () => {
      assert.equal(table.match(authority, path)?.name, expected);
    });
  }
});

describe('regions of a request', () => {
  it('are those that both its route and its customer allow', () => {
    assert.equal(commonRegions(undefined, undefined), undefined);
    assert.deepEqual(commonRegions(['eu'], undefined), ['eu']);
    assert.deepEqual(commonRegions(['eu', 'us'], ['us', 'asia']), ['us']);
    assert.deepEqual(commonRegions(['eu'], ['us']), []);
  });
});

describe('customer table', () => {
  it('finds the customer of a key, and undefined for an unknown key', () => {
    const table = createCustomerTable([
      {name: 'a', keys: ['k1', 'k2'], priority: 1, quota: undefined},
    ]);
    assert.equal(table.findByKey('k2')?.name, 'a');
    assert.equal(table.findByKey('k3'), undefined);
    assert.ok(table.requiresKey);
    assert.ok(!createCustomerTable([]).requiresKey);
  });
});

describe('weighted choice of a service', () => {
  it('follows the weights and always returns the same service for a key', () => {
    const services = [
      {service: 'a', weight: 90},
      {service: 'b', weight: 10},
    ];
    const chosenServices = Array.from({length: 2_000}, (_, index) =>
      chooseService(services, `request-${index}`),
    );
    const fraction =
      chosenServices.filter(service => service === 'b').length / 2_000;
    assert.ok(fraction > 0.07 && fraction < 0.13, `${fraction}`);
    assert.equal(chooseService(services, 'request-1'), chosenServices[1]);
    assert.equal(chooseService([], 'x'), undefined);
  });
});

describe('prompt keys', () => {
  it('depend on the shared parts only, not on the last part', () => {
    const sharedParts = [
      {id: 'a', tokens: 512},
      {id: 'b', tokens: 70},
    ];
    const firstKeys = promptKeys([...sharedParts, {id: 'c', tokens: 9_000}]);
    const secondKeys = promptKeys([...sharedParts, {id: 'd', tokens: 40}]);
    assert.deepEqual(firstKeys, secondKeys);
    assert.equal(firstKeys.length, 9);
    assert.deepEqual(promptKeys([]), []);
  });

  // Guards against a process without memory, since a key is made for each 64 tokens that a caller declares.
  it('does not exist for parts larger than the prompts that engines accept', () => {
    const keyCountOf = (...tokens: number[]) =>
      promptKeys(
        [...tokens, 90].map((count, id) => ({id: `${id}`, tokens: count})),
      ).length;
    assert.equal(keyCountOf(300_000, 150_000), 7_032);
    assert.equal(keyCountOf(1_900_000), 0);
    assert.equal(keyCountOf(64, 1e308, 1e308), 0);
    assert.equal(keyCountOf(...Array<number>(4_000).fill(100_000)), 0);
    assert.equal(keyCountOf(...Array<number>(4_000).fill(0)), 4_000);
  });
});

describe('confirmation', () => {
  it('measures its age from the request, not from the response', () => {
    const clock = createVirtualClock();
    const confirmation = createConfirmation(clock);
    assert.equal(confirmation.ageMs(), Infinity);
    const requestedAt = currentTimestamp(clock);
    clock.advanceSync(800);
    confirmation.confirm(requestedAt);
    assert.equal(confirmation.ageMs(), 800);
    confirmation.confirm(earlierTimestamp(currentTimestamp(clock), 5_000));
    assert.equal(confirmation.ageMs(), 800);
  });

  it('includes the time for which the host was suspended in its age', () => {
    // The monotonic clock stops while a host is suspended, here for ten
    // seconds. By that clock alone, a key revoked in these seconds would be
    // accepted.
    const clock = createVirtualClock();
    const confirmation = createConfirmation(clock);
    confirmation.confirm(currentTimestamp(clock));
    clock.shiftWall(10_000);
    assert.equal(confirmation.ageMs(), 10_000);
  });

  it('does not become younger when the wall clock is set back', () => {
    const clock = createVirtualClock();
    const confirmation = createConfirmation(clock);
    confirmation.confirm(currentTimestamp(clock));
    clock.advanceSync(3_000);
    clock.shiftWall(-10_000);
    assert.equal(confirmation.ageMs(), 3_000);
  });
});

describe('usage windows', () => {
  const WINDOW_MS = 5_000;

  it('adds up the counts of all processes, each process once', () => {
    const usage = createUsageWindows({windowMs: WINDOW_MS, self: 'a.1'});
    usage.recordRequest('chain', 12_000);
    usage.recordRequest('chain', 14_999);
    usage.mergeCounts('b.1', {2: {chain: 3}});
    usage.mergeCounts('b.1', {2: {chain: 4, shop: 1}});
    assert.deepEqual(usage.totalCounts(2), {chain: 6, shop: 1});
    assert.deepEqual(usage.totalCounts(3), {});
  });

  it('keeps the counts of a restarted process from before the restart', () => {
    // An entry crashes in the middle of a window and restarts with zero counts.
    // The report must include the requests that started before the crash.
    const usage = createUsageWindows({windowMs: WINDOW_MS, self: 'a.1'});
    usage.mergeCounts('b.1', {2: {chain: 40}});
    usage.mergeCounts('b.2', {2: {chain: 2}});
    assert.deepEqual(usage.totalCounts(2), {chain: 42});
  });

  it('sums up the counts of a failure domain, and ignores lower sums of a restarted relay', () => {
    // A restarted relay at first lacks the counts of some entries. Its lower
    // sums must not replace the sums sent before the restart.
    const relay = createUsageWindows({windowMs: WINDOW_MS, self: 'a.1'});
    relay.recordRequest('chain', 12_000);
    relay.mergeCounts('b.1', {2: {chain: 3}}, true);
    relay.mergeCounts('all of another', {2: {chain: 50}});
    assert.deepEqual(relay.domainCounts(), {2: {chain: 4}});

    const reporter = createUsageWindows({windowMs: WINDOW_MS, self: 'z.1'});
    reporter.mergeCounts('all of a', {2: {chain: 4}});
    reporter.mergeCounts('all of a', {2: {chain: 1, shop: 2}});
    assert.deepEqual(reporter.totalCounts(2), {chain: 4, shop: 2});
  });

  it('drops a window that is twenty windows old', () => {
    const usage = createUsageWindows({windowMs: WINDOW_MS, self: 'a.1'});
    usage.recordRequest('chain', 0);
    usage.recordRequest('chain', WINDOW_MS * 20);
    assert.deepEqual(Object.keys(usage.ownCounts()), ['20']);
  });
});
