import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AdmissionController} from '@skylarkfield/admission';
import {createVirtualClock} from '@skylarkfield/base';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import {createLoadReportAggregator} from '../components/loadReportAggregator.js';
import type {ConnectedEndpoint} from '../servingContext.js';

/**
 * Returns the number of busy slots first published for these numbers of
 * endpoints; checks that no number is published once the reports are old.
 */
async function firstPublishedBusySlots(
  listedCount: number,
  polledCount: number,
  reportingCount: number,
): Promise<number | undefined> {
  const clock = createVirtualClock();
  const publishedBusySlots: Array<number | undefined> = [];
  const ids = Array.from({length: listedCount}, (_, index) => `e${index}`);
  const router: Partial<Router> = {
    assignedEndpoints: () =>
      ids.slice(0, polledCount).map(id => ({id}) as never),
    slots: () => listedCount * 8,
    recordLoadReport: () => {},
  };
  const admission: Partial<AdmissionController> = {
    recordReportedSlots: (_service, _slots, busySlots) =>
      publishedBusySlots.push(busySlots),
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
        listedEndpoint: {id, service: 'assistant'},
        leavingSignal: new AbortController().signal,
      }) as unknown as ConnectedEndpoint,
  );
  const updates = aggregator.start({
    list: () => endpoints,
    get: () => undefined,
  });
  for (const id of ids.slice(0, reportingCount)) {
    aggregator.router.recordLoadReport(id, {
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
  updates.dispose();
  assert.equal(
    publishedBusySlots.at(-1),
    undefined,
    'old reports must not count',
  );
  return publishedBusySlots[0];
}

describe('estimated busy slots', () => {
  // An entry polls only some of a large service's endpoints. If the load of the
  // service were unknown for that reason, entries could not borrow idle slots
  // from each other and would reject callers while endpoints are idle.
  const cases = [
    {
      name: 'when all endpoints of a small service report',
      listedCount: 4,
      polledCount: 4,
      reportingCount: 4,
      busySlots: 16,
    },
    {
      name: 'when all polled endpoints of a large service report',
      listedCount: 480,
      polledCount: 48,
      reportingCount: 48,
      busySlots: 1920,
    },
    {
      name: 'when 16 of 48 polled endpoints report',
      listedCount: 480,
      polledCount: 48,
      reportingCount: 16,
      busySlots: 1920,
    },
    {
      name: 'when 3 of 4 endpoints report',
      listedCount: 4,
      polledCount: 4,
      reportingCount: 3,
      busySlots: 16,
    },
    {
      name: 'when 2 of 3 endpoints report',
      listedCount: 3,
      polledCount: 3,
      reportingCount: 2,
      busySlots: undefined,
    },
    {
      name: 'when 15 of 48 polled endpoints report',
      listedCount: 480,
      polledCount: 48,
      reportingCount: 15,
      busySlots: undefined,
    },
    {
      name: 'when no endpoint reports',
      listedCount: 4,
      polledCount: 4,
      reportingCount: 0,
      busySlots: undefined,
    },
  ];
  for (const {
    name,
    listedCount,
    polledCount,
    reportingCount,
    busySlots,
  } of cases) {
    it(`${busySlots === undefined ? 'is unknown' : 'is scaled to all endpoints'} ${name}`, async () => {
      assert.equal(
        await firstPublishedBusySlots(listedCount, polledCount, reportingCount),
        busySlots,
      );
    });
  }
});
