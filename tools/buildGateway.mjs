/**
 * Builds the gateway for the users' platform: target/gateway.cjs loads
 * target/gateway-bundle.cjs, one file without what it does not use, through a
 * code cache. Reading and compiling code is most of the processor time of a
 * restart.
 */
import {copyFileSync, existsSync, mkdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
import {lazyBuiltins, undiciParts, withoutUnused} from './leanBundle.mjs';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const target = join(root, 'target');

await run(
  process.execPath,
  [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b', 'platform'],
  {cwd: root},
);
mkdirSync(target, {recursive: true});
const main = join(root, 'platform', 'out', 'main.js');
if (!existsSync(main)) {
  throw new Error(`${main} was not built`);
}
const bundle = join(target, 'gateway-bundle.cjs');
await build({
  entryPoints: [main],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Names stay as they are: logs and stack traces show them, and code from a cache is not parsed.
  minifyWhitespace: true,
  minifySyntax: true,
  treeShaking: true,
  mainFields: ['module', 'main'],
  plugins: [lazyBuiltins(), withoutUnused(), undiciParts()],
  logOverride: {'empty-import-meta': 'silent'},
});
// The flags are those of deploy/system.toml: V8 takes a cache only under the flags it was made with.
await run(
  process.execPath,
  [
    '--max-old-space-size=160',
    '--max-semi-space-size=2',
    join(root, 'tools', 'writeCodeCache.cjs'),
    bundle,
    join(target, 'gateway-bundle.cache'),
  ],
  {cwd: root},
);
copyFileSync(
  join(root, 'tools', 'gatewayLoader.cjs'),
  join(target, 'gateway.cjs'),
);
