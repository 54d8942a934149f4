'use strict';
/**
 * Writes V8's code cache of a gateway's bundle, with the functions that a short
 * life of the program has compiled. Arguments: the bundle and the cache.
 */
const {readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {dirname} = require('node:path');
const {Script} = require('node:vm');
const {warmUp} = require('../deploy/warmUp.cjs');

const [, , bundle, cache] = process.argv;
const script = new Script(Module.wrap(readFileSync(bundle, 'utf8')), {
  filename: bundle,
});

function start(settingsPath) {
  process.argv[2] = settingsPath;
  const main = {exports: {}};
  script.runInThisContext()(
    main.exports,
    require,
    main,
    bundle,
    dirname(bundle),
  );
}

/** Upper bound of the warm-up, in milliseconds; a build must not hang on it. */
const WARM_UP_MS = 60_000;

function finish() {
  writeFileSync(cache, script.createCachedData());
  process.exit(0);
}

setTimeout(finish, WARM_UP_MS);
warmUp(start)
  .catch(error => {
    // A cache of fewer functions only makes starts slower.
    console.error(`the warm-up ended early: ${error}`);
  })
  .finally(finish);
