import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {createStoreRevision} from '@skylarkfield/providers';
import type {Candidate, Router} from '@skylarkfield/routing';
import type {
  DomainDrain,
  RegisteredEndpoint,
  Rollout,
} from '@skylarkfield/traffic';
import {createEndpointDirectory} from '../endpointDirectory.js';
import {createMirror, type Mirror} from '../../mirrors/mirror.js';
import type {Upstreams} from '../../attempts/upstream.js';

const WARM_UP_MS = 3_000;

function createEndpoint(id: string, failureDomain: string): RegisteredEndpoint {
  return {
    id,
    bornAt: 7,
    service: 'chat',
    address: `${id}:1`,
    failureDomain,
    version: 'v1',
    slots: 4,
    state: 'ready',
    isReclaimable: false,
  };
}

/** A directory over mirrors whose content the test sets. */
function createRig() {
  const clock = createVirtualClock();
  const log = createSilentLogger();
  const endpoints = createMirror<RegisteredEndpoint>({
    kind: 'endpoints',
    clock,
    log,
  });
  const rollouts = createMirror<Rollout>({kind: 'rollouts', clock, log});
  const domainDrains = createMirror<DomainDrain>({
    kind: 'domainDrains',
    clock,
    log,
  });
  let routedIds: string[] = [];
  const warmUpCalls: [string, number][] = [];
  const departedKeys: string[] = [];
  const announcedKeys = new Set<string>();
  let revision = 0;
  let era = 0;
  const directory = createEndpointDirectory({
    endpoints,
    rollouts,
    domainDrains,
    router: {
      setEndpoints(candidates: readonly Candidate[]) {
        routedIds = candidates.map(({host}) => host.split(':')[0]!);
      },
    } as Router,
    warmUps: {
      recordWarmUp: (key, remainingMs) => warmUpCalls.push([key, remainingMs]),
      retainEndpoints() {},
    },
    departures: {
      hasAnnounced: key => announcedKeys.has(key),
      retainEndpoints() {},
    },
    upstreams: {retainOnly() {}} as unknown as Upstreams,
    log,
    isModel: () => true,
    warmUpMs: () => WARM_UP_MS,
    regionOf: () => undefined,
  });
  directory.onDidLeave(key => departedKeys.push(key));

  function list<T>(
    mirror: Mirror<T>,
    values: Readonly<Record<string, T>>,
  ): void {
    revision += 1;
    listAt(createStoreRevision(era, revision), mirror, values);
  }

  function listAt<T>(
    position: number,
    mirror: Mirror<T>,
    values: Readonly<Record<string, T>>,
  ): void {
    const items = Object.entries(values).map(([name, value]) => ({
      name,
      revision: position,
      value,
    }));
    mirror.applyListing({revision: position, items}, undefined);
    directory.refresh();
  }

  return {
    directory,
    warmUpCalls,
    departedKeys,
    announcedKeys,
    routedIds: () => routedIds,
    register: (values: Readonly<Record<string, RegisteredEndpoint>>) =>
      list(endpoints, values),
    /** Restores the store with these registrations, at the same revision. */
    restore(values: Readonly<Record<string, RegisteredEndpoint>>) {
      era += 1;
      listAt(createStoreRevision(era, revision), endpoints, values);
    },
    listRollouts: () => list(rollouts, {}),
    drain: (...domains: string[]) =>
      list(
        domainDrains,
        Object.fromEntries(
          domains.map(failureDomain => [failureDomain, {failureDomain}]),
        ),
      ),
  };
}

