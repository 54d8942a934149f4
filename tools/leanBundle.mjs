/**
 * esbuild plugins that shorten the start of a gateway by not loading unused
 * modules: a killed process serves no requests until its bundle is loaded.
 */
import {createRequire, isBuiltin} from 'node:module';
import {fileURLToPath} from 'node:url';

const require = createRequire(import.meta.url);

/** Built-in modules that libraries load at startup but use rarely or never. */
const RARELY_USED_BUILTINS = [
  'assert',
  'child_process',
  'http2',
  'https',
  'readline',
  'tls',
  'worker_threads',
  'zlib',
];

/** Exports that libraries read at startup; constant without worker threads. */
const CONSTANT_EXPORTS = {worker_threads: {isMainThread: true}};

const LAZY_NAMESPACE = 'lazy-builtin';
const STUB_NAMESPACE = 'absent';

/**
 * Sources of stubs by a pattern of module paths. Either the importing library
 * has a fallback, or no endpoint uses the module's protocol.
 */
const STUBS = {
  // msgpackr falls back to its JavaScript implementation.
  '^msgpackr-extract$': 'throw new Error("msgpackr-extract is not bundled");',
  // Loaded by undici's client, which uses it only if HTTP/2 was negotiated.
  '/client-h2(\\.js)?$':
    'module.exports = () => { throw new Error("HTTP/2 support is not bundled"); };',
};

/**
 * Loads rarely used built-in modules only when one of their exports is read.
 *
 * @example
 * await build({...options, plugins: [lazyBuiltins()]});
 */
export function lazyBuiltins() {
  const filter = new RegExp(`^(node:)?(${RARELY_USED_BUILTINS.join('|')})$`);
  return {
    name: LAZY_NAMESPACE,
    setup(bundler) {
      bundler.onResolve({filter}, ({path, namespace}) =>
        namespace === LAZY_NAMESPACE || !isBuiltin(path)
          ? undefined
          : {path: path.replace(/^node:/, ''), namespace: LAZY_NAMESPACE},
      );
      bundler.onLoad({filter: /.*/, namespace: LAZY_NAMESPACE}, ({path}) => ({
        contents: lazyModuleSource(path),
        loader: 'js',
      }));
    },
  };
}

/**
 * Returns the source of a lazy module. If the module is a function, like
 * `assert`, a call with a true value does not load the module.
 */
function lazyModuleSource(name) {
  const constants = CONSTANT_EXPORTS[name] ?? {};
  const lazyExports = Object.keys(require(`node:${name}`)).filter(
    key => !Object.hasOwn(constants, key),
  );
  const initialExports =
    typeof require(`node:${name}`) === 'function'
      ? '(value, ...rest) => { if (!value) load()(value, ...rest); }'
      : '{}';
  return `
    const load = () => require('node:${name}');
    module.exports = ${initialExports};
    for (const key of ${JSON.stringify(lazyExports)}) {
      Object.defineProperty(module.exports, key, {
        enumerable: true,
        configurable: true,
        get: () => load()[key],
      });
    }
    Object.assign(module.exports, ${JSON.stringify(constants)});
  `;
}

/**
 * Replaces packages and files that a gateway never uses by stubs.
 *
 * @example
 * await build({...options, plugins: [stubUnusedModules()]});
 */
export function stubUnusedModules() {
  return {
    name: STUB_NAMESPACE,
    setup(bundler) {
      for (const [pattern, contents] of Object.entries(STUBS)) {
        const filter = new RegExp(pattern);
        bundler.onResolve({filter}, ({path}) => ({
          path,
          namespace: STUB_NAMESPACE,
          pluginData: {contents},
        }));
      }
      bundler.onLoad(
        {filter: /.*/, namespace: STUB_NAMESPACE},
        ({pluginData}) => ({
          contents: pluginData.contents,
          loader: 'js',
        }),
      );
    },
  };
}

/**
 * Replaces undici by the subset of undici that a gateway uses.
 *
 * @example
 * await build({...options, plugins: [undiciSubset()]});
 */
export function undiciSubset() {
  const path = fileURLToPath(new URL('undiciSubset.cjs', import.meta.url));
  return {
    name: 'undici-parts',
    setup(bundler) {
      bundler.onResolve({filter: /^undici$/}, () => ({path}));
    },
  };
}
