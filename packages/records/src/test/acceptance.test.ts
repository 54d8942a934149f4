import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, virtualClock} from '@skylarkfield/base';
import {createMemoryObjectStore} from '@skylarkfield/providers';
import {decideAcceptance, type AcceptanceInput} from '../acceptanceDecision.js';
import type {RecordKind} from '../contracts.js';
import {convertRecord} from '../convertRecord.js';
import {createMoveClaims} from '../moveClaims.js';
import {createRecordCache} from '../recordCache.js';
import {createRecordTable} from '../recordTable.js';
import {
  customerV1,
  customerV2,
  moveV1,
  moveV2,
  serviceV1,
  serviceV2,
} from './sampleRecords.js';

/** Equivalent records in schema versions 1 and 2. */
const equivalentRecords: readonly [RecordKind, unknown, unknown][] = [
  ['service', serviceV1, serviceV2],
  ['customer', customerV1, customerV2],
  ['move', moveV1('booking'), moveV2('booking')],
  [
    'endpoint-class',
    {schema: 1, checksFencing: true},
    {schema: 2, staleOrders: 'refused'},
  ],
];

/** Invalid records and the paths of their faults. */
const invalidRecords: readonly [
  RecordKind,
  string,
  unknown,
  readonly string[],
][] = [
  ['service', 'booking', undefined, ['schema']],
  ['service', 'booking', {...serviceV1, schema: 3}, ['schema']],
  ['service', 'Booking!', serviceV1, ['name']],
  ['service', 'booking', {...serviceV1, extra: 1}, ['']],
  ['service', 'booking', {...serviceV1, timeoutMs: 100}, ['timeoutMs']],
  ['service', 'booking', {...serviceV1, maxReplicas: 1}, ['maxReplicas']],
  [
    'service',
    'booking',
    {...serviceV2, routes: [{match: 'POST', repeatable: true}]},
    ['routes.0.match'],
  ],
  [
    'service',
    'booking',
    {...serviceV2, latency: {targetSeconds: 9, timeoutSeconds: 5}},
    ['latency.timeoutSeconds'],
  ],
  ['customer', 'namu', {...customerV1, keyHashes: ['abc']}, ['keyHashes.0']],
  ['customer', 'namu', {...customerV2, allow: undefined}, ['allow']],
  ['move', 'm', moveV1('booking', 'v1'), ['to']],
  ['move', 'm', {...moveV2('booking'), finishBy: 'Monday'}, ['finishBy']],
  [
    'endpoint-class',
    'x',
    {schema: 2, checksFencing: true},
    ['staleOrders', ''],
  ],
];

describe('record schemas', () => {
  for (const [kind, recordV1, recordV2] of equivalentRecords) {
    it(`convert both versions to the same accepted form: ${kind}`, () => {
      assert.deepEqual(
        convertRecord(kind, 'x', recordV2),
        convertRecord(kind, 'x', recordV1),
      );
    });
  }

  for (const [kind, name, value, paths] of invalidRecords) {
    it(`report the invalid fields: ${kind} ${paths.join()}`, () => {
      assert.throws(
        () => convertRecord(kind, name, value),
        error => {
          assert.ok(isServingError(error, 'bad-record'), String(error));
          const found = error.faults.map(fault => fault.path);
          assert.deepEqual(found, paths);
          return true;
        },
      );
    });
  }
});

const baseInput: AcceptanceInput = {
  kind: 'service',
  name: 'booking',
  source: {version: 7, value: serviceV1},
  removalVersion: 0,
  accepted: undefined,
  acceptedIndex: {hasService: () => true, moves: () => []},
  wallMs: 0,
};

