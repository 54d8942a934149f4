import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createEmitter,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {CopyResult, MigrationResult} from '../../contracts.js';
import type {EndpointDirectory} from '../../endpoints/endpointDirectory.js';
import {createStreamMigrator} from '../streamMigration.js';

const KV_CACHE = {source: 'e1:1', handle: 'h'};
const MOVED: MigrationResult = {type: 'moved', kvCache: KV_CACHE};

const COPY = 'copy t1 from e1:1 to e2:1';
const STOP = 'stop t1 from e1:1 to e2:1';
const RELEASE = 'release h at e1:1';

/** Longer than the time from a notice to the migration, in milliseconds. */
const NOTICE_MS = 1_000;

function createEndpoint(
  id: string,
  state: RegisteredEndpoint['state'],
): RegisteredEndpoint {
  return {
    id,
    bornAt: 0,
    service: 's',
    address: `${id}:1`,
    failureDomain: 'a',
    version: 'v1',
    slots: 4,
    state,
    isReclaimable: false,
  };
}

/** Watches a stream at the endpoint `e1`; `e2` is the other endpoint. */
function setUp({
  hasTarget = true,
  copy = async () => ({type: 'copied', kvCache: KV_CACHE}),
  result = MOVED,
}: {
  hasTarget?: boolean;
  copy?: () => Promise<CopyResult>;
  result?: MigrationResult;
} = {}) {
  const clock = createVirtualClock();
  const leaveEmitter = createEmitter<string>();
  const endpoints = new Map([
    ['e1', createEndpoint('e1', 'ready')],
    ['e2', createEndpoint('e2', 'ready')],
  ]);
  const calls: string[] = [];
  const choice: Choice = {
    endpoint: 'e2',
    cachedTokens: 0,
    tokensAhead: 0,
    loadBefore: {requests: 0, pendingTokens: 0, contextTokens: 0},
    slowness: () => 1,
    recordStart() {},
    recordFirstToken() {},
    finish() {},
  };
  const migrator = createStreamMigrator({
    directory: {
      get: key => endpoints.get(key),
      onDidLeave: leaveEmitter.event,
    } as EndpointDirectory,
    requestMigrator: {
      copy(source, attemptId, target) {
        calls.push(`copy ${attemptId} from ${source} to ${target}`);
        return copy();
      },
      async migrate(source, attemptId, target) {
        calls.push(`stop ${attemptId} from ${source} to ${target}`);
        return result;
      },
      async release({source, handle}) {
        calls.push(`release ${handle} at ${source}`);
      },
    },
    clock,
    log: createSilentLogger(),
  });
  const watchedStream = migrator.watch({
    endpoint: 'e1',
    attemptId: 't1',
    hasBegun: () => true,
    chooseEndpoint: () => (hasTarget ? choice : undefined),
  });

  /** Applies a new registration of `e1`; undefined if it is missing. */
  function register(state: RegisteredEndpoint['state'] | undefined): void {
    if (state === undefined) {
      endpoints.delete('e1');
    } else {
      endpoints.set('e1', createEndpoint('e1', state));
    }
    if (state !== 'ready') {
      leaveEmitter.fire('e1');
    }
  }

  return {clock, calls, watchedStream, register};
}

describe('createStreamMigrator', () => {
  // Guards against streams that are cut off when their draining endpoint ends.
  it('migrates a stream whose endpoint drains', async () => {
    const {clock, calls, watchedStream, register} = setUp();
    register('draining');
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, [COPY, STOP]);
    assert.equal(watchedStream.isStopRequested(), true);
    const continuation = await watchedStream.continuation();
    assert.equal(continuation?.choice.endpoint, 'e2');
  });

  // Guards against sound streams that are stopped because a registration was missing for a moment.
  it('leaves a stream alone whose endpoint is registered again', async () => {
    const {clock, calls, watchedStream, register} = setUp();
    register(undefined);
    await clock.advance(NOTICE_MS / 2);
    register('ready');
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, []);
    assert.equal(watchedStream.isStopRequested(), false);
  });

  // Guards against complete streams that are broken off because they count as stopped.
  it('does not count a stream as stopped while its endpoint is not registered', async () => {
    const {clock, calls, watchedStream, register} = setUp();
    register(undefined);
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, []);
    assert.equal(watchedStream.isStopRequested(), false);
  });

  // Guards against complete streams that are broken off because they count as stopped.
  it('does not count a stream as stopped if there is no other endpoint', async () => {
    const {clock, calls, watchedStream, register} = setUp({hasTarget: false});
    register('draining');
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, []);
    assert.equal(watchedStream.isStopRequested(), false);
    assert.equal(await watchedStream.continuation(), undefined);
  });

  // Guards against streams that stay at an endpoint that leaves after all.
  it('migrates a stream whose endpoint drains after it was registered again', async () => {
    const {clock, calls, register} = setUp();
    register(undefined);
    register('ready');
    await clock.advance(NOTICE_MS);
    register('draining');
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, [COPY, STOP]);
  });

  // Guards against streams that are moved although they have ended.
  // Guards against copies that keep memory and a slot although their streams do not go on.
  it('frees the copy of a stopped stream that is not continued', async () => {
    const {clock, calls, watchedStream, register} = setUp();
    register('draining');
    await clock.advance(NOTICE_MS);
    const continuation = await watchedStream.continuation();
    continuation!.drop();
    assert.deepEqual(calls, [COPY, STOP, RELEASE]);
  });

  it('leaves a stream alone that has ended', async () => {
    const {clock, calls, watchedStream, register} = setUp();
    register('draining');
    watchedStream.dispose();
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, []);
  });

  // Guards against streams that are stopped although no other endpoint has room for them.
  it('leaves a stream alone whose KV cache cannot be copied', async () => {
    const copies: (() => Promise<CopyResult>)[] = [
      async () => ({type: 'refused'}),
      () => Promise.reject(new Error('no response')),
    ];
    for (const copy of copies) {
      const {clock, calls, watchedStream, register} = setUp({copy});
      register('draining');
      await clock.advance(NOTICE_MS);
      assert.deepEqual(calls, [COPY]);
      assert.equal(watchedStream.isStopRequested(), false);
      assert.equal(watchedStream.isMigrating(), false);
      assert.equal(await watchedStream.continuation(), undefined);
    }
  });

  // Guards against copies that take up the room of other requests, and against ends that wait for them.
  it('frees the copy of a stream that ends while it is copied', async () => {
    let finishCopy = () => {};
    const {clock, calls, watchedStream, register} = setUp({
      copy: () =>
        new Promise(resolve => {
          finishCopy = () => resolve({type: 'copied', kvCache: KV_CACHE});
        }),
    });
    register('draining');
    await clock.advance(NOTICE_MS);
    assert.equal(watchedStream.isStopRequested(), false);
    watchedStream.dispose();
    assert.equal(await watchedStream.continuation(), undefined);
    finishCopy();
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, [COPY, RELEASE]);
  });

  // Guards against complete streams that are broken off because they count as stopped.
  it('does not count a stream as stopped that its endpoint did not stop', async () => {
    const {clock, calls, watchedStream, register} = setUp({
      result: {type: 'refused'},
    });
    register('draining');
    await clock.advance(NOTICE_MS);
    assert.deepEqual(calls, [COPY, STOP, RELEASE]);
    assert.equal(watchedStream.isStopRequested(), false);
    assert.equal(await watchedStream.continuation(), undefined);
  });
});
