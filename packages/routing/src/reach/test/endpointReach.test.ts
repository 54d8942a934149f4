import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import {createEndpointReach} from '../endpointReach.js';
import type {PeerAnswer} from '../reachContracts.js';

const SERVICE = 's';
const ENDPOINTS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
/** Time that callers may be served worse after a cut began, in milliseconds. */
const DETECTION_LIMIT_MS = 3_000;

type PathMode = 'open' | 'hanging' | 'refused' | 'failing';

/** Paths from one entry to six endpoints in three failure domains. */
function createPaths() {
  const clock = createVirtualClock();
  const modes = new Map<string, PathMode>(ENDPOINTS.map(id => [id, 'open']));
  const probed: string[] = [];
  const cutOffServices: string[] = [];
  let registered: readonly string[] = ENDPOINTS;
  let peerAnswer: PeerAnswer = 'reached';
  const probeHandlers: Readonly<
    Record<PathMode, (timeoutMs: number) => Promise<boolean>>
  > = {
    open: () => wait(2, true),
    hanging: timeoutMs => wait(timeoutMs, false),
    refused: () => wait(2, false),
    failing: () => Promise.reject(new Error('odd address')),
  };

  function wait<T>(delayMs: number, answer: T): Promise<T> {
    return new Promise(resolve => {
      clock.after(delayMs, () => resolve(answer));
    });
  }

  const reach = createEndpointReach({
    clock,
    random: seededRandom(1),
    decisions: createDecisionLog(clock, createSilentLogger()),
    endpointsOf: () =>
      registered.map(id => ({id, failureDomain: id.slice(0, 1)})),
    probe(endpoint, timeoutMs) {
      probed.push(endpoint);
      return probeHandlers[modes.get(endpoint) ?? 'open'](timeoutMs);
    },
    askPeers: () => wait(2, peerAnswer),
  });
  reach.onDidCutOff(service => cutOffServices.push(service));
  return {
    clock,
    reach,
    probed,
    cutOffServices,
    setPeerAnswer: (answer: PeerAnswer) => (peerAnswer = answer),
    register: (ids: readonly string[]) => (registered = ids),
    setMode(mode: PathMode, isAffected?: (id: string) => boolean) {
      for (const id of ENDPOINTS.filter(isAffected ?? (() => true))) {
        modes.set(id, mode);
      }
    },
    state: () => reach.stateOf(SERVICE),
  };
}

