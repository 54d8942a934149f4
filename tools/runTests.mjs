/**
 * Runs the compiled tests of every package with node's own runner.
 *
 *   node tools/runTests.mjs               all tests
 *   node tools/runTests.mjs orders moves  the tests of some packages
 *   node tools/runTests.mjs --fuzz        the stateful fuzzers with fresh seeds, longer
 *
 * A failing test that KNOWN-RED.txt names (the text before the first `|` of a
 * line is the test's full name) is printed and passed over when
 * SKYLARKFIELD_KNOWN_RED is set, as `.ci/run` does. Any other failure, and a
 * run without tests, ends with code 1.
 */
import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join, sep} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const root = fileURLToPath(new URL('..', import.meta.url));
const chosen = process.argv.slice(2).filter(word => !word.startsWith('--'));
const isFuzz = process.argv.includes('--fuzz');
const ending = isFuzz ? '.fuzz.test.js' : '.test.js';

/** All files below a folder whose names end in the given ending. */
function filesBelow(folder) {
  if (!existsSync(folder)) {
    return [];
  }
  return readdirSync(folder).flatMap(name => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) {
      return filesBelow(path);
    }
    return name.endsWith(ending) ? [path] : [];
  });
}

/** The source of a compiled test: the stale output of a renamed test has none and is not run. */
function sourceOf(path) {
  return path
    .replace(`${sep}out${sep}`, `${sep}src${sep}`)
    .replace(/\.js$/, '.ts');
}

/** Lines of KNOWN-RED.txt that are neither empty nor comments. */
function knownRedLines() {
  const path = join(root, 'KNOWN-RED.txt');
  if (!process.env.SKYLARKFIELD_KNOWN_RED || !existsSync(path)) {
    return [];
  }
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'));
}

const layers = JSON.parse(readFileSync(join(root, 'layers.json'), 'utf8'));
/** The adapter to the users' platform stands at the root, beside the packages. */
const ADAPTER = 'platform';
const packages = chosen.length > 0 ? chosen : [...Object.keys(layers), ADAPTER];
const files = packages
  .map(name => (name === ADAPTER ? [ADAPTER] : ['packages', name]))
  .flatMap(path => filesBelow(join(root, ...path, 'out')))
  .filter(path => existsSync(sourceOf(path)));
if (files.length === 0) {
  console.error('no test files found');
  process.exit(1);
}
if (isFuzz) {
  process.env.SKYLARKFIELD_FUZZ ??= 'long';
}

const red = knownRedLines();
const redNames = new Set(red.map(line => line.split('|')[0].trim()));
let passed = 0;
const failures = [];
const passedOver = [];

/** A suite or file fails because of a test inside it; only the test itself is judged. */
function isOwnFailure(event) {
  return event.details.error?.failureType !== 'subtestsFailed';
}

/** Time that one test file may take, in milliseconds; long fuzzing takes minutes. */
const FILE_TIMEOUT_MS = isFuzz ? 1_800_000 : 240_000;

const stream = run({files, concurrency: 4, timeout: FILE_TIMEOUT_MS});
stream.on('test:pass', event => {
  if (event.details.type !== 'suite') {
    passed += 1;
  }
});
stream.on('test:fail', event => {
  if (!isOwnFailure(event)) {
    return;
  }
  (redNames.has(event.name) ? passedOver : failures).push(event.name);
});
stream.compose(new spec()).pipe(process.stdout);
stream.once('end', () => {
  for (const line of red) {
    console.log(`KNOWN RED, listed: ${line}`);
  }
  for (const name of passedOver) {
    console.log(`KNOWN RED, failed and passed over: ${name}`);
  }
  for (const name of failures) {
    console.log(`FAILED: ${name}`);
  }
  process.exitCode = failures.length > 0 || passed === 0 ? 1 : 0;
});
