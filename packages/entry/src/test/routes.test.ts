import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Service} from '@skylarkfield/records';
import {matchRoute} from '../callers/routes.js';

const service: Service = {
  name: 'booking',
  type: 'plain',
  version: 'v1',
  routes: [
    {method: '*', pathPrefix: '/drafts', isIdempotent: true},
    {method: 'POST', pathPrefix: '/drafts/confirm', isIdempotent: false},
    {method: 'DELETE', pathPrefix: '/drafts', isIdempotent: false},
  ],
  targetMs: 300,
  timeoutMs: 1000,
  concurrency: 1,
  queue: 1,
  fleet: {minReplicas: 0, maxReplicas: 0, machineClass: '', weights: ''},
};

/** Method, path, and whether the call is idempotent. */
const cases: readonly [string, string, boolean][] = [
  ['GET', '/anything', true],
  ['POST', '/anything', false],
  ['PUT', '/anything', false],
  ['POST', '/drafts/7', true],
  ['POST', '/drafts/confirm?x=1', false],
  ['DELETE', '/drafts/7', false],
];

describe('routes of a plain service', () => {
  for (const [method, path, isIdempotent] of cases) {
    it(`${method} ${path} is ${isIdempotent ? '' : 'not '}idempotent`, () => {
      assert.equal(
        matchRoute(service, method, path).isIdempotent,
        isIdempotent,
      );
    });
  }
});
