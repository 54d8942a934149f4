import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AdmissionController} from '@skylarkfield/admission';
import {virtualClock} from '@skylarkfield/base';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import {createLoadFeed} from '../parts/loadFeed.js';
import type {ConnectedEndpoint} from '../serving.js';

/** What the admission is told when so many endpoints are listed, asked and answer. */
async function busyTold(
  listed: number,
  held: number,
  reporting: number,
): Promise<number | undefined> {
  const clock = virtualClock();
  const told: Array<number | undefined> = [];
  const ids = Array.from({length: listed}, (_, index) => `e${index}`);
  const router: Partial<Router> = {
    assignedEndpoints: () => ids.slice(0, held).map(id => ({id}) as never),
    slots: () => listed * 8,
    reportLoad: () => {},
  };
  const admission: Partial<AdmissionController> = {
    setReportedSlots: (_service, _slots, busy) => told.push(busy),
  };
  const configuration = {list: () => [{name: 'assistant'}]};
  const feed = createLoadFeed(router as Router, {
    clock,
    admission: admission as AdmissionController,
    configuration: configuration as unknown as Configuration,
  });
  const endpoints = ids.map(
    id =>
      ({
        listed: {id, service: 'assistant'},
        leaving: new AbortController().signal,
      }) as unknown as ConnectedEndpoint,
  );
  const watch = feed.start({list: () => endpoints, get: () => undefined});
  for (const id of ids.slice(0, reporting)) {
    feed.router.reportLoad(id, {
      sequence: 1,
      running: 3,
      waiting: 1,
      slots: 8,
      waitingPromptTokens: 0,
      cacheUse: 0,
      attempts: [],
    });
  }
  await clock.advance(1_500);
  await clock.advance(6_000);
  watch.dispose();
  assert.equal(told.at(-1), undefined, 'old reports no longer count');
  return told[0];
}

describe('load that the admission is told of', () => {
  // An entry asks only a part of a large service's endpoints. Were their load
  // taken for unknown, entries could not lend each other idle places, and one
  // would refuse callers while endpoints stand idle.
  const cases = [
    {name: 'a small service', listed: 4, held: 4, reporting: 4, busy: 16},
    {
      name: 'a part of a large one',
      listed: 480,
      held: 48,
      reporting: 48,
      busy: 1920,
    },
    {
      name: 'some not asked yet',
      listed: 480,
      held: 48,
      reporting: 16,
      busy: 1920,
    },
    {name: 'one of four silent', listed: 4, held: 4, reporting: 3, busy: 16},
    {
      name: 'one of three silent',
      listed: 3,
      held: 3,
      reporting: 2,
      busy: undefined,
    },
    {
      name: 'too few of a large one',
      listed: 480,
      held: 48,
      reporting: 15,
      busy: undefined,
    },
    {name: 'no report', listed: 4, held: 4, reporting: 0, busy: undefined},
  ];
  for (const {name, listed, held, reporting, busy} of cases) {
    it(`${busy === undefined ? 'is unknown' : 'is scaled to all endpoints'}: ${name}`, async () => {
      assert.equal(await busyTold(listed, held, reporting), busy);
    });
  }
});
