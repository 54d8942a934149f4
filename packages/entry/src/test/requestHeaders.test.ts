import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  bearerKey,
  idempotencyKey,
  requestTimeoutMs,
  requestUrgency,
} from '../callers/requestHeaders.js';

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
  for (const [priority, best, expected] of urgencies) {
    it(`limits priority ${priority} by ${best} to ${expected}`, () => {
      const headers = priority === undefined ? {} : {priority};
      assert.equal(requestUrgency(headers, best), expected);
    });
  }

  it('limits the timeout to that of the service', () => {
    assert.equal(
      requestTimeoutMs({'x-request-timeout-ms': '900000'}, 500),
      500,
    );
    assert.equal(requestTimeoutMs({'x-request-timeout-ms': '200'}, 500), 200);
    assert.equal(requestTimeoutMs({}, 500), 500);
  });

  for (const text of ['0', '-1', 'soon', '']) {
    it(`rejects the timeout ${JSON.stringify(text)}`, () => {
      assert.throws(
        () => requestTimeoutMs({'x-request-timeout-ms': text}, 500),
        {
          kind: 'bad-request',
          run: 'not-run',
        },
      );
    });
  }

  it('reads idempotency keys, quoted or not', () => {
    assert.equal(idempotencyKey({'idempotency-key': '"shift-1"'}), 'shift-1');
    assert.equal(idempotencyKey({'idempotency-key': 'shift-1'}), 'shift-1');
    assert.equal(idempotencyKey({}), undefined);
  });

  for (const text of ['', '""', 'x'.repeat(256)]) {
    it(`rejects an idempotency key of ${text.length} characters`, () => {
      assert.throws(() => idempotencyKey({'idempotency-key': text}), {
        kind: 'bad-request',
      });
    });
  }

  it('reads a bearer key', () => {
    assert.equal(bearerKey({authorization: 'Bearer abc'}), 'abc');
    assert.equal(bearerKey({authorization: 'Basic abc'}), undefined);
  });
});
