/**
 * Builds dist/skylarkfield, one executable that needs no Node.js beside it:
 * bundle, single-executable blob, injection into a copy of the node binary.
 */
import {copyFileSync, mkdirSync, rmSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const dist = join(root, 'dist');
const bundle = join(dist, 'skylarkfield.cjs');
const blob = join(dist, 'skylarkfield.blob');
const config = join(dist, 'sea.json');
const binary = join(dist, 'skylarkfield');

/** The mark by which node finds the blob in its own executable. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await run('npm', ['run', '--silent', 'build'], {cwd: root});
mkdirSync(dist, {recursive: true});
await build({
  entryPoints: [join(root, 'packages', 'cli', 'out', 'main.js')],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract', 'typescript'],
  // A single executable's own require knows only built-in modules and warns
  // when asked for others.
  banner: {
    js: "require=require('node:module').createRequire(process.execPath);",
  },
  // ES modules have no __dirname; the bundle is CommonJS and has no import.meta.
  logOverride: {'empty-import-meta': 'silent'},
});
writeFileSync(
  config,
  JSON.stringify({
    main: bundle,
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
await run(process.execPath, ['--experimental-sea-config', config]);
rmSync(binary, {force: true});
copyFileSync(process.execPath, binary);
await run(process.execPath, [
  join(root, 'node_modules', 'postject', 'dist', 'cli.js'),
  binary,
  'NODE_SEA_BLOB',
  blob,
  '--sentinel-fuse',
  SENTINEL_FUSE,
]);
console.log(`built ${binary}`);
