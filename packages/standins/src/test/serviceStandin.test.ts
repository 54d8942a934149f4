import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {
  startServiceStandin,
  type ServiceFaultInput,
  type ServiceStandin,
} from '../index.js';

async function startBookingStandin(test: TestContext): Promise<ServiceStandin> {
  const standin = await startServiceStandin({service: 'booking', workMs: 1});
  test.after(() => standin.stop());
  return standin;
}

function book(standin: ServiceStandin, key: string): Promise<Response> {
  return fetch(`${standin.url}/bookings`, {
    method: 'POST',
    headers: {'idempotency-key': key},
    body: '{}',
    signal: AbortSignal.timeout(200),
  });
}

describe('plain-service stand-in', () => {
  it('counts runs per idempotency key, and per body id without a key', async test => {
    const standin = await startBookingStandin(test);
    await book(standin, 'k1');
    await book(standin, 'k1');
    const advance = await fetch(`${standin.url}/advances`, {
      method: 'POST',
      body: '{"id":7}',
    });
    assert.equal(advance.status, 201);
    assert.deepEqual(standin.runs().byKey, {k1: 2, 'body:7': 1});
    const response = await fetch(`${standin.url}/control/runs`);
    assert.deepEqual(await response.json(), standin.runs());
  });

  const faultCases: Array<{
    fault: ServiceFaultInput;
    /** 0 if no response is expected. */
    status: number;
    runs: number;
  }> = [
    {fault: {type: 'fail', status: 503}, status: 503, runs: 0},
    {fault: {type: 'slow', delayMs: 5}, status: 201, runs: 1},
    {fault: {type: 'close-before'}, status: 0, runs: 0},
    {fault: {type: 'close-after'}, status: 0, runs: 1},
    {fault: {type: 'hang'}, status: 0, runs: 0},
    {fault: {type: 'hang-after'}, status: 0, runs: 1},
    {fault: {type: 'fail', version: 'v9'}, status: 201, runs: 1},
    {fault: {type: 'fail', route: '/advances'}, status: 201, runs: 1},
    {fault: {type: 'fail', afterRequests: 1}, status: 201, runs: 1},
    {fault: {type: 'fail', aboveRunning: 5}, status: 201, runs: 1},
  ];
  for (const {fault, status, runs} of faultCases) {
    it(`gives status ${status} and ${runs} runs under fault ${JSON.stringify(fault)}`, async test => {
      const standin = await startBookingStandin(test);
      standin.addFault(fault);
      const receivedStatus = await book(standin, 'k').then(
        response => response.status,
        () => 0,
      );
      assert.equal(receivedStatus, status);
      assert.equal(standin.runs().total, runs);
    });
  }

  it('applies a fault added over HTTP to `count` requests, and rejects an unknown type', async test => {
    const standin = await startBookingStandin(test);
    await fetch(`${standin.url}/control/faults`, {
      method: 'POST',
      body: JSON.stringify({type: 'fail', count: 1}),
    });
    assert.equal((await book(standin, 'a')).status, 500);
    assert.equal((await book(standin, 'a')).status, 201);
    const unknownTypeResponse = await fetch(`${standin.url}/control/faults`, {
      method: 'POST',
      body: '{"type":"unheard-of"}',
    });
    assert.equal(unknownTypeResponse.status, 400);
  });

  it('includes the number of slots in the load report', async test => {
    const standin = await startBookingStandin(test);
    const response = await fetch(`${standin.url}/load`);
    const report = (await response.json()) as {slots: number};
    assert.equal(report.slots, 64);
  });
});
