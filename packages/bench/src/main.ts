/** Runs one measurement; prints its report as tables and as a JSON line. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {parseCommand, USAGE, type BenchCommand} from './commandLine.js';
import {loadMeasurement, measurements} from './measurements.js';
import {renderTable} from './table.js';

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

function listMeasurements(): string {
  return Object.entries(measurements)
    .map(([name, {description}]) => `${name.padEnd(10)}  ${description}`)
    .join('\n');
}

async function runMeasurement(
  name: string,
  command: BenchCommand,
): Promise<number> {
  const loaded = await loadMeasurement(name);
  if (loaded.type === 'unavailable') {
    console.error(`measurement ${name}: ${loaded.reason}`);
    return EXIT_FAILED;
  }
  const {seed, seconds} = command;
  const startMs = performance.now();
  const result = await loaded.measure({
    seed,
    ...(seconds === undefined ? {} : {seconds}),
  });
  const tookSeconds = Math.round(performance.now() - startMs) / 1000;
  const report = {measurement: name, seed, tookSeconds, ...result};
  console.log(renderTable(report));
  const json = JSON.stringify(report);
  if (command.outFile !== undefined) {
    writeFileSync(command.outFile, `${json}\n`);
  }
  console.log(json);
  return 0;
}

async function main(): Promise<number> {
  let command: BenchCommand;
  try {
    command = parseCommand(process.argv.slice(2));
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    console.error(USAGE);
    return EXIT_USAGE;
  }
  if (command.shouldList) {
    console.log(listMeasurements());
    return 0;
  }
  if (command.name === undefined) {
    console.error(USAGE);
    return EXIT_USAGE;
  }
  return runMeasurement(command.name, command);
}

process.exitCode = await main();
