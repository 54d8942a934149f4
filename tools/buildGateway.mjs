/**
 * Builds the gateway for the users' platform: target/gateway.cjs loads
 * target/gateway-bundle.cjs, a single file without unused modules, with a V8
 * code cache. Reading and compiling code takes most of a restart's CPU time.
 */
import {copyFileSync, existsSync, mkdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
import {lazyBuiltins, stubUnusedModules, undiciSubset} from './leanBundle.mjs';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const targetFolder = join(root, 'target');

await run(
  process.execPath,
  [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b', 'platform'],
  {cwd: root},
);
mkdirSync(targetFolder, {recursive: true});
const mainPath = join(root, 'platform', 'out', 'main.js');
if (!existsSync(mainPath)) {
  throw new Error(`${mainPath} was not built`);
}
const bundlePath = join(targetFolder, 'gateway-bundle.cjs');
await build({
  entryPoints: [mainPath],
  outfile: bundlePath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Identifiers are not shortened, for logs and stack traces. Long identifiers
  // take no time to parse, as cached code is not parsed.
  minifyWhitespace: true,
  minifySyntax: true,
  treeShaking: true,
  mainFields: ['module', 'main'],
  plugins: [lazyBuiltins(), stubUnusedModules(), undiciSubset()],
  logOverride: {'empty-import-meta': 'silent'},
});
// Flags of deploy/system.toml: V8 rejects a cache made with other flags.
await run(
  process.execPath,
  [
    '--max-old-space-size=160',
    '--max-semi-space-size=2',
    '--single-threaded-gc',
    join(root, 'tools', 'writeCodeCache.cjs'),
    bundlePath,
    join(targetFolder, 'gateway-bundle.cache'),
  ],
  {cwd: root},
);
copyFileSync(
  join(root, 'tools', 'gatewayLoader.cjs'),
  join(targetFolder, 'gateway.cjs'),
);
