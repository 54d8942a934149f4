import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Platform} from '../../contracts.js';
import {crashReportSource} from '../crashPersistence.js';

const CRASH = {request: 'f00d', endpoint: 'i-1@7', atMs: 1_000, weight: 0.5};

const ODD_REPORTS: readonly unknown[] = [
  undefined,
  null,
  {crashes: [], served: []},
  {crashes: [{...CRASH, atMs: -1}], served: {}},
  {crashes: [{...CRASH, atMs: 1e300}], served: {}},
  {crashes: [{...CRASH, weight: -1}], served: {}},
  {crashes: [{...CRASH, weight: 1e300}], served: {}},
  {crashes: [{...CRASH, request: 'constructor'}], served: {}},
  {crashes: [{...CRASH, endpoint: '__proto__'}], served: {}},
  {crashes: [], served: {constructor: 1}},
  {crashes: [], served: {f00d: 1e300}},
];

/** Returns the decoder of the reports that the platform is given. */
function findDecoder(): (value: unknown) => unknown {
  let decoder: (value: unknown) => unknown = () => undefined;
  const systemObjects: Platform['systemObjects'] = (_, read) => {
    decoder = read;
    return {
      list: () => Promise.reject(new Error('not read')),
      readChanges: () => Promise.reject(new Error('not read')),
    };
  };
  crashReportSource({systemObjects} as Platform);
  return decoder;
}

describe('crash report source', () => {
  it('decodes a report', () => {
    const report = {crashes: [CRASH], served: {f00d: 900}};
    assert.deepEqual(findDecoder()(report), report);
  });

  // Guards against requests that are rejected for ever because of one odd report.
  for (const report of ODD_REPORTS) {
    it(`refuses ${JSON.stringify(report)}`, () => {
      assert.throws(() => findDecoder()(report));
    });
  }
});
