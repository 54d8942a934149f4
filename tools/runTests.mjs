/**
 * Runs the compiled tests of the packages with Node's test runner.
 *
 *   node tools/runTests.mjs               all tests
 *   node tools/runTests.mjs orders moves  tests of the given packages
 *   node tools/runTests.mjs --fuzz        longer stateful fuzzing, new seeds
 *
 * Files named `*.crowd.test.js` run one at a time after all others.
 *
 * If SKYLARKFIELD_KNOWN_RED is set, as in `.ci/run`, failures of tests that
 * KNOWN-RED.txt lists are printed and ignored; the text before the first `|` of
 * a line is the test's full name. Any other failure, or a run without passed
 * tests, results in exit code 1.
 */
import {once} from 'node:events';
import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join, sep} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const root = fileURLToPath(new URL('..', import.meta.url));
const selectedPackages = process.argv
  .slice(2)
  .filter(argument => !argument.startsWith('--'));
const isFuzz = process.argv.includes('--fuzz');
const testSuffix = isFuzz ? '.fuzz.test.js' : '.test.js';

/** Returns the compiled test files in a folder and its subfolders. */
function findTestFiles(folder) {
  if (!existsSync(folder)) {
    return [];
  }
  return readdirSync(folder).flatMap(name => {
    const filePath = join(folder, name);
    if (statSync(filePath).isDirectory()) {
      return findTestFiles(filePath);
    }
    return name.endsWith(testSuffix) ? [filePath] : [];
  });
}

/**
 * Returns the source path of a compiled test. Output that is left over from a
 * renamed test has no source.
 */
function sourcePath(filePath) {
  return filePath
    .replace(`${sep}out${sep}`, `${sep}src${sep}`)
    .replace(/\.js$/, '.ts');
}

/**
 * Returns the lines of KNOWN-RED.txt that list a test; none unless
 * SKYLARKFIELD_KNOWN_RED is set.
 */
function readKnownRedLines() {
  const filePath = join(root, 'KNOWN-RED.txt');
  if (!process.env.SKYLARKFIELD_KNOWN_RED || !existsSync(filePath)) {
    return [];
  }
  return readFileSync(filePath, 'utf8')
    .split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'));
}

const layers = JSON.parse(readFileSync(join(root, 'layers.json'), 'utf8'));
/** Folder of the adapter for the users' platform, next to packages/. */
const PLATFORM_ADAPTER = 'platform';
const packages =
  selectedPackages.length > 0
    ? selectedPackages
    : [...Object.keys(layers), PLATFORM_ADAPTER];
const files = packages
  .map(name =>
    name === PLATFORM_ADAPTER ? [PLATFORM_ADAPTER] : ['packages', name],
  )
  .flatMap(segments => findTestFiles(join(root, ...segments, 'out')))
  .filter(filePath => existsSync(sourcePath(filePath)));
if (files.length === 0) {
  console.error('no compiled test files found');
  process.exit(1);
}
if (isFuzz) {
  process.env.SKYLARKFIELD_FUZZ ??= 'long';
}

const knownRedLines = readKnownRedLines();
const knownRedNames = new Set(
  knownRedLines.map(line => line.split('|')[0].trim()),
);
let passedCount = 0;
const failures = [];
const ignoredFailures = [];

/** Returns false for a suite or file that failed only due to a test in it. */
function isOwnFailure(event) {
  return event.details.error?.failureType !== 'subtestsFailed';
}

/** Timeout of one test file; long fuzzing takes minutes. */
const FILE_TIMEOUT_MS = isFuzz ? 1_800_000 : 240_000;

/** Ending of test files that load the machine: they run alone, after all others. */
const LONE_TEST_SUFFIX = '.crowd.test.js';
const CONCURRENCY = 4;

/** Runs test files and prints and counts their results. */
async function runFiles(selectedFiles, concurrency) {
  if (selectedFiles.length === 0) {
    return;
  }
  const stream = run({
    files: selectedFiles,
    concurrency,
    timeout: FILE_TIMEOUT_MS,
  });
  stream.on('test:pass', event => {
    if (event.details.type !== 'suite') {
      passedCount += 1;
    }
  });
  stream.on('test:fail', event => {
    if (!isOwnFailure(event)) {
      return;
    }
    (knownRedNames.has(event.name) ? ignoredFailures : failures).push(
      event.name,
    );
  });
  stream.compose(new spec()).pipe(process.stdout);
  await once(stream, 'end');
}

const isLone = filePath => filePath.endsWith(LONE_TEST_SUFFIX);
await runFiles(
  files.filter(filePath => !isLone(filePath)),
  CONCURRENCY,
);
await runFiles(files.filter(isLone), 1);

for (const line of knownRedLines) {
  console.log(`KNOWN RED, listed: ${line}`);
}
for (const name of ignoredFailures) {
  console.log(`KNOWN RED, failed and ignored: ${name}`);
}
for (const name of failures) {
  console.log(`FAILED: ${name}`);
}
process.exitCode = failures.length > 0 || passedCount === 0 ? 1 : 0;
