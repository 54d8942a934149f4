import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {commands} from '../commandTable.js';
import {VERSION} from '../version.js';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

interface Result {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the command line to completion with the given standard input. */
function run(args: readonly string[], input = ''): Promise<Result> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [MAIN, ...args],
      (error, output, errors) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({code, output, errors});
      },
    );
    child.stdin?.end(input);
  });
}

const settings = {
  id: 'a1',
  failureDomain: 'a',
  callers: {port: 0},
  inner: {port: 0},
  admin: {port: 0},
  platform: {url: 'http://127.0.0.1:7000'},
  keys: {inner: {env: 'INNER'}, admin: {env: 'ADMIN'}},
};

const service = {
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
  readonly input?: unknown;
  readonly code: number;
  readonly output?: RegExp;
  readonly errors?: RegExp;
}[] = [
  {
    title: 'valid settings',
    args: ['check', 'settings', '-'],
    input: settings,
    code: 0,
    output: /valid settings of entry a1/,
  },
  {
    title: 'settings with an unknown key',
    args: ['check', 'settings', '-'],
    input: {...settings, colour: 1},
    code: 2,
    errors: /colour/,
  },
  {
    title: 'settings that are not JSON',
    args: ['check', 'settings', '-'],
    input: undefined,
    code: 2,
    errors: /not JSON/,
  },
  {
    title: 'a valid record',
    args: ['check', 'record', '-', '--json'],
    input: service,
    code: 0,
    output: /"targetMs":300/,
  },
  {
    title: 'a record with a wrong field',
    args: ['check', 'record', '-'],
    input: {...service, targetMs: 'soon'},
    code: 2,
    errors: /targetMs/,
  },
  {
    title: 'a record of an unknown kind',
    args: ['check', 'record', '-'],
    input: {...service, kind: 'shop'},
    code: 2,
    errors: /kind/,
  },
  {
    title: 'a record of an unknown schema',
    args: ['check', 'record', '-'],
    input: {...service, schema: 9},
    code: 2,
    errors: /schema/,
  },
  {
    title: 'an unknown command',
    args: ['fly'],
    code: 2,
    errors: /no command "fly"/,
  },
  {title: 'a missing flag', args: ['lookup'], code: 2, errors: /entry/},
  {
    title: 'a process that is not running',
    args: ['dump', '--admin', 'http://127.0.0.1:9', '--key', 'k'],
    code: 3,
    errors: /no answer/,
  },
  {
    title: 'a settings file that does not exist',
    args: ['entry', '--settings', 'no-such-file.json'],
    code: 2,
    errors: /cannot read/,
  },
];

describe('command line', () => {
  for (const {title, args, input, code, output, errors} of cases) {
    it(`exits with ${code} for ${title}`, async () => {
      const text = input === undefined ? '{' : JSON.stringify(input);
      const result = await run(args, text);
      assert.equal(result.code, code, result.errors);
      assert.match(result.output, output ?? /^/);
      assert.match(result.errors, errors ?? /^/);
    });
  }

  it('lists every command and the exit codes', async () => {
    const {output} = await run(['--help']);
    for (const name of commands.keys()) {
      assert.ok(output.includes(`  ${name} `), name);
    }
    assert.match(output, /EXIT CODES/);
  });

  it('has an example for every command', () => {
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
    assert.equal((await run(['--version'])).output.trim(), version);
  });
});
