import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ResponseHead} from '../../contracts.js';
import {createEndpointReports} from '../endpointReports.js';

const LEAVING: ResponseHead = {
  attemptId: 'r1',
  isNotRun: false,
  isSigned: true,
  isMisdirected: false,
  load: undefined,
  limitPerSecond: undefined,
  rejectionsPerSecond: undefined,
  isLeaving: true,
  restMs: undefined,
};

/** Reports of endpoints of which `old` and `new` share an address. */
function createRig() {
  const rests: [string, number | undefined][] = [];
  const departed: string[] = [];
  const limited: string[] = [];
  const responded: string[] = [];
  const logged: string[] = [];
  const reports = createEndpointReports({
    router: {recordLoadReport() {}},
    rateLimits: {recordLimit: endpoint => void limited.push(endpoint)},
    slotShares: {recordTolerance() {}},
    warmUps: {recordResponse() {}},
    crashQuarantine: {
      recordResponse: endpoint => void responded.push(endpoint),
      recordData() {},
    },
    departures: {recordAnnouncement: endpoint => void departed.push(endpoint)},
    rests: {
      recordRest: (endpoint, restMs) => void rests.push([endpoint, restMs]),
      recordAnswer: endpoint => void rests.push([endpoint, undefined]),
    },
    endpointsAtAddressOf: endpoint =>
      endpoint === 'other' ? ['other'] : ['old', 'new'],
    log: {warn: ({endpoint}: {endpoint: string}) => void logged.push(endpoint)},
  });
  return {reports, departed, limited, responded, rests, logged};
}

describe('reports of endpoints', () => {
  it('record the departure of the endpoint that responded', () => {
    const {reports, departed} = createRig();
    reports.recordHead('old', LEAVING, 0);
    reports.recordHead('other', {...LEAVING, isLeaving: false}, 0);
    assert.deepEqual(departed, ['old']);
  });

  // Guards against an endpoint that gets no requests because another process at its old address leaves.
  it('do not charge a misdirected response to the expected endpoint', () => {
    const {reports, departed} = createRig();
    const head = {...LEAVING, isMisdirected: true};
    reports.recordHead('other', head, 0);
    assert.deepEqual(departed, []);
    reports.recordHead('old', head, 0);
    assert.deepEqual(departed, ['new']);
  });

  // Guards against clearing a request of a crash because another process has the
  // address of the crashed endpoint.
  it('do not take a misdirected response for a sign of life', () => {
    const {reports, responded} = createRig();
    reports.recordHead('old', {...LEAVING, isMisdirected: true}, 0);
    assert.deepEqual(responded, []);
    reports.recordHead('old', LEAVING, 0);
    assert.deepEqual(responded, ['old']);
  });

  // Guards against probes that reach a resting endpoint again and again.
  it('record the rest that a response asks for, also to a probe', () => {
    const {reports, rests} = createRig();
    reports.recordHead('old', {...LEAVING, restMs: 3_000}, 0);
    reports.recordProbeHead('other', {...LEAVING, restMs: 500});
    assert.deepEqual(rests, [
      ['old', 3_000],
      ['other', 500],
    ]);
  });

  // Guards against an endpoint that is limited by what another process at its old address says of itself.
  it('do not apply the limits of a misdirected response', () => {
    const {reports, limited} = createRig();
    reports.recordHead('old', {...LEAVING, isMisdirected: true}, 0);
    assert.deepEqual(limited, []);
    reports.recordHead('old', LEAVING, 0);
    assert.deepEqual(limited, ['old']);
  });

  // Guards against a wave of requests after a rest because a probe, which needs no slot, was answered.
  it('do not end a rest by the answer to a probe', () => {
    const {reports, rests} = createRig();
    reports.recordProbeHead('other', LEAVING);
    assert.deepEqual(rests, []);
    reports.recordHead('other', LEAVING, 0);
    assert.deepEqual(rests, [['other', undefined]]);
  });

  // Guards against a log line for each response of an endpoint that sends malformed reports.
  it('log a malformed load report once for each endpoint', () => {
    const {reports, logged} = createRig();
    const head = {...LEAVING, malformedLoad: 'x'};
    const endpoints = ['old', 'other', 'old', 'other'];
    endpoints.forEach(endpoint => reports.recordLoad(endpoint, head));
    assert.deepEqual(logged, ['old', 'other']);
  });

  it('record departures from responses to probes', () => {
    const {reports, departed} = createRig();
    reports.recordProbeHead('other', {...LEAVING, isMisdirected: true});
    assert.deepEqual(departed, ['other']);
  });
});