describe('reach of endpoints', () => {
  for (const mode of ['hanging', 'refused', 'failing'] as const) {
    // Guards against an entry whose only caller waits for an entry that does not notice its cut.
    it(`is lost after one unanswered request if all paths are ${mode}`, async () => {
      const {clock, reach, setMode, state} = createPaths();
      setMode(mode);
      reach.beginExchange(SERVICE, 'a1');
      await clock.advance(DETECTION_LIMIT_MS / 3);
      assert.equal(state(), 'cut-off');
    });
  }

  // Guards against endless use of paths that fail at once instead of hanging.
  it('is lost after one refused connection if probes are refused', async () => {
    const {clock, reach, setMode, state} = createPaths();
    setMode('refused');
    reach.recordConnectFailure(SERVICE, 'a1');
    await clock.advance(50);
    assert.equal(state(), 'cut-off');
  });

  // Guards against taking a slow or silent endpoint for a cut of this entry.
  it('is not lost while one endpoint is silent', async () => {
    const {clock, reach, setMode, cutOffServices} = createPaths();
    setMode('hanging', id => id === 'a1');
    reach.beginExchange(SERVICE, 'a1');
    await clock.advance(5_000);
    assert.deepEqual(cutOffServices, []);
  });

  it('tells which endpoints have sent bytes since a time', async () => {
    const {clock, reach} = createPaths();
    const exchange = reach.beginExchange(SERVICE, 'a1');
    reach.beginExchange(SERVICE, 'b1');
    assert.equal(reach.hasRespondedSince(SERVICE, 'a1', 0), false);
    await clock.advance(100);
    exchange.recordContact();
    await clock.advance(100);
    assert.equal(reach.hasRespondedSince(SERVICE, 'a1', 100), true);
    assert.equal(reach.hasRespondedSince(SERVICE, 'a1', 101), false);
    assert.equal(reach.hasRespondedSince(SERVICE, 'b1', 0), false);
  });

  // Guards against probes of the silent endpoint that show no other one to go on at.
  it('probes an endpoint without silent requests first', async () => {
    const {clock, reach, probed} = createPaths();
    reach.beginExchange(SERVICE, 'a1');
    await clock.advance(1_000);
    assert.equal(probed.length, 1);
    assert.notEqual(probed[0], 'a1');
    assert.equal(reach.hasRespondedSince(SERVICE, probed[0]!, 0), true);
  });

  // Guards against taking the loss of a failure domain for a cut of this entry.
  it('is not lost while one failure domain does not respond', async () => {
    const {clock, reach, setMode, cutOffServices} = createPaths();
    setMode('hanging', id => id.startsWith('a'));
    reach.beginExchange(SERVICE, 'a1');
    reach.recordConnectFailure(SERVICE, 'a1');
    reach.recordConnectFailure(SERVICE, 'a2');
    await clock.advance(5_000);
    assert.deepEqual(cutOffServices, []);
    assert.equal(reach.canConnect(SERVICE), true);
  });

  // Guards against taking endpoints that have crashed for a cut, so that the crashes are no evidence.
  it('is not lost while endpoints that have not failed respond', async () => {
    const {clock, reach, setMode, cutOffServices} = createPaths();
    const decisions: boolean[] = [];
    setMode('refused', id => id !== 'a1');
    for (const id of ['b1', 'b2', 'c1', 'c2', 'a2']) {
      reach.recordFailure(SERVICE, id);
      reach.recordConnectFailure(SERVICE, id);
    }
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    await clock.advance(5_000);
    assert.deepEqual(decisions, [true]);
    assert.deepEqual(cutOffServices, []);
  });

  // Guards against probes, which are billed, while responses arrive.
  it('sends no probes while any endpoint responds', async () => {
    const {clock, reach, probed} = createPaths();
    reach.beginExchange(SERVICE, 'a1');
    const stream = reach.beginExchange(SERVICE, 'a1');
    for (let events = 0; events < 50; events++) {
      await clock.advance(100);
      stream.recordContact();
    }
    assert.deepEqual(probed, []);
  });

  // Guards against a load of probes caused by a service that responds slowly.
  it('sends at most four probes a second while endpoints are slow', async () => {
    const {clock, reach, probed} = createPaths();
    reach.beginExchange(SERVICE, 'a1');
    await clock.advance(10_000);
    assert.ok(probed.length <= 4 * 10, String(probed.length));
  });

  it('is regained when a probe is answered', async () => {
    const {clock, reach, setMode, cutOffServices, state} = createPaths();
    setMode('hanging');
    const exchange = reach.beginExchange(SERVICE, 'a1');
    await clock.advance(1_000);
    exchange.dispose();
    setMode('open');
    await clock.advance(1_000);
    assert.equal(state(), 'reachable');
    assert.deepEqual(cutOffServices, [SERVICE]);
  });

  // Guards against requests that hang at endpoints that register during a cut.
  it('stays lost when endpoints register', async () => {
    const {clock, reach, setMode, register, state} = createPaths();
    setMode('hanging');
    reach.beginExchange(SERVICE, 'a1');
    await clock.advance(1_000);
    register(['c2']);
    await clock.advance(2_000);
    assert.equal(state(), 'cut-off');
  });

  // Guards against an entry that never recovers from the removal of a service.
  it('is regained when the service has no endpoints', async () => {
    const {clock, reach, setMode, register, state} = createPaths();
    setMode('hanging');
    reach.beginExchange(SERVICE, 'a1');
    await clock.advance(1_000);
    register([]);
    await clock.advance(1_000);
    assert.equal(state(), 'reachable');
  });

  // Guards against handing over requests that open connections can still serve.
  it('knows that only new connections fail', async () => {
    const {clock, reach, setMode, state} = createPaths();
    setMode('refused');
    const stream = reach.beginExchange(SERVICE, 'a1');
    const contacts = setContactTimer();
    reach.recordConnectFailure(SERVICE, 'a1');
    await clock.advance(500);
    assert.equal(state(), 'reachable');
    assert.equal(reach.canConnect(SERVICE), false);
    contacts.isStopped = true;

    function setContactTimer() {
      const timer = {isStopped: false};
      function tick(): void {
        if (!timer.isStopped) {
          stream.recordContact();
          clock.after(1, tick);
        }
      }
      tick();
      return timer;
    }
  });

  // Guards against failures of the entry's own paths being charged to endpoints.
  it('decides that failures during a cut are no evidence', async () => {
    const {clock, reach, setMode} = createPaths();
    const decisions: boolean[] = [];
    setMode('hanging');
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    assert.equal(decisions.length, 0);
    await clock.advance(DETECTION_LIMIT_MS / 2);
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    assert.deepEqual(decisions, [false, false]);
  });

  // Guards against crashes that are never counted because they stop all endpoints.
  it('decides that failures are evidence if no entry reaches the endpoints', async () => {
    const {clock, reach, setMode, setPeerAnswer, state} = createPaths();
    const decisions: boolean[] = [];
    setMode('refused');
    setPeerAnswer('not-reached');
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    await clock.advance(400);
    assert.equal(state(), 'gone');
    assert.deepEqual(decisions, [true]);
  });

  // Guards against evidence from an entry that is cut off from endpoints and entries alike.
  it('decides that failures are no evidence if no entry answers', async () => {
    const {clock, reach, setMode, setPeerAnswer, state} = createPaths();
    const decisions: boolean[] = [];
    setMode('hanging');
    setPeerAnswer('unanswered');
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    await clock.advance(1_000);
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    assert.equal(state(), 'gone');
    assert.deepEqual(decisions, [false, false]);
  });

  // Guards against an entry that gives up because the entries it asked are cut off too.
  it('asks other entries again while the endpoints seem gone', async () => {
    const {clock, reach, setMode, setPeerAnswer, state} = createPaths();
    setMode('refused');
    setPeerAnswer('not-reached');
    reach.recordConnectFailure(SERVICE, 'a1');
    await clock.advance(100);
    setPeerAnswer('reached');
    await clock.advance(1_000);
    assert.equal(state(), 'cut-off');
  });

  // Guards against a bad endpoint that is never ejected at low traffic.
  it('decides that a failure is evidence when a probe is answered', async () => {
    const {clock, reach} = createPaths();
    const decisions: boolean[] = [];
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    await clock.advance(400);
    assert.deepEqual(decisions, [true]);
  });

  it('decides without probes when an endpoint responds soon', async () => {
    const {clock, reach, probed} = createPaths();
    const decisions: boolean[] = [];
    const exchange = reach.beginExchange(SERVICE, 'a1');
    reach.whenDecided(SERVICE, isEvidence => decisions.push(isEvidence));
    await clock.advance(200);
    exchange.recordContact();
    exchange.dispose();
    await clock.advance(1_000);
    assert.deepEqual(decisions, [true]);
    assert.deepEqual(probed, []);
  });

  it('answers other entries from recent responses or from probes', async () => {
    const {clock, reach, setMode, probed} = createPaths();
    const answers: boolean[] = [];
    const exchange = reach.beginExchange(SERVICE, 'a1');
    exchange.recordContact();
    exchange.dispose();
    void reach.isReached(SERVICE).then(answer => answers.push(answer));
    await clock.advance(1);
    assert.deepEqual(probed, []);
    await clock.advance(1_000);
    void reach.isReached(SERVICE).then(answer => answers.push(answer));
    await clock.advance(1_000);
    assert.equal(probed.length, 1);
    setMode('hanging');
    void reach.isReached(SERVICE).then(answer => answers.push(answer));
    await clock.advance(1_000);
    assert.deepEqual(answers, [true, true, false]);
  });
});
