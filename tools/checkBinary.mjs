/** Checks that the built binary serves a streamed answer and an order. */
import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {startServingFleet} from '../packages/bench/out/processes/servingFleet.js';
import {
  sendOrder,
  streamChat,
} from '../packages/bench/out/processes/trialCalls.js';

const binaryPath = fileURLToPath(
  new URL('../dist/skylarkfield', import.meta.url),
);
if (!existsSync(binaryPath)) {
  console.error('dist/skylarkfield is missing; build it with `npm run binary`');
  process.exit(1);
}
process.env.SKYLARKFIELD_BINARY = binaryPath;

const {fleet, urls} = await startServingFleet();
try {
  const answer = await streamChat(urls[0], 'match a warm oak floor', 4);
  assert.equal(answer.isComplete, true);
  const order = await sendOrder(urls[1], 'binary-1');
  assert.equal(order.status, 201, order.text);
  console.log('the binary served a streamed answer and an order');
} finally {
  await fleet.dispose();
}
