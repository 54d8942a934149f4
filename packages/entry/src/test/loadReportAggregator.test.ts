import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AdmissionController} from '@skylarkfield/admission';
import {virtualClock} from '@skylarkfield/base';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import {createLoadReportAggregator} from '../components/loadReportAggregator.js';
import type {ConnectedEndpoint} from '../servingContext.js';

/**
 * Returns the busy slots published for the numbers of listed, polled and
 * reporting endpoints.
 */
async function firstPublishedBusySlots(
  listedCount: number,
  polledCount: number,
  reportingCount: number,
): Promise<number | undefined> {
  const clock = virtualClock();
  const published: Array<number | undefined> = [];
  const ids = Array.from({length: listedCount}, (_, index) => `e${index}`);
  const router: Partial<Router> = {
    assignedEndpoints: () =>
      ids.slice(0, polledCount).map(id => ({id}) as never),
    slots: () => listedCount * 8,
    reportLoad: () => {},
  };
  const admission: Partial<AdmissionController> = {
    setReportedSlots: (_service, _slots, busy) => published.push(busy),
  };
  const configuration = {list: () => [{name: 'assistant'}]};
  const aggregator = createLoadReportAggregator(router as Router, {
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
  const watch = aggregator.start({list: () => endpoints, get: () => undefined});
  for (const id of ids.slice(0, reportingCount)) {
    aggregator.router.reportLoad(id, {
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
  assert.equal(published.at(-1), undefined, 'old reports no longer count');
  return published[0];
}

describe('estimated busy slots', () => {
  // An entry polls only some of a large service's endpoints. If that made the
  // load unknown, entries could not borrow idle slots from each other and would
  // reject callers while endpoints are idle.
  const cases = [
    {name: 'a small service', listed: 4, assigned: 4, reporting: 4, busy: 16},
    {
      name: 'a sample of a large service',
      listed: 480,
      assigned: 48,
      reporting: 48,
      busy: 1920,
    },
    {
      name: 'some not polled yet',
      listed: 480,
      assigned: 48,
      reporting: 16,
      busy: 1920,
    },
    {
      name: 'one of four not reporting',
      listed: 4,
      assigned: 4,
      reporting: 3,
      busy: 16,
    },
    {
      name: 'one of three not reporting',
      listed: 3,
      assigned: 3,
      reporting: 2,
      busy: undefined,
    },
    {
      name: 'too few reports of a large service',
      listed: 480,
      assigned: 48,
      reporting: 15,
      busy: undefined,
    },
    {name: 'no report', listed: 4, assigned: 4, reporting: 0, busy: undefined},
  ];
  for (const {name, listed, assigned, reporting, busy} of cases) {
    it(`${busy === undefined ? 'is unknown' : 'is scaled to all endpoints'}: ${name}`, async () => {
      assert.equal(
        await firstPublishedBusySlots(listed, assigned, reporting),
        busy,
      );
    });
  }
});
