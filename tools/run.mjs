import {spawn} from 'node:child_process';

/**
 * Runs a command with inherited output and waits for it.
 * Ends this process with the command's exit code when it fails.
 */
export async function run(command, args, options = {}) {
  const code = await runForCode(command, args, options);
  if (code !== 0) {
    console.error(`${command} ${args.join(' ')} failed with code ${code}`);
    process.exit(code);
  }
}

/** Runs a command with inherited output; resolves with its exit code. */
export function runForCode(command, args, options = {}) {
  return new Promise((resolve, reject) => {
    const child = spawn(command, args, {stdio: 'inherit', ...options});
    child.once('error', reject);
    child.once('exit', (code, signal) => resolve(signal ? 1 : (code ?? 1)));
  });
}
