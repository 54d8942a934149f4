import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {startServingFleet} from '../processes/servingFleet.js';
import {
  fetchRunsByKey,
  sendOrder,
  streamChat,
  trialHeaders,
} from '../processes/trialCalls.js';
import {TRIAL_ADMIN_KEY, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil} from '../processes/waitUntilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2'];
const QUESTION = 'match a warm oak floor with a matte finish';

let fleet: TrialFleet | undefined;

afterEach(async () => {
  await fleet?.dispose();
  fleet = undefined;
});

async function startServing(settings: Record<string, unknown> = {}) {
  const serving = await startServingFleet(settings);
  fleet = serving.fleet;
  return serving;
}

/** Fetches the URLs of the entries that one entry lists to callers. */
async function fetchListedUrls(url: string): Promise<string[]> {
  const response = await fetch(`${url}/v1/entries`, {headers: trialHeaders});
  const body = (await response.json()) as {entries: {url: string}[]};
  return body.entries.map(entry => entry.url);
}

describe('failures of real processes', () => {
  // The host of a model replica is lost without notice while the replica
  // streams. The caller would get a truncated answer.
  it('finishes a stream on another replica when its replica is killed', async () => {
    const {fleet, urls} = await startServing();
    const expected = await streamChat(urls[0]!, QUESTION, 160);
    let killPromise: Promise<void> | undefined;
    const answer = await streamChat(urls[0]!, QUESTION, 160, count => {
      // Load reports are delayed; after 80 tokens they show which engine is
      // busy.
      if (count >= 80) {
        killPromise ??= killBusyEngine(fleet);
      }
    });
    await killPromise;
    assert.equal(answer.error, undefined);
    assert.equal(answer.isComplete, true);
    assert.equal(answer.text, expected.text);
    assert.equal(answer.usage?.['attempts'], 2);
  });

  // A rolling restart stops an entry while callers read answers and send
  // orders. Without draining, answers would be cut and the outcome of orders
  // would be unknown.
  it('completes requests in flight on a graceful stop, and other entries stop listing the stopped entry', async () => {
    const {fleet, urls} = await startServing();
    const [leavingUrl, otherUrl] = [urls[0]!, urls[1]!];
    let stopPromise: Promise<number | null> | undefined;
    const answer = await streamChat(leavingUrl, QUESTION, 120, () => {
      stopPromise ??= fleet.entries[0]!.stop();
    });
    const exitCode = await stopPromise;
    assert.equal(answer.isComplete, true);
    assert.equal(exitCode, 0);
    const listedUrls = await fetchListedUrls(otherUrl);
    assert.ok(!listedUrls.includes(leavingUrl));
    assert.equal(listedUrls.length, 2);
  });

  // All engines are suspended for a while, and the entry is told to stop. The
  // stream was given up for other attempts until no retry was left.
  it('completes a stream while all engines pause and its entry stops', async () => {
    const {fleet, urls} = await startServing();
    const expected = await streamChat(urls[1]!, QUESTION, 160);
    let stopPromise: Promise<number | null> | undefined;
    let resumePromise: Promise<void> | undefined;
    const answer = await streamChat(urls[0]!, QUESTION, 160, count => {
      if (count >= 40) {
        resumePromise ??= pauseEnginesUntilStalled(fleet);
        stopPromise ??= fleet.entries[0]!.stop();
      }
    });
    await resumePromise;
    assert.equal(answer.error, undefined);
    assert.equal(answer.text, expected.text);
    assert.equal(answer.usage?.['attempts'], 1);
    assert.equal(await stopPromise, 0);
  });

  // Callers cache lookups and send requests to an entry that is draining.
  // Without an explicit refusal, callers could not tell whether a retry is
  // safe.
  it('refuses orders as not run, with a current entry list, while the entry drains', async () => {
    const {fleet, urls} = await startServing({lingerMs: 0});
    let stopPromise: Promise<number | null> | undefined;
    const stream = streamChat(urls[0]!, QUESTION, 150, () => {
      stopPromise ??= fleet.entries[0]!.stop();
    });
    await waitUntil(
      'the draining entry refuses an order with a current entry list',
      async () => {
        const reply = await sendOrder(urls[0]!, `probe-${Math.random()}`);
        if (reply.status !== 503) {
          return false;
        }
        const problem = JSON.parse(reply.text) as {
          kind: string;
          run: string;
          entries: {entries: {url: string}[]};
        };
        assert.equal(problem.kind, 'leaving');
        assert.equal(problem.run, 'not-run');
        return problem.entries.entries.every(entry => entry.url !== urls[0]);
      },
    );
    assert.equal((await stream).isComplete, true);
    assert.equal(await stopPromise, 0);
  });

  // The platform is down for some time. Requests that need no coordination must
  // succeed; an order accepted without a stored claim could run twice.
  it('serves requests without the platform, and refuses orders as not run', async () => {
    const {fleet, urls} = await startServing();
    await fleet.control(fleet.platform, 'faults', {isDown: true});
    const answer = await streamChat(urls[1]!, QUESTION, 5);
    assert.equal(answer.isComplete, true);
    const callResponse = await fetch(
      `${urls[2]}/services/booking/availability`,
      {
        headers: trialHeaders,
      },
    );
    assert.equal(callResponse.status, 200);
    const refusedReply = await sendOrder(urls[0]!, 'shift-3');
    assert.equal(refusedReply.status, 503, refusedReply.text);
    assert.equal(refusedReply.run, 'not-run', refusedReply.text);
    assert.equal(
      (await fetchRunsByKey(fleet, PLAIN_ENDPOINTS)).get('shift-3'),
      undefined,
    );
    await fleet.control(fleet.platform, 'faults', {isDown: false});
    await waitUntil('orders are accepted again', async () => {
      const reply = await sendOrder(urls[0]!, 'shift-3');
      return reply.status === 201;
    });
    assert.equal(
      (await fetchRunsByKey(fleet, PLAIN_ENDPOINTS)).get('shift-3'),
      1,
    );
  });

  // A host is replaced during a platform outage: the new entry has no state and
  // cannot read the platform. It must not serve an older configuration.
  it('starts an entry from its peers while the platform is down', async () => {
    const {fleet} = await startServing();
    const seedUrl = fleet.entries[0]!.ready['inner']!;
    await fleet.control(fleet.platform, 'faults', {isDown: true});
    const newEntry = await fleet.startEntry('late', 'a', {seeds: [seedUrl]});
    await waitUntil('the new entry serves a model answer', async () => {
      const answer = await streamChat(newEntry.ready['callers']!, QUESTION, 2);
      return answer.isComplete;
    });
  });

  // A service accepts calls and answers none of them. Without a bulkhead, calls
  // to other services would queue behind its open calls.
  it('serves other services while one service hangs', async () => {
    const {fleet, urls} = await startServing();
    for (const id of PLAIN_ENDPOINTS) {
      await fleet.control(fleet.endpoints.get(id)!, 'faults', {type: 'hang'});
    }
    const hungCalls = new AbortController();
    const calls = Array.from({length: 300}, () =>
      fetch(`${urls[0]}/services/booking/availability`, {
        headers: trialHeaders,
        signal: hungCalls.signal,
      }).then(
        response => response.text(),
        () => 'ended',
      ),
    );
    const answer = await streamChat(urls[0]!, QUESTION, 20);
    assert.equal(answer.isComplete, true);
    hungCalls.abort();
    await Promise.all(calls);
  });
});

