import assert from 'node:assert/strict';
import http from 'node:http';
import {after, before, describe, it} from 'node:test';
import {
  putTrialRecords,
  trialEngineEndpoint,
  trialHeaders,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {
  startTrialFleet,
  TRIAL_ADMIN_KEY,
  type TrialFleet,
} from '../processes/trialFleet.js';
import {waitUntil, waitUntilServing} from '../processes/waitUntilServing.js';

const DRAIN_MS = 3_000;

/** A rejection that lets the caller send the request to another entry. */
const REJECTED = '503 leaving not-run, retry';
/** An error that tells the caller that its request may have run. */
const UNFINISHED = '502 interrupted may-have-run';

/** Path at which the service never responds. */
const HELD_PATH = '/services/booking/availability';
const COMPLETION_PATH = '/v1/completions';

describe(
  'late requests of a stopping entry process',
  {timeout: 120_000},
  () => {
    let fleet: TrialFleet;
    const agent = new http.Agent({keepAlive: true});

    before(async () => {
      fleet = await startTrialFleet({
        entryDomains: ['a'],
        endpoints: [
          trialEngineEndpoint('m1', 'a'),
          trialServiceEndpoint('b1', 'a'),
        ],
        settings: {
          log: {level: 'warn'},
          drainMs: DRAIN_MS,
          // A connection waits longer for the rest of a body than the stop takes.
          limits: {requestMs: 60_000},
        },
      });
      await putTrialRecords(fleet);
      await waitUntilServing(fleet, ['match', 'booking']);
      await fleet.control(fleet.endpoints.get('b1')!, 'faults', {
        type: 'hang',
        route: '/availability',
      });
    });
    after(async () => {
      agent.destroy();
      await fleet.dispose();
    });

    /** Begins a request, whose body ends with the first call of `end`. */
    function begin(method: string, path: string, body: string) {
      const request = http.request(
        `${fleet.entries[0]!.ready['callers']}${path}`,
        {
          agent,
          method,
          headers: {...trialHeaders, 'content-length': Buffer.byteLength(body)},
        },
      );
      const answer = new Promise<string>(resolve => {
        request.on('error', ({message}) => resolve(`cut: ${message}`));
        request.on('response', response => {
          let text = '';
          response.on('data', chunk => (text += chunk));
          response.on('error', () => {});
          response.on('close', () =>
            resolve(
              response.complete
                ? describeAnswer(response, text)
                : 'cut: incomplete',
            ),
          );
        });
      });
      request.write(body.slice(0, 1));
      return {answer, end: () => void request.end(body.slice(1))};
    }

    function send(method: string, path: string, body: string): Promise<string> {
      const {answer, end} = begin(method, path, body);
      end();
      return answer;
    }

    function completion(isStream: boolean): string {
      return JSON.stringify({
        model: 'match',
        prompt: 'oak',
        max_tokens: 1_500,
        stream: isStream,
      });
    }

    async function dumpProcess() {
      const response = await fetch(`${fleet.entries[0]!.ready['admin']}/dump`, {
        headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
      });
      const dump = (await response.json()) as {
        process: {life: string; inFlight: number};
      };
      return dump.process;
    }

    // Guards against requests that a stopping entry sends on and then cuts off.
    it('are rejected before they run, and those that run are answered', async () => {
      const late = {
        lateCall: begin('GET', HELD_PATH, '{}'),
        lateOrder: begin('POST', '/services/booking/bookings', '{}'),
        lateCompletion: begin('POST', COMPLETION_PATH, completion(false)),
      };
      const unfinished = {
        call: send('GET', HELD_PATH, '{}'),
        completion: send('POST', COMPLETION_PATH, completion(false)),
        stream: send('POST', COMPLETION_PATH, completion(true)),
      };
      await waitUntil(
        'all requests are in flight',
        async () => (await dumpProcess()).inFlight === 6,
      );
      const exitCode = fleet.entries[0]!.stop();
      await waitUntil(
        'the entry drains',
        async () => (await dumpProcess()).life === 'leaving',
      );
      Object.values(late).forEach(({end}) => end());
      const answers = {
        lateCall: late.lateCall.answer,
        lateOrder: late.lateOrder.answer,
        lateCompletion: late.lateCompletion.answer,
        ...unfinished,
      };
      const results: Record<string, string> = {};
      for (const [name, answer] of Object.entries(answers)) {
        results[name] = await answer;
      }
      assert.deepEqual(results, {
        lateCall: REJECTED,
        lateOrder: REJECTED,
        lateCompletion: REJECTED,
        call: UNFINISHED,
        completion: UNFINISHED,
        stream: 'stream with an error event: interrupted',
      });
      assert.equal(await exitCode, 0);
    });
  },
);

function describeAnswer(
  {statusCode, headers}: http.IncomingMessage,
  body: string,
): string {
  if (statusCode === 200) {
    const [, errorData] = body.split('event: error\ndata: ');
    return errorData === undefined
      ? '200'
      : `stream with an error event: ${JSON.parse(errorData).kind}`;
  }
  const {kind, run} = JSON.parse(body) as {kind: string; run: string};
  const hasRetryAfter = headers['retry-after'] !== undefined;
  return `${statusCode} ${kind} ${run}${hasRetryAfter ? ', retry' : ''}`;
}
