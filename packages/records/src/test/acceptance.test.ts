import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, createVirtualClock} from '@skylarkfield/base';
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
  createMoveV1,
  createMoveV2,
  serviceV1,
  serviceV2,
} from './sampleRecords.js';

/** Equivalent records in schema versions 1 and 2. */
const equivalentRecords: readonly [RecordKind, unknown, unknown][] = [
  ['service', serviceV1, serviceV2],
  ['customer', customerV1, customerV2],
  ['move', createMoveV1('booking'), createMoveV2('booking')],
  [
    'endpoint-class',
    {schema: 1, checksFencing: true},
    {schema: 2, staleOrders: 'refused'},
  ],
];

/** Kind, name and value of invalid records, and the paths of their faults. */
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
  ['move', 'm', createMoveV1('booking', 'v1'), ['to']],
  ['move', 'm', {...createMoveV2('booking'), finishBy: 'Monday'}, ['finishBy']],
  [
    'endpoint-class',
    'x',
    {schema: 2, checksFencing: true},
    ['staleOrders', ''],
  ],
];

describe('record schemas', () => {
  for (const [kind, recordV1, recordV2] of equivalentRecords) {
    it(`convert both schema versions to the same accepted form: ${kind}`, () => {
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
          const foundPaths = error.faults.map(fault => fault.path);
          assert.deepEqual(foundPaths, paths);
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

/**
 * Changes of the input and the expected decision. A paused acceptor or a stale
 * listing must not revert an accepted record.
 */
const decisionCases: readonly [string, Partial<AcceptanceInput>, string][] = [
  ['a new record', {}, 'accept'],
  ['an accepted record', {accepted: createAcceptedObject(7)}, 'nothing'],
  [
    'a record older than the accepted version',
    {accepted: createAcceptedObject(9)},
    'nothing',
  ],
  ['a newer record', {accepted: createAcceptedObject(5)}, 'accept'],
  [
    'a removed record',
    {source: undefined, removalVersion: 8, accepted: createAcceptedObject(7)},
    'accept',
  ],
  [
    'a record removed before the accepted version',
    {source: undefined, removalVersion: 6, accepted: createAcceptedObject(7)},
    'nothing',
  ],
  [
    'a removal that is already accepted',
    {
      source: undefined,
      removalVersion: 8,
      accepted: {...createAcceptedObject(7), isRemoved: true},
    },
    'nothing',
  ],
  [
    'a move of an unknown service',
    {
      kind: 'move',
      source: {version: 7, value: createMoveV1('booking')},
      acceptedIndex: {hasService: () => false, moves: () => []},
    },
    'refuse',
  ],
];

function createAcceptedObject(sourceVersion: number) {
  return {sourceVersion, isRemoved: false, value: {}};
}

describe('acceptance', () => {
  for (const [description, inputChanges, expectedType] of decisionCases) {
    it(`decides on ${description}: ${expectedType}`, () => {
      assert.equal(
        decideAcceptance({...baseInput, ...inputChanges}).type,
        expectedType,
      );
    });
  }

  // Two acceptors race, and each sees only one of two moves of a service. If
  // both moves were accepted, half of the traffic would go to each candidate.
  it('lets one of two concurrent moves claim a service', async () => {
    const clock = createVirtualClock();
    const store = createMemoryObjectStore({clock});
    const {signal} = new AbortController();
    const cache = createRecordCache({store, onDidChange: () => {}});
    const claims = createMoveClaims({clock, store, cache, signal});
    const createAcceptedMove = (name: string) => ({
      sourceVersion: 7,
      isRemoved: false,
      value: convertRecord('move', name, createMoveV1('booking')),
    });
    await store.put('move', 'first', createMoveV1('booking'), {type: 'absent'});
    await clock.advance(10);
    assert.deepEqual(
      await claims.claim('move.first', createAcceptedMove('first')),
      [],
    );
    assert.deepEqual(
      await claims.claim('move.first', createAcceptedMove('first')),
      [],
    );
    const faults = await claims.claim(
      'move.second',
      createAcceptedMove('second'),
    );
    assert.match(faults[0]?.expected ?? '', /first/);
    // The first move is removed before it was accepted. An acceptor that still
    // tries to accept this move must fail at a tombstone.
    await store.remove('move', 'first', {type: 'any'});
    await clock.advance(10);
    assert.deepEqual(
      await claims.claim('move.second', createAcceptedMove('second')),
      [],
    );
    await assert.rejects(
      store.put('accepted', 'move.first', createAcceptedMove('first'), {
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
  it('never revert to a lower version, also after a removal', () => {
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

  it('have equal digests regardless of the order in which they arrive', () => {
    const [firstTable, secondTable] = [
      createRecordTable(),
      createRecordTable(),
    ];
    const roster = {...record, name: 'roster', sourceVersion: 3};
    firstTable.apply({...record, sourceVersion: 2});
    firstTable.apply({...record, sourceVersion: 7});
    firstTable.apply(roster);
    secondTable.apply(roster);
    secondTable.apply({...record, sourceVersion: 2});
    assert.notDeepEqual(firstTable.digest(), secondTable.digest());
    secondTable.apply({...record, sourceVersion: 7});
    assert.deepEqual(firstTable.digest(), secondTable.digest());
  });
});
