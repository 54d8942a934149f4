/**
 * Builds dist/skylarkfield, an executable that needs no Node.js installed:
 * bundles the code, converts the bundle to a blob and injects the blob into a
 * copy of `node`.
 */
import {copyFileSync, mkdirSync, rmSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const dist = join(root, 'dist');
const bundlePath = join(dist, 'skylarkfield.cjs');
const blobPath = join(dist, 'skylarkfield.blob');
const seaConfigPath = join(dist, 'sea.json');
const binaryPath = join(dist, 'skylarkfield');

/** Sentinel in the node executable that marks whether a blob was injected. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await run('npm', ['run', '--silent', 'build'], {cwd: root});
mkdirSync(dist, {recursive: true});
await build({
  entryPoints: [join(root, 'packages', 'cli', 'out', 'main.js')],
  outfile: bundlePath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract', 'typescript'],
  // The `require` of a single executable loads only built-in modules and warns
  // about other modules.
  banner: {
    js: "require=require('node:module').createRequire(process.execPath);",
  },
  // ES modules lack __dirname and use import.meta, which is empty in CommonJS.
  logOverride: {'empty-import-meta': 'silent'},
});
writeFileSync(
  seaConfigPath,
  JSON.stringify({
    main: bundlePath,
    output: blobPath,
    disableExperimentalSEAWarning: true,
  }),
);
await run(process.execPath, ['--experimental-sea-config', seaConfigPath]);
rmSync(binaryPath, {force: true});
copyFileSync(process.execPath, binaryPath);
await run(process.execPath, [
  join(root, 'node_modules', 'postject', 'dist', 'cli.js'),
  binaryPath,
  'NODE_SEA_BLOB',
  blobPath,
  '--sentinel-fuse',
  SENTINEL_FUSE,
]);
console.log(`built ${binaryPath}`);
