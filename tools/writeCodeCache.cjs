'use strict';
/**
 * Writes V8's code cache of a gateway's bundle, with the functions that a
 * warm-up run compiled. Arguments: the paths of the bundle and of the cache.
 */
const {readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {dirname} = require('node:path');
const {Script} = require('node:vm');
const {warmUp} = require('../deploy/warmUp.cjs');

const [, , bundlePath, cachePath] = process.argv;
const script = new Script(Module.wrap(readFileSync(bundlePath, 'utf8')), {
  filename: bundlePath,
});

function startGateway(settingsPath) {
  process.argv[2] = settingsPath;
  const mainModule = {exports: {}};
  script.runInThisContext()(
    mainModule.exports,
    require,
    mainModule,
    bundlePath,
    dirname(bundlePath),
  );
}

/** Timeout of the warm-up, so that a hanging warm-up cannot block a build. */
const WARM_UP_TIMEOUT_MS = 60_000;

function writeCacheAndExit() {
  writeFileSync(cachePath, script.createCachedData());
  process.exit(0);
}

setTimeout(writeCacheAndExit, WARM_UP_TIMEOUT_MS);
warmUp(startGateway)
  .catch(error => {
    // A cache with fewer functions only slows down starts.
    console.error(`warm-up failed; the code cache is incomplete: ${error}`);
  })
  .finally(writeCacheAndExit);
