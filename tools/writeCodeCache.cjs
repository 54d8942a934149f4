'use strict';
/**
 * Runs a bundle up to its first turn and writes V8's code cache of it, with the
 * functions that a start has compiled. Arguments: the bundle and the cache.
 */
const {readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {dirname} = require('node:path');
const {Script} = require('node:vm');

const [, , bundle, cache] = process.argv;
const script = new Script(Module.wrap(readFileSync(bundle, 'utf8')), {
  filename: bundle,
});
const main = {exports: {}};
process.argv.length = 2;
script.runInThisContext()(main.exports, require, main, bundle, dirname(bundle));
// The bundle ends at once with its usage, since it was given no settings.
process.exitCode = 0;
writeFileSync(cache, script.createCachedData());
