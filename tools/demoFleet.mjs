/** Endpoints and records of the demonstration fleet. */

/** Two replicas of a model and two endpoints of a plain service, over two failure domains. */
export const demoEndpoints = [
  modelReplica('match-1', 'a'),
  modelReplica('match-2', 'b'),
  bookingEndpoint('booking-1', 'a'),
  bookingEndpoint('booking-2', 'b'),
];

/** One record of each schema version; both are honoured. */
export const demoServices = {
  'stain-match': {
    schema: 2,
    type: 'model',
    version: 'v1',
    latency: {targetSeconds: 1.5, timeoutSeconds: 30},
  },
  booking: {
    schema: 1,
    type: 'plain',
    version: 'v1',
    targetMs: 300,
    timeoutMs: 10_000,
    routes: [
      {method: 'GET', pathPrefix: '/', idempotent: true},
      {method: 'POST', pathPrefix: '/', idempotent: false},
    ],
  },
};

function modelReplica(id, failureDomain) {
  return {
    id,
    type: 'engine',
    service: 'stain-match',
    version: 'v1',
    failureDomain,
  };
}

function bookingEndpoint(id, failureDomain) {
  return {
    id,
    type: 'service',
    service: 'booking',
    version: 'v1',
    failureDomain,
  };
}
