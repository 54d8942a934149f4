'use strict';
/**
 * Subset of undici that a gateway uses. The package's index also loads fetch,
 * WebSocket, caches and mocks.
 */
const Dispatcher = require('undici/lib/dispatcher/dispatcher');

Dispatcher.prototype.request = require('undici/lib/api/api-request');

module.exports = {
  Agent: require('undici/lib/dispatcher/agent'),
  Dispatcher,
  Pool: require('undici/lib/dispatcher/pool'),
  buildConnector: require('undici/lib/core/connect'),
};
