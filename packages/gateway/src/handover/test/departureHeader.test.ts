import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ACCEPT_DEPARTURES,
  acceptsDepartures,
  decodeDepartures,
  encodeDepartures,
  withoutDepartures,
} from '../departureHeader.js';

describe('departures in the head of a handed-over response', () => {
  it('arrive as they were sent, and are not passed on', () => {
    const report = {'i-1@7': 120, 'ä, b@8': 0};
    const headers = {...encodeDepartures(report), 'x-kept': '1'};
    assert.deepEqual(decodeDepartures(headers), report);
    assert.deepEqual(withoutDepartures(headers), {'x-kept': '1'});
    assert.deepEqual(encodeDepartures({}), {});
  });

  // Guards against entries of earlier releases that pass the header on to callers.
  it('are sent only to entries that take them', () => {
    assert.ok(acceptsDepartures(ACCEPT_DEPARTURES));
    assert.ok(!acceptsDepartures({'entry-id': 'e1'}));
  });

  it('are ignored if they are invalid', () => {
    for (const text of ['', '%', 'null', '7', '{"i-1":"soon"}']) {
      const headers = {'endpoint-departures': text};
      assert.deepEqual(decodeDepartures(headers), {}, text);
    }
  });
});
