import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, virtualClock} from '@skylarkfield/base';
import {createMemoryObjectStore} from '@skylarkfield/providers';
import {decideRecord, type AcceptanceCase} from '../acceptanceDecision.js';
import {createAcceptanceView} from '../acceptanceView.js';
import type {RecordKind} from '../contracts.js';
import {convertRecord} from '../convertRecord.js';
import {createMoveClaims} from '../moveClaims.js';
import {createRecordTable} from '../recordTable.js';
import {
  customer1,
  customer2,
  move1,
  move2,
  service1,
  service2,
} from './sampleRecords.js';

/** Records that say the same in schema 1 and schema 2. */
const pairs: readonly [RecordKind, unknown, unknown][] = [
  ['service', service1, service2],
  ['customer', customer1, customer2],
  ['move', move1('booking'), move2('booking')],
  [
    'endpoint-class',
    {schema: 1, checksFencing: true},
    {schema: 2, staleOrders: 'refused'},
  ],
];

/** Records that are refused, and the paths of their faults. */
const refusals: readonly [RecordKind, string, unknown, readonly string[]][] = [
  ['service', 'booking', undefined, ['schema']],
  ['service', 'booking', {...service1, schema: 3}, ['schema']],
  ['service', 'Booking!', service1, ['name']],
  ['service', 'booking', {...service1, extra: 1}, ['']],
  ['service', 'booking', {...service1, timeoutMs: 100}, ['timeoutMs']],
  ['service', 'booking', {...service1, maxReplicas: 1}, ['maxReplicas']],
  [
    'service',
    'booking',
    {...service2, routes: [{match: 'POST', repeatable: true}]},
    ['routes.0.match'],
  ],
  [
    'service',
    'booking',
    {...service2, latency: {targetSeconds: 9, timeoutSeconds: 5}},
    ['latency.timeoutSeconds'],
  ],
  ['customer', 'namu', {...customer1, keyHashes: ['abc']}, ['keyHashes.0']],
  ['customer', 'namu', {...customer2, allow: undefined}, ['allow']],
  ['move', 'm', move1('booking', 'v1'), ['to']],
  ['move', 'm', {...move2('booking'), finishBy: 'Monday'}, ['finishBy']],
  [
    'endpoint-class',
    'x',
    {schema: 2, checksFencing: true},
    ['staleOrders', ''],
  ],
];

describe('record schemas', () => {
  for (const [kind, first, second] of pairs) {
    it(`convert both versions of a ${kind} to the same accepted form`, () => {
      assert.deepEqual(
        convertRecord(kind, 'x', second),
        convertRecord(kind, 'x', first),
      );
    });
  }

  for (const [kind, name, value, paths] of refusals) {
    it(`name the fields at fault: ${kind} ${paths.join()}`, () => {
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

const base: AcceptanceCase = {
  kind: 'service',
  name: 'booking',
  source: {version: 7, value: service1},
  goneAt: 0,
  accepted: undefined,
  others: {hasService: () => true, moves: () => []},
  wall: 0,
};

/** Acceptors that woke up or read an old listing must not take anything back. */
const decisions: readonly [string, Partial<AcceptanceCase>, string][] = [
  ['a new record', {}, 'accept'],
  ['an accepted record', {accepted: accepted(7)}, 'nothing'],
  ['an older record than is accepted', {accepted: accepted(9)}, 'nothing'],
  ['a newer record', {accepted: accepted(5)}, 'accept'],
  [
    'a record that is gone',
    {source: undefined, goneAt: 8, accepted: accepted(7)},
    'accept',
  ],
  [
    'a record that was gone before the accepted version',
    {source: undefined, goneAt: 6, accepted: accepted(7)},
    'nothing',
  ],
  [
    'a record that is removed already',
    {source: undefined, goneAt: 8, accepted: {...accepted(7), isRemoved: true}},
    'nothing',
  ],
  [
    'a move of an unknown service',
    {
      kind: 'move',
      source: {version: 7, value: move1('booking')},
      others: {hasService: () => false, moves: () => []},
    },
    'refuse',
  ],
];

function accepted(sourceVersion: number) {
  return {sourceVersion, isRemoved: false, value: {}};
}

describe('acceptance', () => {
  for (const [what, change, expected] of decisions) {
    it(`decides on ${what}: ${expected}`, () => {
      assert.equal(decideRecord({...base, ...change}).type, expected);
    });
  }

  // Two acceptors race, and each sees only one of two moves of a service. Both
  // accepted, half of the traffic would go to each candidate.
  it('gives a service to one of two moves that race', async () => {
    const clock = virtualClock();
    const store = createMemoryObjectStore({clock});
    const {signal} = new AbortController();
    const view = createAcceptanceView({store, onDidChange: () => {}});
    const claims = createMoveClaims({clock, store, view, signal});
    const accept = (name: string) => ({
      sourceVersion: 7,
      isRemoved: false,
      value: convertRecord('move', name, move1('booking')),
    });
    await store.put('move', 'first', move1('booking'), {type: 'absent'});
    await clock.advance(10);
    assert.deepEqual(await claims.claim('move.first', accept('first')), []);
    assert.deepEqual(await claims.claim('move.first', accept('first')), []);
    const faults = await claims.claim('move.second', accept('second'));
    assert.match(faults[0]?.expected ?? '', /first/);
    // The first is withdrawn before it was accepted: whoever still means to
    // accept it finds a removal in its place.
    await store.remove('move', 'first', {type: 'any'});
    await clock.advance(10);
    assert.deepEqual(await claims.claim('move.second', accept('second')), []);
    await assert.rejects(
      store.put('accepted', 'move.first', accept('first'), {type: 'absent'}),
    );
    view.dispose();
  });
});

describe('records in force', () => {
  const record = {kind: 'service', name: 'booking', isRemoved: false};

  // A peer that was cut off relays what it has. Taken over, an accepted change
  // would be undone on this entry alone.
  it('never go back to a lower version', () => {
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

  it('have equal digests whatever order they came in', () => {
    const [one, two] = [createRecordTable(), createRecordTable()];
    const roster = {...record, name: 'roster', sourceVersion: 3};
    one.apply({...record, sourceVersion: 2});
    one.apply({...record, sourceVersion: 7});
    one.apply(roster);
    two.apply(roster);
    two.apply({...record, sourceVersion: 2});
    assert.notDeepEqual(one.digest(), two.digest());
    two.apply({...record, sourceVersion: 7});
    assert.deepEqual(one.digest(), two.digest());
  });
});
