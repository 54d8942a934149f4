/**
 * Plugins that keep out of a gateway's start what it does not use: a process
 * that was killed serves nobody until its bundle is loaded.
 */
import {createRequire, isBuiltin} from 'node:module';
import {fileURLToPath} from 'node:url';

const require = createRequire(import.meta.url);

/** Modules of Node that libraries load at their start and use rarely or never. */
const RARELY_USED = [
  'assert',
  'child_process',
  'http2',
  'https',
  'readline',
  'tls',
  'worker_threads',
  'zlib',
];

/** Exports that libraries read at their start, and that a program of one thread has as constants. */
const CONSTANTS = {worker_threads: {isMainThread: true}};

const LAZY = 'lazy-builtin';
const ABSENT = 'absent';

/** Packages and files that are left out; each has a fallback, or is for a protocol that no endpoint speaks. */
const LEFT_OUT = {
  // msgpackr falls back to JavaScript.
  '^msgpackr-extract$': 'throw new Error("msgpackr-extract is left out");',
  // Loaded by undici's client; it is used only where HTTP/2 was agreed.
  '/client-h2(\\.js)?$':
    'module.exports = () => { throw new Error("HTTP/2 is left out"); };',
};

/**
 * Loads a rarely used module of Node when one of its exports is first read.
 *
 * @example
 * await build({...options, plugins: [lazyBuiltins()]});
 */
export function lazyBuiltins() {
  const filter = new RegExp(`^(node:)?(${RARELY_USED.join('|')})$`);
  return {
    name: LAZY,
    setup(bundler) {
      bundler.onResolve({filter}, ({path, namespace}) =>
        namespace === LAZY || !isBuiltin(path)
          ? undefined
          : {path: path.replace(/^node:/, ''), namespace: LAZY},
      );
      bundler.onLoad({filter: /.*/, namespace: LAZY}, ({path}) => ({
        contents: lazyModule(path),
        loader: 'js',
      }));
    },
  };
}

/** An assertion that holds costs no load of the module. */
function lazyModule(name) {
  const constants = CONSTANTS[name] ?? {};
  const exported = Object.keys(require(`node:${name}`)).filter(
    key => !Object.hasOwn(constants, key),
  );
  const base =
    typeof require(`node:${name}`) === 'function'
      ? '(value, ...rest) => { if (!value) load()(value, ...rest); }'
      : '{}';
  return `
    const load = () => require('node:${name}');
    module.exports = ${base};
    for (const key of ${JSON.stringify(exported)}) {
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
 * Replaces packages and files that a gateway never uses.
 *
 * @example
 * await build({...options, plugins: [withoutUnused()]});
 */
export function withoutUnused() {
  return {
    name: ABSENT,
    setup(bundler) {
      for (const [pattern, contents] of Object.entries(LEFT_OUT)) {
        const filter = new RegExp(pattern);
        bundler.onResolve({filter}, ({path}) => ({
          path,
          namespace: ABSENT,
          pluginData: {contents},
        }));
      }
      bundler.onLoad({filter: /.*/, namespace: ABSENT}, ({pluginData}) => ({
        contents: pluginData.contents,
        loader: 'js',
      }));
    },
  };
}

/**
 * Loads the parts of undici that a gateway uses instead of the whole.
 *
 * @example
 * await build({...options, plugins: [undiciParts()]});
 */
export function undiciParts() {
  const path = fileURLToPath(new URL('undiciParts.cjs', import.meta.url));
  return {
    name: 'undici-parts',
    setup(bundler) {
      bundler.onResolve({filter: /^undici$/}, () => ({path}));
    },
  };
}
