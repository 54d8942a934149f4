import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  emitter,
  seededRandom,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import type {
  LeavingEndpointTracker,
  LeavingEndpoint,
} from '@skylarkfield/members';
import type {ListedEndpoint} from '@skylarkfield/providers';
import {createRouter} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';
import {createEndpointPoolComponent} from '../components/endpointPoolComponent.js';

const endpoint: ListedEndpoint = {
  id: 'e1',
  type: 'model',
  service: 'assistant',
  version: 'v1',
  url: 'http://127.0.0.1:9',
  host: 'h1',
  failureDomain: 'a',
  machineClass: 'small',
  checksFencing: true,
  state: 'live',
};

describe('endpoint pool', () => {
  it('sends requests to an endpoint that restarted at its address', () => {
    // An endpoint restarts on its host. Streams on the client of the old
    // process, whose `leaving` signal is aborted, would all migrate away at
    // once.
    const clock = virtualClock();
    const log = silentLogger();
    const random = seededRandom(1);
    const router = createRouter({
      clock,
      random,
      decisions: decisionLog(clock, log),
      failureDomain: 'a',
      self: 'n1',
    });
    const leavingEmitter = emitter<LeavingEndpoint>();
    const returned = emitter<string>();
    const lists = emitter<readonly ListedEndpoint[]>();
    const leaving: Partial<LeavingEndpointTracker> = {
      onDidLeave: leavingEmitter.event,
      onDidReturn: returned.event,
    };
    const pool = createEndpointPoolComponent(
      {clock, log} as unknown as EntryContext,
      {
        hostList: {watch: listener => lists.event(listener)},
        leaving: leaving as LeavingEndpointTracker,
      },
      router,
    );
    const choose = () =>
      router.choose({
        service: 'assistant',
        version: 'v1',
        blocks: [],
        promptTokens: 1,
        excluded: new Set(),
      });
    lists.fire([endpoint]);
    leavingEmitter.fire({
      endpoint: 'e1',
      host: 'h1',
      goneAt: 0,
      source: 'peer',
    });
    lists.fire([endpoint]);
    assert.equal(choose(), undefined);
    assert.equal(pool.get('e1')?.leaving.aborted, true);
    returned.fire('e1');
    assert.equal(choose(), undefined);
    lists.fire([endpoint]);
    assert.equal(choose()?.endpoint, 'e1');
    assert.equal(pool.get('e1')?.leaving.aborted, false);
    pool.dispose();
  });
});
