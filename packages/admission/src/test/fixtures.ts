/** Fixtures shared by the admission tests. */
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {Service} from '@skylarkfield/records';
import {
  createAdmissionController,
  type AdmissionRequest,
  type Permit,
} from '../index.js';

export const bookingService: Service = {
  name: 'booking',
  type: 'plain',
  version: 'v1',
  routes: [],
  targetMs: 100,
  timeoutMs: 1000,
  concurrency: 1,
  queue: 1,
  fleet: {minReplicas: 1, maxReplicas: 1, machineClass: 'small', weights: ''},
};

export const okResult = {outcome: 'ok', latencyMs: 10} as const;

/** Creates an admission controller on a virtual clock with one service. */
export function setUp(overrides: Partial<Service> = {}) {
  const clock = createVirtualClock();
  const decisions = createDecisionLog(clock, createSilentLogger());
  const admission = createAdmissionController({
    clock,
    random: seededRandom(1),
    decisions,
  });
  admission.setService('booking', {...bookingService, ...overrides});
  function admit(
    overrides: Partial<AdmissionRequest> = {},
    signal: AbortSignal = new AbortController().signal,
  ): Promise<Permit> {
    const defaults = {
      service: 'booking',
      customer: 'namu',
      urgency: 3,
      cost: 1,
    };
    const deadline = clock.now() + 1000;
    return admission.admit({...defaults, deadline, ...overrides}, signal);
  }
  /** Admits and releases requests one by one, each with the given latency. */
  async function warmUp(count: number, latencyMs: number) {
    for (let index = 0; index < count; index++) {
      const permit = await admit({deadline: Infinity});
      await clock.advance(latencyMs);
      permit.release({outcome: 'ok', latencyMs});
    }
  }
  return {clock, admission, decisions, admit, warmUp};
}