describe('endpoint directory', () => {
  // Guards against requests to versions and failure domains that are not to get
  // them, by an entry that has read only the registrations.
  it('is loaded once registrations, rollouts and drains are applied', () => {
    const rig = createRig();
    rig.register({i1: createEndpoint('i1', 'a')});
    rig.drain('a');
    assert.equal(rig.directory.isLoaded(), false);
    rig.listRollouts();
    assert.equal(rig.directory.isLoaded(), true);
  });

  // An operator drains a failure domain before work on it; requests that still
  // reach its endpoints are lost with them.
  it('routes no requests to drained failure domains', () => {
    const rig = createRig();
    rig.register({
      i1: createEndpoint('i1', 'a'),
      i2: createEndpoint('i2', 'b'),
      i3: createEndpoint('i3', 'c'),
    });
    rig.drain('a', 'b');
    assert.deepEqual(rig.routedIds(), ['i3']);
    assert.equal(rig.directory.get('i1@7')?.state, 'draining');
    assert.deepEqual(
      rig.directory.readyEndpoints('chat', 'incumbent').map(({id}) => id),
      ['i3'],
    );
    assert.ok(rig.directory.isDrained('b'));
    rig.drain('b');
    assert.deepEqual(rig.routedIds(), ['i1', 'i3']);
  });

  // The endpoints of a drained failure domain may have restarted meanwhile.
  it('warms up the endpoints of a failure domain that returns', () => {
    const rig = createRig();
    rig.register({
      i1: createEndpoint('i1', 'a'),
      i2: createEndpoint('i2', 'b'),
    });
    rig.drain('a');
    rig.drain();
    assert.deepEqual(rig.warmUpCalls, [['i1@7', WARM_UP_MS]]);
  });

  // Streams run to their end on endpoints that only their operator has drained,
  // but not on endpoints that are about to terminate.
  it('reports departures of endpoints in drained failure domains', () => {
    const rig = createRig();
    rig.register({i1: createEndpoint('i1', 'a')});
    rig.drain('a');
    assert.deepEqual(rig.departedKeys, []);
    rig.register({i1: {...createEndpoint('i1', 'a'), state: 'draining'}});
    assert.deepEqual(rig.departedKeys, ['i1@7']);
  });

  // Guards against requests to endpoints that have announced their departure to an entry, while the platform still calls them ready.
  it('treats endpoints that have announced their departure as draining', () => {
    const rig = createRig();
    const registrations = {
      i1: createEndpoint('i1', 'a'),
      i2: createEndpoint('i2', 'a'),
    };
    rig.register(registrations);
    rig.announcedKeys.add('i1@7');
    rig.directory.refresh();
    assert.deepEqual(rig.routedIds(), ['i2']);
    assert.deepEqual(rig.departedKeys, ['i1@7']);
    rig.register(registrations);
    assert.deepEqual(rig.routedIds(), ['i2']);
    rig.register({...registrations, i1: {...registrations.i1, bornAt: 8}});
    assert.deepEqual(rig.routedIds(), ['i1', 'i2']);
  });

  it('returns the endpoints at one address', () => {
    const rig = createRig();
    const endpoint = createEndpoint('i1', 'a');
    rig.register({
      i1: endpoint,
      i2: {...createEndpoint('i2', 'a'), address: endpoint.address},
      i3: createEndpoint('i3', 'a'),
    });
    assert.deepEqual(rig.directory.keysAtAddressOf('i1@7'), ['i1@7', 'i2@7']);
    assert.deepEqual(rig.directory.keysAtAddressOf('gone@7'), []);
  });

  // Each change of any endpoint refreshes the directory; an old report must not
  // prolong the warm-up.
  it('records each reported warm-up once', () => {
    const rig = createRig();
    const cold = {...createEndpoint('i1', 'a'), warmForMs: 2_000};
    rig.register({i1: cold});
    rig.directory.refresh();
    assert.deepEqual(rig.warmUpCalls, [['i1@7', 2_000]]);
    rig.register({i1: {...cold, warmForMs: 800}});
    assert.deepEqual(rig.warmUpCalls.at(-1), ['i1@7', 800]);
    rig.register({i1: {...cold, warmForMs: 0}});
    assert.equal(rig.warmUpCalls.length, 2);
  });

  // Guards against limiting all endpoints again when the store is restored.
  it('records no warm-up again that a restored store reports', () => {
    const rig = createRig();
    const cold = {...createEndpoint('i1', 'a'), warmForMs: 2_000};
    rig.register({i1: cold});
    rig.restore({i1: cold});
    assert.deepEqual(rig.warmUpCalls, [['i1@7', 2_000]]);
    rig.restore({i1: {...cold, warmForMs: 3_000}});
    assert.deepEqual(rig.warmUpCalls.at(-1), ['i1@7', 3_000]);
  });
});
