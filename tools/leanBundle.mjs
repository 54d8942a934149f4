/**
 * esbuild plugins that leave modules out of a bundle or load them on first use.
 * They shorten the start of a gateway: a killed process serves no requests until
 * its bundle is loaded.
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

/**
 * Packages without which libraries fall back to code of their own: native parts
 * of msgpackr and ws, and the compiler that oclif uses on TypeScript sources.
 */
export const OPTIONAL_PACKAGES = [
  'bufferutil',
  'msgpackr-extract',
  'typescript',
  'utf-8-validate',
];

const LAZY_NAMESPACE = 'lazy-builtin';
const STUB_NAMESPACE = 'absent';

/**
 * Sources of the gateway's stubs by a pattern of module paths. Either the
 * importing library has a fallback, or no endpoint uses the module's protocol.
 */
const GATEWAY_STUBS = {
  // msgpackr falls back to its JavaScript implementation.
  '^msgpackr-extract$': throwingStub('msgpackr-extract'),
  // Loaded by undici's client, which uses it only if HTTP/2 was negotiated.
  '/client-h2(\\.js)?$':
    'module.exports = () => { throw new Error("HTTP/2 support is not bundled"); };',
};

/**
 * Loads built-in modules, those that are rarely used by default, only when one of
 * their exports is read.
 *
 * @example
 * await build({...options, plugins: [lazyBuiltins()]});
 */
export function lazyBuiltins(names = RARELY_USED_BUILTINS) {
  const filter = new RegExp(`^(node:)?(${names.join('|')})$`);
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
 * `assert`, a call with a true value does not load the module. An assertion
 * without a message gets one: Node.js would parse the source to word it, which
 * takes many seconds for a bundle.
 */
function lazyModuleSource(name) {
  const constants = CONSTANT_EXPORTS[name] ?? {};
  const lazyExports = Object.keys(require(`node:${name}`)).filter(
    key => !Object.hasOwn(constants, key),
  );
  const initialExports =
    typeof require(`node:${name}`) === 'function'
      ? '(value, message = "assertion failed") => { if (!value) load()(value, message); }'
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
 * Returns the source of a stub that throws when it is loaded. An empty stub
 * would not do for libraries that take any module they get for the real one.
 */
export function throwingStub(name) {
  return `throw new Error(${JSON.stringify(`${name} is not bundled`)});`;
}

/**
 * Replaces packages and files that a gateway never uses by stubs.
 *
 * @example
 * await build({...options, plugins: [stubUnusedModules()]});
 */
export function stubUnusedModules() {
  return stubModules(GATEWAY_STUBS);
}

/**
 * Replaces modules by stubs, whose sources are given by a pattern of module
 * paths.
 *
 * @example
 * stubModules({'^typescript$': throwingStub('typescript')});
 */
export function stubModules(stubs) {
  return {
    name: STUB_NAMESPACE,
    setup(bundler) {
      for (const [pattern, contents] of Object.entries(stubs)) {
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
