import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  parseBearerKey,
  parseIdempotencyKey,
  parseRequestTimeoutMs,
  parseRequestUrgency,
} from '../callers/requestHeaders.js';

/** `Priority` header, best urgency of the customer, and expected urgency. */
const urgencies: readonly [string | undefined, number, number][] = [
  [undefined, 0, 3],
  ['u=1', 0, 1],
  ['u=0', 2, 2],
  ['i, u=5', 0, 5],
  ['u=9', 0, 3],
  ['nonsense', 0, 3],
  ['u=7', 7, 7],
];

describe('request headers', () => {
  for (const [priority, bestUrgency, expected] of urgencies) {
    it(`maps priority ${priority} with best urgency ${bestUrgency} to ${expected}`, () => {
      const headers = priority === undefined ? {} : {priority};
      assert.equal(parseRequestUrgency(headers, bestUrgency), expected);
    });
  }

  it('limits the timeout to the timeout of the service', () => {
    assert.equal(
      parseRequestTimeoutMs({'x-request-timeout-ms': '900000'}, 500),
      500,
    );
    assert.equal(
      parseRequestTimeoutMs({'x-request-timeout-ms': '200'}, 500),
      200,
    );
    assert.equal(parseRequestTimeoutMs({}, 500), 500);
  });

  for (const text of ['0', '-1', 'soon', '']) {
    it(`rejects the timeout ${JSON.stringify(text)}`, () => {
      assert.throws(
        () => parseRequestTimeoutMs({'x-request-timeout-ms': text}, 500),
        {
          kind: 'bad-request',
          run: 'not-run',
        },
      );
    });
  }

  it('reads idempotency keys, quoted or not', () => {
    assert.equal(
      parseIdempotencyKey({'idempotency-key': '"shift-1"'}),
      'shift-1',
    );
    assert.equal(
      parseIdempotencyKey({'idempotency-key': 'shift-1'}),
      'shift-1',
    );
    assert.equal(parseIdempotencyKey({}), undefined);
  });

  for (const text of ['', '""', 'x'.repeat(256)]) {
    it(`rejects an Idempotency-Key header of ${text.length} characters`, () => {
      assert.throws(() => parseIdempotencyKey({'idempotency-key': text}), {
        kind: 'bad-request',
      });
    });
  }

  it('reads a bearer key and ignores other authorization schemes', () => {
    assert.equal(parseBearerKey({authorization: 'Bearer abc'}), 'abc');
    assert.equal(parseBearerKey({authorization: 'Basic abc'}), undefined);
  });
});