/** Kills the engine that is running a stream. */
async function killBusyEngine(fleet: TrialFleet): Promise<void> {
  for (const id of ['m1', 'm2']) {
    const engine = fleet.endpoints.get(id)!;
    const response = await fetch(`${engine.ready['url']}/v1/load`);
    const load = (await response.json()) as {running: number};
    if (load.running > 0) {
      await engine.kill();
      return;
    }
  }
  throw new Error('no engine is busy');
}

/**
 * Suspends all engines until the first entry has chosen endpoints several times
 * for its stalled stream.
 */
async function pauseEnginesUntilStalled(fleet: TrialFleet): Promise<void> {
  const engines = ['m1', 'm2'].map(id => fleet.endpoints.get(id)!);
  const choicesBefore = await countChoices(fleet);
  engines.forEach(engine => engine.pause());
  try {
    await waitUntil(
      'the entry looks for another engine',
      async () => (await countChoices(fleet)) >= choicesBefore + 4,
    );
  } finally {
    engines.forEach(engine => engine.resume());
  }
}

async function countChoices(fleet: TrialFleet): Promise<number> {
  const response = await fetch(`${fleet.entries[0]!.ready['admin']}/dump`, {
    headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
  });
  const dump = (await response.json()) as {
    routing: {totals: {choices: number}};
  };
  return dump.routing.totals.choices;
}
