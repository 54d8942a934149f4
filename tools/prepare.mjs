/**
 * Installs and builds what is missing, so that `npm start`, `npm test` and
 * `npm run bench` each work on a fresh clone.
 */
import {existsSync, statSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));

/** True when node_modules is absent or older than the lock file. */
function needsInstall() {
  const installed = join(root, 'node_modules', '.package-lock.json');
  const wanted = join(root, 'package-lock.json');
  if (!existsSync(installed)) {
    return true;
  }
  return statSync(installed).mtimeMs < statSync(wanted).mtimeMs;
}

if (needsInstall()) {
  await run('npm', ['ci', '--no-audit', '--no-fund'], {cwd: root});
}
await run(
  process.execPath,
  [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'],
  {cwd: root},
);
