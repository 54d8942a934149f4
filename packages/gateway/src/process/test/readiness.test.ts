import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {createReadiness} from '../readiness.js';

const MAX_WAIT_MS = 2_000;

type Loadable = 'policy' | 'directory' | 'crashes';

/** Readiness of an entry of which the test decides what it has loaded. */
function setUp() {
  const clock = createVirtualClock();
  const loaded = new Set<Loadable>();
  const policyListeners: (() => void)[] = [];
  const source = (name: Loadable) => ({isLoaded: () => loaded.has(name)});
  const readiness = createReadiness({
    policy: {
      ...source('policy'),
      onDidChange: listener => void policyListeners.push(listener),
    },
    directory: source('directory'),
    crashes: source('crashes'),
    clock,
    log: createSilentLogger(),
  });
  return {
    clock,
    readiness,
    load(...names: Loadable[]) {
      names.forEach(name => loaded.add(name));
      if (names.includes('policy')) {
        policyListeners.forEach(listener => listener());
      }
    },
  };
}

describe('readiness', () => {
  // Guards against sending requests that other entries know to crash endpoints.
  it('waits for the crash reports', () => {
    const {readiness, load} = setUp();
    load('policy', 'directory');
    assert.equal(readiness.isReady(), false);
    load('crashes');
    assert.equal(readiness.isReady(), true);
  });

  // Guards against rejecting all requests until the endpoints are known.
  it('waits for the endpoints', () => {
    const {readiness, load} = setUp();
    load('policy', 'crashes');
    assert.equal(readiness.isReady(), false);
    load('directory');
    assert.equal(readiness.isReady(), true);
  });

  // Guards against an entry that objects of one kind keep out of service.
  it('waits for a limited time', async () => {
    const {clock, readiness, load} = setUp();
    load('policy', 'directory');
    await clock.advance(MAX_WAIT_MS - 1);
    assert.equal(readiness.isReady(), false);
    await clock.advance(1);
    assert.equal(readiness.isReady(), true);
  });

  // Guards against a wait that an outage of the store has used up.
  it('begins to wait when the policy arrives', async () => {
    const {clock, readiness, load} = setUp();
    await clock.advance(60_000);
    assert.equal(readiness.isReady(), false);
    load('policy');
    await clock.advance(MAX_WAIT_MS - 1);
    assert.equal(readiness.isReady(), false);
    load('directory', 'crashes');
    assert.equal(readiness.isReady(), true);
  });
});
