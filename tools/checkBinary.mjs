/**
 * Checks that the built binary serves a streamed answer and an order, also from
 * a folder with packages that end a process which loads them.
 */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {startServingFleet} from '../packages/bench/out/processes/servingFleet.js';
import {
  sendOrder,
  streamChat,
} from '../packages/bench/out/processes/trialCalls.js';
import {OPTIONAL_PACKAGES} from './leanBundle.mjs';

const binaryPath = fileURLToPath(
  new URL('../dist/skylarkfield', import.meta.url),
);
if (!existsSync(binaryPath)) {
  console.error('dist/skylarkfield is missing; build it with `npm run binary`');
  process.exit(1);
}

/**
 * Copies the binary into a folder with packages that end the process when they
 * are loaded: an exception would be caught where a library has a fallback.
 */
function copyBesidePackages(folder) {
  for (const name of OPTIONAL_PACKAGES) {
    const packageFolder = join(folder, 'node_modules', name);
    mkdirSync(packageFolder, {recursive: true});
    const message = `${name} was loaded from a folder beside the binary`;
    writeFileSync(
      join(packageFolder, 'index.js'),
      `console.error(${JSON.stringify(message)}); process.exit(1);`,
    );
  }
  const path = join(folder, 'skylarkfield');
  copyFileSync(binaryPath, path);
  return path;
}

/** Serves a streamed answer and an order by processes of the binary at `path`. */
async function checkServes(path) {
  process.env.SKYLARKFIELD_BINARY = path;
  const {fleet, urls} = await startServingFleet();
  try {
    const answer = await streamChat(urls[0], 'match a warm oak floor', 4);
    assert.equal(answer.isComplete, true);
    const order = await sendOrder(urls[1], 'binary-1');
    assert.equal(order.status, 201, order.text);
  } finally {
    await fleet.dispose();
  }
}

await checkServes(binaryPath);
console.log('the binary served a streamed answer and an order');

const folder = mkdtempSync(join(tmpdir(), 'skylarkfield-binary-'));
try {
  const path = copyBesidePackages(folder);
  execFileSync(path, ['--version'], {stdio: ['ignore', 'ignore', 'inherit']});
  await checkServes(path);
  console.log('it does so beside packages that must not be loaded');
} finally {
  rmSync(folder, {recursive: true, force: true});
}
