/**
 * Builds dist/skylarkfield, an executable that needs no Node.js installed:
 * bundles the code, converts the bundle to a blob and injects the blob into a
 * copy of `node`. The executable loads no module from disk: it would find one
 * in any folder above it, and injecting the blob can remove symbols that native
 * modules need (seen on arm64).
 */
import assert from 'node:assert/strict';
import {copyFileSync, mkdirSync, rmSync, writeFileSync} from 'node:fs';
import {isBuiltin} from 'node:module';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {build} from 'esbuild';
import {
  lazyBuiltins,
  OPTIONAL_PACKAGES,
  stubModules,
  throwingStub,
} from './leanBundle.mjs';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const dist = join(root, 'dist');
const bundlePath = join(dist, 'skylarkfield.cjs');
const blobPath = join(dist, 'skylarkfield.blob');
const seaConfigPath = join(dist, 'sea.json');
const binaryPath = join(dist, 'skylarkfield');

/** Sentinel in the node executable that marks whether a blob was injected. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/**
 * Source of the bundle's `require`, which loads only built-in modules, also
 * where a library computes the path. That of a single executable does the same
 * but prints a warning.
 */
const BUILTIN_REQUIRE = `require = (({createRequire, isBuiltin}) => {
  const load = createRequire(process.execPath);
  return id => {
    if (!isBuiltin(id)) {
      const error = new Error('not a built-in module: ' + id);
      throw Object.assign(error, {code: 'MODULE_NOT_FOUND'});
    }
    return load(id);
  };
})(require('node:module'));`;

/** Name that esbuild's metadata gives to the helpers that it adds itself. */
const BUNDLER_HELPERS = '<runtime>';

/** Throws if the bundle imports a module that it does not contain. */
function checkSelfContained({inputs}) {
  const missing = Object.entries(inputs).flatMap(([file, {imports}]) =>
    imports
      // A library that resolves a path only asks whether a module exists.
      .filter(({external, kind}) => external && kind !== 'require-resolve')
      // Libraries also ask for built-in modules that this Node.js lacks.
      .filter(({path}) => !isBuiltin(path) && !path.startsWith('node:'))
      .filter(({path}) => path !== BUNDLER_HELPERS)
      .map(({path}) => `${path} in ${file}`),
  );
  assert.deepEqual(missing, [], 'modules that the bundle lacks');
}

await run('npm', ['run', '--silent', 'build'], {cwd: root});
mkdirSync(dist, {recursive: true});
const {metafile} = await build({
  entryPoints: [join(root, 'packages', 'cli', 'out', 'main.js')],
  outfile: bundlePath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  metafile: true,
  plugins: [
    lazyBuiltins(['assert']),
    stubModules(
      Object.fromEntries(
        OPTIONAL_PACKAGES.map(name => [`^${name}$`, throwingStub(name)]),
      ),
    ),
  ],
  banner: {js: BUILTIN_REQUIRE},
  // Makes `import()` of a computed path a call of `require`.
  supported: {'dynamic-import': false},
  // ES modules lack __dirname and use import.meta, which is empty in CommonJS.
  logOverride: {'empty-import-meta': 'silent'},
});
checkSelfContained(metafile);
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
