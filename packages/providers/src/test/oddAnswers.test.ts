import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createHttpObjectStore} from '../httpObjectStore.js';

const GOOD = {name: 'good', version: 3, writeId: 'w', value: {n: 1}};
const ODD_OBJECTS: readonly unknown[] = [
  null,
  7,
  [],
  {},
  {...GOOD, name: 7},
  {...GOOD, name: '__proto__'},
  {...GOOD, version: -1},
  {...GOOD, version: 1e300},
  {...GOOD, version: 0.5},
  {...GOOD, writeId: undefined},
];
const ODD_EVENTS: readonly unknown[] = [
  ...ODD_OBJECTS,
  ...ODD_OBJECTS.map(object => ({...(object as object), type: 'put'})),
  {type: 'other'},
  {type: 'remove', name: 7, version: 3, writeId: 'w'},
  {type: 'bookmark', version: 1e300},
];

/** Starts a store that lists and then sends the given values. */
async function startStore(
  objects: readonly unknown[],
  events: readonly unknown[],
) {
  const server = http.createServer((request, response) => {
    if (request.url?.startsWith('/watch/') !== true) {
      response.end(JSON.stringify({version: 2, objects}));
      return;
    }
    for (const event of events) {
      response.write(`${JSON.stringify(event)}\n`);
    }
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const store = createHttpObjectStore({
    url: `http://127.0.0.1:${port}`,
    writer: 'test',
  });
  return {
    store,
    close() {
      store.dispose();
      server.close();
      server.closeAllConnections();
    },
  };
}

describe('odd answers of the object API', {timeout: 20_000}, () => {
  // Guards against a kind that is not followed because of one object.
  it('are refused by themselves in a listing', async () => {
    const {store, close} = await startStore([...ODD_OBJECTS, GOOD], []);
    const {objects} = await store.list('service');
    assert.deepEqual(
      objects.map(({name}) => name),
      ['good'],
    );
    close();
  });

  it('are refused by themselves in a watch', async () => {
    const good = {...GOOD, type: 'put'};
    const {store, close} = await startStore([], [...ODD_EVENTS, good]);
    const name = await new Promise(resolve => {
      store.watch('service', {
        onDidList() {},
        onDidPut: object => resolve(object.name),
        onDidRemove() {},
      });
    });
    assert.equal(name, 'good');
    close();
  });
});
