/** The record of one run, and its end with the exit code of the issue. */
import {performance} from 'node:perf_hooks';
import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Limit of a whole run, in milliseconds. */
const LIMIT_MS = 110_000;

/**
 * Runs a case: `play({record, hasTrouble, onEnd})` returns the broken rules, as
 * texts. Functions passed to `onEnd` are called at the end, the last one first.
 */
export async function runCase(moduleUrl, play) {
  const folder = path.dirname(fileURLToPath(moduleUrl));
  const hasTrouble = process.env.TROUBLE !== '0';
  const startedAt = performance.now();
  const lines = [`trouble: ${hasTrouble ? 'yes' : 'no'}`];
  const cleanUps = [];
  let code = NOT_RUN;

  function record(text) {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  const limit = setTimeout(() => finish('the run took too long'), LIMIT_MS);

  async function finish(failure) {
    clearTimeout(limit);
    if (failure !== undefined) {
      record(`could not run: ${failure}`);
    }
    for (const cleanUp of cleanUps.reverse()) {
      await Promise.resolve(cleanUp()).catch(error => record(String(error)));
    }
    lines.push(`exit code: ${code}`);
    fs.writeFileSync(path.join(folder, 'record.txt'), lines.join('\n') + '\n');
    console.log(lines.join('\n'));
    process.exit(code);
  }

  try {
    const breaches = await play({
      record,
      hasTrouble,
      onEnd: cleanUp => cleanUps.push(cleanUp),
    });
    breaches.forEach(breach => record(`BROKEN: ${breach}`));
    if (breaches.length === 0) {
      record('the rule held');
    }
    code = breaches.length === 0 ? HELD : BROKEN;
    await finish();
  } catch (error) {
    await finish(error.stack ?? String(error));
  }
}
