import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {EndpointOrder} from '../../contracts.js';
import type {EndpointDirectory} from '../../endpoints/endpointDirectory.js';
import {startFleetDuty} from '../fleetDuty.js';

const DOMAINS = ['a', 'b', 'c', 'd'];
const ENDPOINTS_PER_DOMAIN = 5;
/** Work of ten endpoints at the target utilization. */
const SIGNALS = {
  workRate: 5_000,
  use: {usual: 0.5, brief: 0.5},
  latePart: 0,
  isSure: true,
};

function createEndpoint(
  failureDomain: string,
  index: number,
): RegisteredEndpoint {
  return {
    id: `${failureDomain}${index}`,
    bornAt: 1,
    service: 'chat',
    address: `${failureDomain}${index}:1`,
    failureDomain,
    version: 'v1',
    slots: 4,
    state: 'ready',
    isReclaimable: index > 0,
  };
}

/** The fleet duty over endpoints that do not follow its orders. */
function startRig() {
  const clock = createVirtualClock();
  const issuedOrders: EndpointOrder[] = [];
  const drainedDomains = new Set<string>();
  const registrations = DOMAINS.flatMap(domain =>
    Array.from({length: ENDPOINTS_PER_DOMAIN}, (_, index) =>
      createEndpoint(domain, index),
    ),
  );
  const isDrained = (domain: string) => drainedDomains.has(domain);
  const directory = {
    isDrained,
    endpointsOf: () =>
      registrations.map(endpoint =>
        isDrained(endpoint.failureDomain)
          ? {...endpoint, state: 'draining' as const}
          : endpoint,
      ),
  } as unknown as EndpointDirectory;
  const duty = startFleetDuty({
    term: {
      fencing: 1,
      signal: new AbortController().signal,
      isValid: () => true,
    } as never,
    holder: 'e1',
    orders: {
      reportUsage: async () => 'accepted',
      orderEndpoints: async (_, order) => {
        issuedOrders.push(order);
        return 'accepted';
      },
    },
    directory,
    services: () => [
      {
        name: 'chat',
        mostConnections: 10,
        engine: undefined,
        fleet: {
          least: 1,
          most: 30,
          bootMs: 4_000,
          reclaimablePrice: 0.2,
          prices: {a: 0.8, b: 1, c: 1, d: 1},
        },
      },
    ],
    planningKind: () => 'general',
    demandSignals: () => SIGNALS,
    clock,
    log: createSilentLogger(),
  });
  return {clock, duty, issuedOrders, drainedDomains};
}

describe('fleet duty', () => {
  // Endpoints ordered in a failure domain on which an operator works are lost
  // with it; those that it has are needed when it returns.
  it('orders and removes no endpoints in a drained failure domain', async () => {
    const rig = startRig();
    await rig.clock.advance(20_000);
    rig.issuedOrders.length = 0;
    rig.drainedDomains.add('a');
    rig.drainedDomains.add('b');
    await rig.clock.advance(30_000);
    const domains = new Set(
      rig.issuedOrders.map(({failureDomain}) => failureDomain),
    );
    assert.deepEqual([...domains].sort(), ['c', 'd']);
    rig.duty.dispose();
  });
});
