import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError} from '@skylarkfield/base';
import {validateEntrySettings, resolveSecret} from '../settings.js';

const validSettings = {
  id: 'a1',
  failureDomain: 'a',
  callers: {port: 0},
  inner: {port: 0},
  admin: {port: 0},
  platform: {url: 'http://127.0.0.1:7000'},
  keys: {inner: {env: 'INNER'}, admin: {env: 'ADMIN'}},
};

/** Title, change to the valid settings, and start of the path of the fault. */
const faultyChanges: readonly [string, object, string][] = [
  ['an unknown key', {colour: 'red'}, ''],
  ['a port out of range', {callers: {port: 70_000}}, 'callers.port'],
  ['an id with spaces', {id: 'a 1'}, 'id'],
  ['an invalid URL', {platform: {url: 'somewhere'}}, 'platform.url'],
  [
    'an inline key that is too short',
    {keys: {inner: {value: 'x'}, admin: {env: 'A'}}},
    'keys.inner',
  ],
  ['an unknown log level', {log: {level: 'loud'}}, 'log.level'],
];

describe('entry settings', () => {
  it('applies defaults to absent settings', () => {
    const settings = validateEntrySettings(validSettings);
    assert.equal(settings.callers.host, '127.0.0.1');
    assert.equal(settings.limits.headerBytes, 16_384);
    assert.equal(settings.log.level, 'info');
  });

  for (const [title, change, path] of faultyChanges) {
    it(`rejects ${title} and reports its path`, () => {
      assert.throws(
        () => validateEntrySettings({...validSettings, ...change}),
        error =>
          isServingError(error, 'bad-settings') &&
          error.faults.some(fault => fault.path.startsWith(path)),
      );
    });
  }

  it('reports all faults in one error', () => {
    assert.throws(
      () => validateEntrySettings({...validSettings, id: 'A', drainMs: -1}),
      error => isServingError(error) && error.faults.length === 2,
    );
  });

  it('rejects a secret whose variable is not set', () => {
    assert.throws(
      () => resolveSecret({env: 'SKYLARKFIELD_NO_SUCH_VARIABLE'}, 'keys.admin'),
      {kind: 'bad-settings'},
    );
  });
});
