import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createMemoryObjectStore} from '@skylarkfield/providers';
import {parseAcceptedRecord} from '../acceptedSchemas.js';
import {convertRecord} from '../convertRecord.js';
import {createRecordCache} from '../recordCache.js';
import {createMoveV1, serviceV1} from './sampleRecords.js';

const ODD_ACCEPTED: Readonly<Record<string, unknown>> = {
  'constructor.x': {sourceVersion: 1, isRemoved: false, value: {}},
  '__proto__.x': {sourceVersion: 1, isRemoved: false, value: {}},
  'move.null': null,
  'move.number': 7,
  'move.no-value': {sourceVersion: 1, isRemoved: false},
  'move.odd-value': {sourceVersion: 1, isRemoved: false, value: null},
  'service.null': null,
};

function accepted(value: unknown) {
  return {sourceVersion: 1, isRemoved: false, value};
}

describe('accepted records of other writers', () => {
  // Guards against a configuration that is not followed because of one record.
  for (const [name, value] of Object.entries(ODD_ACCEPTED)) {
    it(`are not usable: ${name}`, () => {
      assert.equal(parseAcceptedRecord(name, value), undefined);
    });
  }

  // Guards against moves that are not accepted any more because of one record.
  it('are ignored beside the others', async () => {
    const clock = createVirtualClock();
    const store = createMemoryObjectStore({clock});
    for (const [name, value] of Object.entries(ODD_ACCEPTED)) {
      await store.put('accepted', name, value, {type: 'absent'});
    }
    const move = convertRecord('move', 'm', createMoveV1('booking'));
    const service = convertRecord('service', 'booking', serviceV1);
    await store.put('accepted', 'move.m', accepted(move), {type: 'absent'});
    await store.put('accepted', 'service.booking', accepted(service), {
      type: 'absent',
    });
    const cache = createRecordCache({store, onDidChange: () => {}});
    await clock.advance(100);
    const {acceptedIndex} = cache.acceptanceInput('move.m', 0);
    assert.deepEqual(
      acceptedIndex.moves().map(({name}) => name),
      ['m'],
    );
    assert.equal(acceptedIndex.hasService('booking'), true);
    assert.equal(acceptedIndex.hasService('null'), false);
    cache.dispose();
  });
});
