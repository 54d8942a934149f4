/** Records as operators write them, in both schema versions. */

export const serviceV1 = {
  schema: 1,
  type: 'plain',
  version: 'v1',
  routes: [{method: 'POST', pathPrefix: '/bookings', idempotent: false}],
  targetMs: 200,
  timeoutMs: 5000,
  concurrency: 32,
  queue: 64,
  minReplicas: 2,
  maxReplicas: 4,
  machineClass: 'cpu-small',
};

/** Equivalent to `serviceV1`. */
export const serviceV2 = {
  schema: 2,
  type: 'plain',
  version: 'v1',
  routes: [{match: 'POST /bookings', repeatable: false}],
  latency: {targetSeconds: 0.2, timeoutSeconds: 5},
  limits: {concurrency: 32, queue: 64},
  fleet: {replicas: {min: 2, max: 4}, machineClass: 'cpu-small'},
};

const KEY_HASH = 'ab'.repeat(32);

export const customerV1 = {schema: 1, keyHashes: [KEY_HASH], weight: 3};
export const customerV2 = {
  schema: 2,
  keys: [{sha256: KEY_HASH, note: 'till'}],
  priority: {weight: 3},
  allow: 'all',
};

/** Deadline of moves, later than the clock of any test. */
export const DEADLINE = 1_900_000_000_000;

export function createMoveV1(service: string, to = 'v2') {
  return {schema: 1, service, from: 'v1', to, deadline: DEADLINE};
}

export function createMoveV2(service: string, to = 'v2') {
  return {
    schema: 2,
    service,
    versions: {from: 'v1', to},
    finishBy: new Date(DEADLINE).toISOString(),
    maxUnprovenPercent: 5,
  };
}
