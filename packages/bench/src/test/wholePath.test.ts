import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {
  putTrialRecords,
  fetchRunsByKey,
  sendOrder,
  streamChat,
  trialEngineEndpoint,
  trialHeaders,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil, waitUntilServing} from '../processes/waitUntilServing.js';

describe('requests through separate processes', () => {
  let fleet: TrialFleet;
  let entryUrl: string;

  before(async () => {
    fleet = await startTrialFleet({
      entryDomains: ['a', 'b', 'c'],
      endpoints: [
        trialEngineEndpoint('m1', 'a'),
        trialEngineEndpoint('m2', 'b'),
        trialServiceEndpoint('b1', 'a'),
        trialServiceEndpoint('b2', 'b'),
      ],
      settings: {log: {level: 'warn'}},
    });
    await putTrialRecords(fleet);
    entryUrl = await waitUntilServing(fleet, ['match', 'booking']);
  });

  after(() => fleet?.dispose());

  it('streams a model answer token by token, with its end marker', async () => {
    const counts: number[] = [];
    const answer = await streamChat(
      entryUrl,
      'match a warm oak floor',
      6,
      count => counts.push(count),
    );
    assert.equal(answer.status, 200);
    assert.equal(answer.isComplete, true);
    assert.equal(answer.usage?.['completion_tokens'], 6);
    assert.ok(counts.length > 1, 'the tokens did not arrive one by one');
  });

  it('returns the same text with and without streaming', async () => {
    const question = 'match a pale ash table';
    const response = await fetch(`${entryUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: trialHeaders,
      body: JSON.stringify({
        model: 'match',
        max_tokens: 5,
        messages: [{role: 'user', content: question}],
      }),
    });
    const completion = (await response.json()) as {
      choices: [{message: {content: string}}];
    };
    const streamed = await streamChat(entryUrl, question, 5);
    assert.equal(streamed.text, completion.choices[0].message.content);
  });

  it('forwards an idempotent call with its headers', async () => {
    const response = await fetch(`${entryUrl}/services/booking/availability`, {
      headers: trialHeaders,
    });
    assert.equal(response.status, 200, await response.text());
    assert.ok(response.headers.get('x-request-id'));
  });

  it('runs an order once when its key is sent repeatedly to all entries', async () => {
    const urls = fleet.entries.map(process => process.ready['callers'] ?? '');
    const replies = new Set<string>();
    for (const url of [...urls, ...urls]) {
      const {status, text} = await sendOrder(url, 'shift-1');
      replies.add(`${status} ${text}`);
    }
    assert.equal(replies.size, 1, [...replies].join('\n'));
    const runs = await fetchRunsByKey(fleet, ['b1', 'b2']);
    assert.equal(runs.get('shift-1'), 1);
  });

  it('refuses an order that reuses a key with another body', async () => {
    const send = (shift: number) =>
      fetch(`${entryUrl}/services/booking/bookings`, {
        method: 'POST',
        headers: {...trialHeaders, 'idempotency-key': 'shift-2'},
        body: JSON.stringify({shift}),
      });
    assert.ok((await send(2)).ok);
    const response = await send(3);
    const problem = (await response.json()) as {kind: string; run: string};
    assert.equal(problem.kind, 'key-conflict');
    assert.equal(problem.run, 'not-run');
  });

  it('answers lookups with every entry, and reports the records in force', async () => {
    const response = await fetch(`${entryUrl}/v1/entries?affinity=s1`, {
      headers: trialHeaders,
    });
    const answer = (await response.json()) as {entries: {url: string}[]};
    const urls = new Set(answer.entries.map(item => item.url));
    assert.equal(urls.size, 3);
    await waitUntil('the record is reported in force', async () => {
      const status = await fleet.store.get<{state: string}>(
        'status',
        'service.booking',
      );
      return status?.value.state === 'in-force';
    });
  });
});
