import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  requestFingerprint,
  type RequestContent,
} from '../requestFingerprint.js';

const CONTENT: RequestContent = {
  customer: 'chain',
  authority: 'shop.example',
  method: 'POST',
  path: '/lookup/7?full=1',
  body: Buffer.from('parcel 7'),
};

describe('request fingerprint', () => {
  it('stays the same in every release', () => {
    assert.equal(requestFingerprint(CONTENT), 'd261d160c512ed0b');
  });

  const changes: Readonly<Record<string, Partial<RequestContent>>> = {
    customer: {customer: 'shop'},
    'presence of a customer': {customer: undefined},
    authority: {authority: 'other.example'},
    method: {method: 'PUT'},
    path: {path: '/lookup/8?full=1'},
    query: {path: '/lookup/7'},
    body: {body: Buffer.from('parcel 8')},
    'presence of a body': {body: undefined},
  };
  for (const [name, change] of Object.entries(changes)) {
    it(`differs between requests that differ in ${name}`, () => {
      const changedFingerprint = requestFingerprint({...CONTENT, ...change});
      assert.notEqual(changedFingerprint, requestFingerprint(CONTENT));
    });
  }

  it('distinguishes the end of the path from the start of the body', () => {
    const shortPathFingerprint = requestFingerprint({
      ...CONTENT,
      path: '/a',
      body: Buffer.from('bc'),
    });
    const longPathFingerprint = requestFingerprint({
      ...CONTENT,
      path: '/ab',
      body: Buffer.from('c'),
    });
    assert.notEqual(shortPathFingerprint, longPathFingerprint);
  });
});
