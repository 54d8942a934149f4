import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createTcpConnector} from '../../attempts/upstream.js';
import {createAddressProbe} from '../addressProbe.js';
import {createEndpointProbe} from '../endpointProbe.js';

describe('endpoint probe', () => {
  // Guards against processes that end because a registered address cannot be connected to.
  for (const address of ['127.0.0.1:83088', '...:80', '127.0.0.1:-1', '']) {
    it(`is not answered at the address ${JSON.stringify(address)}`, async () => {
      const probe = createEndpointProbe({
        probe: createAddressProbe({
          clock: createVirtualClock(),
          connect: createTcpConnector(),
          format: {
            buildProbe: () => ({path: '/', headers: {}}),
            parseResponseHead: () => assert.fail('got a response'),
          },
        }),
        addressOf: () => address,
        onDidRespond: () => assert.fail('got a response'),
      });
      assert.equal(await probe('i-1@7', 300), false);
    });
  }
});
