import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {
  startTrialFleet,
  TRIAL_CUSTOMER_KEY,
  type TrialFleet,
} from '../processes/trialFleet.js';
import {until, untilServing} from '../processes/untilServing.js';

const HEADERS = {
  authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`,
  'content-type': 'application/json',
};

/** Body of a chat request. */
function chat(content: string, maxTokens: number, stream = false): string {
  return JSON.stringify({
    model: 'match',
    stream,
    max_tokens: maxTokens,
    messages: [{role: 'user', content}],
  });
}

describe('the whole path, as separate processes', () => {
  let fleet: TrialFleet;
  let entry: string;

  before(async () => {
    fleet = await startTrialFleet({
      entryDomains: ['a', 'b', 'c'],
      endpoints: [
        engine('m1', 'a'),
        engine('m2', 'b'),
        plain('b1', 'a'),
        plain('b2', 'b'),
      ],
      settings: {log: {level: 'warn'}},
    });
    await fleet.store.put('service', 'match', matchRecord, {type: 'any'});
    await fleet.store.put('service', 'booking', bookingRecord, {type: 'any'});
    entry = await untilServing(fleet, ['match', 'booking']);
  });

  after(() => fleet?.dispose());

  it('streams an answer of a model, token by token, with its end', async () => {
    const response = await fetch(`${entry}/v1/chat/completions`, {
      method: 'POST',
      headers: HEADERS,
      body: chat('match a warm oak floor', 6, true),
    });
    const text = await response.text();
    assert.equal(response.status, 200);
    assert.match(response.headers.get('content-type') ?? '', /event-stream/);
    assert.ok(text.trimEnd().endsWith('data: [DONE]'), text);
    const tokens = text.match(/"delta":\{"content"/g) ?? [];
    assert.equal(tokens.length, 6);
  });

  it('gives the same text whole as streamed', async () => {
    const ask = async (stream: boolean) => {
      const response = await fetch(`${entry}/v1/chat/completions`, {
        method: 'POST',
        headers: HEADERS,
        body: chat('match a pale ash table', 5, stream),
      });
      return response.text();
    };
    const whole = JSON.parse(await ask(false)) as {
      choices: [{message: {content: string}}];
    };
    const streamed = (await ask(true))
      .split('\n')
      .filter(line => line.startsWith('data: {'))
      .map(line => JSON.parse(line.slice(6)).choices[0].delta.content ?? '')
      .join('');
    assert.equal(streamed, whole.choices[0].message.content);
  });

  it('passes an idempotent call through with its headers', async () => {
    const response = await fetch(`${entry}/services/booking/availability`, {
      headers: HEADERS,
    });
    assert.equal(response.status, 200, await response.text());
    assert.ok(response.headers.get('x-request-id'));
  });

  it('runs an order once however often and wherever its key is sent', async () => {
    const urls = fleet.entries.map(process => process.ready['callers'] ?? '');
    const replies = [];
    for (const url of [...urls, ...urls]) {
      const response = await fetch(`${url}/services/booking/bookings`, {
        method: 'POST',
        headers: {...HEADERS, 'idempotency-key': 'shift-1'},
        body: JSON.stringify({shift: 1}),
      });
      replies.push(`${response.status} ${await response.text()}`);
    }
    assert.equal(new Set(replies).size, 1, replies.join('\n'));
    assert.equal(await runsOf('shift-1'), 1);
  });

  it('refuses the same key with another body', async () => {
    const send = (shift: number) =>
      fetch(`${entry}/services/booking/bookings`, {
        method: 'POST',
        headers: {...HEADERS, 'idempotency-key': 'shift-2'},
        body: JSON.stringify({shift}),
      });
    assert.ok((await send(2)).ok);
    const response = await send(3);
    const problem = (await response.json()) as {kind: string; run: string};
    assert.equal(problem.kind, 'key-conflict');
    assert.equal(problem.run, 'not-run');
  });

  it('answers lookups with every entry, and reports the records in force', async () => {
    const response = await fetch(`${entry}/v1/entries?affinity=s1`, {
      headers: HEADERS,
    });
    const answer = (await response.json()) as {entries: {url: string}[]};
    const urls = new Set(answer.entries.map(item => item.url));
    assert.equal(urls.size, 3);
    await until('the record is reported in force', async () => {
      const status = await fleet.store.get<{state: string}>(
        'status',
        'service.booking',
      );
      return status?.value.state === 'in-force';
    });
  });

  /** Runs of one key, summed over the endpoints. */
  async function runsOf(key: string): Promise<number> {
    const counts = await Promise.all(
      ['b1', 'b2'].map(async id => {
        const runs = (await fleet.control(
          fleet.endpoints.get(id)!,
          'runs',
        )) as {byKey: Record<string, number>};
        return runs.byKey[key] ?? 0;
      }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }
});

const matchRecord = {
  schema: 2,
  type: 'model',
  version: 'v1',
  latency: {targetSeconds: 1.5, timeoutSeconds: 30},
};

const bookingRecord = {
  schema: 1,
  type: 'plain',
  version: 'v1',
  targetMs: 300,
  timeoutMs: 10_000,
  routes: [
    {method: 'GET', pathPrefix: '/', idempotent: true},
    {method: 'POST', pathPrefix: '/', idempotent: false},
  ],
};

function engine(id: string, failureDomain: string) {
  return {
    id,
    type: 'engine' as const,
    service: 'match',
    version: 'v1',
    failureDomain,
  };
}

function plain(id: string, failureDomain: string) {
  return {
    id,
    type: 'service' as const,
    service: 'booking',
    version: 'v1',
    failureDomain,
  };
}
