import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEmitter, createVirtualClock} from '@skylarkfield/base';
import {withholdFailures, withholdLateness} from '../pathEvidence.js';
import {announceReach} from '../reachAnnouncement.js';
import type {RolloutSample} from '../../rollouts/rolloutController.js';

const SERVICE = 's';

describe('announcement of services out of reach', () => {
  function startAnnouncements() {
    const clock = createVirtualClock();
    const cutOff = createEmitter<string>();
    const regained = createEmitter<string>();
    const announced: string[] = [];
    announceReach({
      reach: {
        onDidCutOff: cutOff.event,
        onDidRegain: regained.event,
        stateOf: () => 'reachable',
      },
      membership: {
        announceUnreachable: services => announced.push(services.join()),
      },
      clock,
    });
    return {clock, cutOff, regained, announced};
  }

  it('is immediate, and ends once the service is reached for some time', async () => {
    const {clock, cutOff, regained, announced} = startAnnouncements();
    cutOff.fire(SERVICE);
    assert.deepEqual(announced, [SERVICE]);
    regained.fire(SERVICE);
    await clock.advance(1_000);
    assert.deepEqual(announced, [SERVICE]);
    await clock.advance(2_000);
    assert.deepEqual(announced, [SERVICE, '']);
  });

  // Guards against callers who move back and forth while paths come and go.
  it('goes on while the paths come and go', async () => {
    const {clock, cutOff, regained, announced} = startAnnouncements();
    for (let count = 0; count < 5; count++) {
      cutOff.fire(SERVICE);
      await clock.advance(500);
      regained.fire(SERVICE);
      await clock.advance(500);
    }
    assert.ok(announced.every(services => services === SERVICE));
  });
});

describe('failures that the paths of this entry may have caused', () => {
  /** A reach whose decisions are made by the test. */
  function createUndecidedReach() {
    const callbacks: ((isEvidence: boolean) => void)[] = [];
    return {
      whenDecided: (_: string, callback: (isEvidence: boolean) => void) =>
        void callbacks.push(callback),
      isResponding: async () => false,
      decide: (isEvidence: boolean) =>
        callbacks.splice(0).forEach(callback => callback(isEvidence)),
    };
  }

  function createSample(isError: boolean): RolloutSample {
    return {
      service: SERVICE,
      group: 'candidate',
      route: 'r',
      isError,
      latencyMs: 1,
      isRepeatable: true,
    };
  }

  // Guards against a good version that one entry rolls back for all because it is cut off.
  it('are no samples of a version until they are evidence', () => {
    const reach = createUndecidedReach();
    const recorded: boolean[] = [];
    const record = withholdFailures(reach, ({isError}) =>
      recorded.push(isError),
    );
    record(createSample(false));
    record(createSample(true));
    assert.deepEqual(recorded, [false]);
    reach.decide(false);
    assert.deepEqual(recorded, [false]);
    record(createSample(true));
    reach.decide(true);
    assert.deepEqual(recorded, [false, true]);
  });

  // Guards against endpoints that are ordered because one entry is cut off.
  it('are not recorded as lateness until they are evidence', () => {
    const reach = createUndecidedReach();
    const recorded: boolean[] = [];
    const meter = withholdLateness(reach, {
      record: (_, isLate) => recorded.push(isLate),
    });
    meter.record(SERVICE, false);
    meter.record(SERVICE, true);
    assert.deepEqual(recorded, [false]);
    reach.decide(false);
    meter.record(SERVICE, true);
    reach.decide(true);
    assert.deepEqual(recorded, [false, true]);
  });
});