/** A paused acceptor or a stale listing must not revert an accepted record. */
const decisionCases: readonly [string, Partial<AcceptanceInput>, string][] = [
  ['a new record', {}, 'accept'],
  ['an accepted record', {accepted: acceptedObject(7)}, 'nothing'],
  [
    'a record older than the accepted version',
    {accepted: acceptedObject(9)},
    'nothing',
  ],
  ['a newer record', {accepted: acceptedObject(5)}, 'accept'],
  [
    'a removed record',
    {source: undefined, removalVersion: 8, accepted: acceptedObject(7)},
    'accept',
  ],
  [
    'a record removed before the accepted version',
    {source: undefined, removalVersion: 6, accepted: acceptedObject(7)},
    'nothing',
  ],
  [
    'a removal that is already accepted',
    {
      source: undefined,
      removalVersion: 8,
      accepted: {...acceptedObject(7), isRemoved: true},
    },
    'nothing',
  ],
  [
    'a move of an unknown service',
    {
      kind: 'move',
      source: {version: 7, value: moveV1('booking')},
      acceptedIndex: {hasService: () => false, moves: () => []},
    },
    'refuse',
  ],
];

function acceptedObject(sourceVersion: number) {
  return {sourceVersion, isRemoved: false, value: {}};
}

describe('acceptance', () => {
  for (const [description, changes, expected] of decisionCases) {
    it(`decides on ${description}: ${expected}`, () => {
      assert.equal(decideAcceptance({...baseInput, ...changes}).type, expected);
    });
  }

  // Two acceptors race, and each sees only one of two moves of a service. If
  // both were accepted, half of the traffic would go to each candidate.
  it('lets one of two concurrent moves claim a service', async () => {
    const clock = virtualClock();
    const store = createMemoryObjectStore({clock});
    const {signal} = new AbortController();
    const cache = createRecordCache({store, onDidChange: () => {}});
    const claims = createMoveClaims({clock, store, cache, signal});
    const acceptedMove = (name: string) => ({
      sourceVersion: 7,
      isRemoved: false,
      value: convertRecord('move', name, moveV1('booking')),
    });
    await store.put('move', 'first', moveV1('booking'), {type: 'absent'});
    await clock.advance(10);
    assert.deepEqual(
      await claims.claim('move.first', acceptedMove('first')),
      [],
    );
    assert.deepEqual(
      await claims.claim('move.first', acceptedMove('first')),
      [],
    );
    const faults = await claims.claim('move.second', acceptedMove('second'));
    assert.match(faults[0]?.expected ?? '', /first/);
    // The first move is removed before it was accepted: an acceptor that still
    // tries to accept it finds a tombstone in its place.
    await store.remove('move', 'first', {type: 'any'});
    await clock.advance(10);
    assert.deepEqual(
      await claims.claim('move.second', acceptedMove('second')),
      [],
    );
    await assert.rejects(
      store.put('accepted', 'move.first', acceptedMove('first'), {
        type: 'absent',
      }),
    );
    cache.dispose();
  });
});

describe('records in force', () => {
  const record = {kind: 'service', name: 'booking', isRemoved: false};

  // A peer that was cut off relays old records. Applying them would revert an
  // accepted change on this entry alone.
  it('never revert to a lower version', () => {
    const table = createRecordTable();
    assert.equal(
      table.apply({...record, sourceVersion: 7, value: 'new'}),
      true,
    );
    assert.equal(
      table.apply({...record, sourceVersion: 5, value: 'old'}),
      false,
    );
    assert.equal(table.get('service', 'booking'), 'new');
    const removal = {...record, isRemoved: true, sourceVersion: 8};
    assert.equal(table.apply(removal), true);
    assert.equal(
      table.apply({...record, sourceVersion: 7, value: 'new'}),
      false,
    );
    assert.equal(table.get('service', 'booking'), undefined);
  });

  it('have equal digests regardless of the order of arrival', () => {
    const [first, second] = [createRecordTable(), createRecordTable()];
    const roster = {...record, name: 'roster', sourceVersion: 3};
    first.apply({...record, sourceVersion: 2});
    first.apply({...record, sourceVersion: 7});
    first.apply(roster);
    second.apply(roster);
    second.apply({...record, sourceVersion: 2});
    assert.notDeepEqual(first.digest(), second.digest());
    second.apply({...record, sourceVersion: 7});
    assert.deepEqual(first.digest(), second.digest());
  });
});
