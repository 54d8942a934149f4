/** Dependencies of the forwarding that take no part in a test. */
import {
  createDecisionLog,
  createSilentLogger,
  seededRandom,
  type Clock,
} from '@skylarkfield/base';
import {createEndpointReach, type EndpointReach} from '@skylarkfield/routing';
import type {EndpointReports} from '../endpoints/endpointReports.js';
import type {SendLog} from '../forwarding/sendLog.js';
import type {Handovers} from '../handover/handovers.js';

/** There are no entries to hand over to. */
export const noHandovers: Handovers = {
  choosePeer: () => undefined,
  run: () => Promise.reject(new Error('not used here')),
  canEnd: () => false,
  mayHandOn: () => false,
  dump: () => ({}),
};

/** A log of repeated sends that nobody reads. */
export const noSendLog: SendLog = {
  record() {},
  countHedge() {},
};

/** Reports of endpoints that nobody reads. */
export const noReports: EndpointReports = {
  recordHead() {},
  recordProbeHead() {},
  recordData() {},
  recordLoad() {},
};

/** Creates the reach of an entry whose paths are never lost. */
export function createOpenReach(clock: Clock): EndpointReach {
  return createEndpointReach({
    clock,
    random: seededRandom(1),
    decisions: createDecisionLog(clock, createSilentLogger()),
    endpointsOf: () => [],
    probe: async () => false,
    askPeers: async () => 'not-reached',
  });
}
