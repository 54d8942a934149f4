import {spawn} from 'node:child_process';

/**
 * Runs a command with inherited stdio and waits for its exit. If the command
 * fails, exits this process with the command's exit code.
 */
export async function run(command, args, options = {}) {
  const code = await runForExitCode(command, args, options);
  if (code !== 0) {
    console.error(`${command} ${args.join(' ')} failed with exit code ${code}`);
    process.exit(code);
  }
}

/** Runs a command with inherited stdio; resolves with its exit code. */
export function runForExitCode(command, args, options = {}) {
  return new Promise((resolve, reject) => {
    const child = spawn(command, args, {stdio: 'inherit', ...options});
    child.once('error', reject);
    child.once('exit', (code, signal) => resolve(signal ? 1 : (code ?? 1)));
  });
}
