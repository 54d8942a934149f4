/**
 * Builds target/gateway.cjs, the gateway for the users' platform as one file:
 * what it does not use is left out, since reading and compiling code is most of
 * the processor time of a restart.
 */
import {existsSync, mkdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
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
await build({
  entryPoints: [main],
  outfile: join(target, 'gateway.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  treeShaking: true,
  external: ['msgpackr-extract'],
  logOverride: {'empty-import-meta': 'silent'},
});
