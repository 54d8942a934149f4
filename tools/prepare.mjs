/**
 * Installs dependencies if they are missing or outdated and builds, so that
 * `npm start`, `npm test` and `npm run bench` work in a fresh clone.
 */
import {existsSync, statSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import {run} from './run.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Returns whether node_modules is missing or older than the lock file. */
function needsInstall() {
  const installedLockFile = join(root, 'node_modules', '.package-lock.json');
  const lockFile = join(root, 'package-lock.json');
  if (!existsSync(installedLockFile)) {
    return true;
  }
  return statSync(installedLockFile).mtimeMs < statSync(lockFile).mtimeMs;
}

if (needsInstall()) {
  await run('npm', ['ci', '--no-audit', '--no-fund'], {cwd: root});
}
await run(
  process.execPath,
  [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'],
  {cwd: root},
);
