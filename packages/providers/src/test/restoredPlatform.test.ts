import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, isServingError} from '@skylarkfield/base';
import {createMemoryPlatform} from '../memoryPlatform.js';
import {createStoreRevision, revisionInEra} from '../storeRevision.js';

describe('a memory platform restored from a copy', () => {
  // Guards against simulations in which a return loses nothing or keeps its era.
  it('has lost later changes, and assigns their revisions in a new era', async () => {
    const platform = createMemoryPlatform({clock: createVirtualClock()});
    const store = platform.createClient('a');
    assert.equal(store.era(), undefined);
    const kept = await store.put('thing', 'x', 1, {type: 'absent'});
    assert.equal(store.era(), 0);
    const copy = platform.takeCopy();
    const lost = await store.put('thing', 'y', 1, {type: 'absent'});
    platform.restore(copy);
    assert.equal(await store.get('thing', 'y'), undefined);
    assert.equal(store.era(), 1);
    const {version} = (await store.get('thing', 'x'))!;
    assert.equal(version, createStoreRevision(1, kept.version));
    await assert.rejects(
      store.put('thing', 'x', 2, {type: 'version', version: kept.version}),
      error => isServingError(error, 'version-conflict'),
    );
    const written = await store.put('thing', 'x', 2, {
      type: 'version',
      version,
    });
    assert.equal(revisionInEra(written.version), lost.version);
  });

  // Guards against watches that go on over a return as if nothing was lost.
  it('has its objects listed again by open watches', async () => {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock});
    const store = platform.createClient('a');
    const listings: number[] = [];
    store.watch('thing', {
      onDidList: ({objects}) => listings.push(objects.length),
      onDidPut: () => {},
      onDidRemove: () => {},
    });
    await clock.advance(100);
    const copy = platform.takeCopy();
    await store.put('thing', 'x', 1, {type: 'absent'});
    platform.restore(copy);
    await clock.advance(1_000);
    assert.deepEqual(listings, [0, 0]);
  });
});
