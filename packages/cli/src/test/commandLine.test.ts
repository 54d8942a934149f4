import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {commands} from '../commandTable.js';
import {VERSION} from '../version.js';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the command line to completion with the given standard input. */
function runCommandLine(
  args: readonly string[],
  input = '',
): Promise<CommandResult> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [MAIN, ...args],
      (error, stdout, stderr) => {
        const exitCode = error === null ? 0 : Number(error.code);
        resolve({exitCode, stdout, stderr});
      },
    );
    child.stdin?.end(input);
  });
}

const validSettings = {
  id: 'a1',
  failureDomain: 'a',
  callers: {port: 0},
  inner: {port: 0},
  admin: {port: 0},
  platform: {url: 'http://127.0.0.1:7000'},
  keys: {inner: {env: 'INNER'}, admin: {env: 'ADMIN'}},
};

const validServiceRecord = {
  kind: 'service',
  name: 'booking',
  schema: 1,
  type: 'plain',
  version: 'v1',
  targetMs: 300,
  timeoutMs: 10_000,
};

const cases: readonly {
  readonly title: string;
  readonly args: readonly string[];
  /** Written to standard input as JSON; if undefined, `{` is written. */
  readonly input?: unknown;
  readonly exitCode: number;
  readonly stdout?: RegExp;
  readonly stderr?: RegExp;
}[] = [
  {
    title: 'valid settings',
    args: ['check', 'settings', '-'],
    input: validSettings,
    exitCode: 0,
    stdout: /valid settings of entry a1/,
  },
  {
    title: 'settings with an unknown key',
    args: ['check', 'settings', '-'],
    input: {...validSettings, colour: 1},
    exitCode: 2,
    stderr: /colour/,
  },
  {
    title: 'settings that are not JSON',
    args: ['check', 'settings', '-'],
    input: undefined,
    exitCode: 2,
    stderr: /not JSON/,
  },
  {
    title: 'a valid record',
    args: ['check', 'record', '-', '--json'],
    input: validServiceRecord,
    exitCode: 0,
    stdout: /"targetMs":300/,
  },
  {
    title: 'a record with a field of a wrong type',
    args: ['check', 'record', '-'],
    input: {...validServiceRecord, targetMs: 'soon'},
    exitCode: 2,
    stderr: /targetMs/,
  },
  {
    title: 'a record of an unknown kind',
    args: ['check', 'record', '-'],
    input: {...validServiceRecord, kind: 'shop'},
    exitCode: 2,
    stderr: /kind/,
  },
  {
    title: 'a record of an unknown schema',
    args: ['check', 'record', '-'],
    input: {...validServiceRecord, schema: 9},
    exitCode: 2,
    stderr: /schema/,
  },
  {
    title: 'an unknown command',
    args: ['fly'],
    exitCode: 2,
    stderr: /no command "fly"/,
  },
  {
    title: 'a command without its required flags',
    args: ['lookup'],
    exitCode: 2,
    stderr: /entry/,
  },
  {
    title: 'an admin port that refuses connections',
    args: ['dump', '--admin', 'http://127.0.0.1:9', '--key', 'k'],
    exitCode: 3,
    stderr: /no answer/,
  },
  {
    title: 'a settings file that does not exist',
    args: ['entry', '--settings', 'no-such-file.json'],
    exitCode: 2,
    stderr: /cannot read/,
  },
];

describe('command line', () => {
  for (const {title, args, input, exitCode, stdout, stderr} of cases) {
    it(`exits with ${exitCode} for ${title}`, async () => {
      const inputText = input === undefined ? '{' : JSON.stringify(input);
      const result = await runCommandLine(args, inputText);
      assert.equal(result.exitCode, exitCode, result.stderr);
      assert.match(result.stdout, stdout ?? /^/);
      assert.match(result.stderr, stderr ?? /^/);
    });
  }

  it('lists every command and the exit codes', async () => {
    const {stdout} = await runCommandLine(['--help']);
    for (const name of commands.keys()) {
      assert.ok(stdout.includes(`  ${name} `), name);
    }
    assert.match(stdout, /EXIT CODES/);
  });

  it('shows an example that starts with the command name for every command', () => {
    for (const [name, command] of commands) {
      const [example] = command.examples;
      assert.match(String(example), new RegExp(`^skylarkfield ${name} `));
    }
  });

  it('prints the version of the root package', async () => {
    const root = new URL('../../../../package.json', import.meta.url);
    const {version} = JSON.parse(readFileSync(root, 'utf8')) as {
      version: string;
    };
    assert.equal(version, VERSION);
    assert.equal((await runCommandLine(['--version'])).stdout.trim(), version);
  });
});
