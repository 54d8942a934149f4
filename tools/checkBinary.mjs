/** Serves one streamed answer and one order through processes of the built binary. */
import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
  startTrialFleet,
  TRIAL_CUSTOMER_KEY,
} from '../packages/bench/out/processes/trialFleet.js';
import {untilServing} from '../packages/bench/out/processes/untilServing.js';
import {demoEndpoints, demoServices} from './demoFleet.mjs';

const binary = fileURLToPath(new URL('../dist/skylarkfield', import.meta.url));
if (!existsSync(binary)) {
  console.error('no binary: npm run binary builds it');
  process.exit(1);
}
process.env.SKYLARKFIELD_BINARY = binary;

const fleet = await startTrialFleet({
  entryDomains: ['a'],
  endpoints: demoEndpoints.filter(endpoint => endpoint.failureDomain === 'a'),
  settings: {log: {level: 'warn'}},
});
try {
  for (const [name, value] of Object.entries(demoServices)) {
    await fleet.store.put('service', name, value, {type: 'any'});
  }
  const entry = await untilServing(fleet, Object.keys(demoServices));
  const headers = {
    authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`,
    'content-type': 'application/json',
  };
  const answer = await fetch(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'stain-match',
      stream: true,
      max_tokens: 4,
      messages: [{role: 'user', content: 'match a warm oak floor'}],
    }),
  });
  assert.match(await answer.text(), /data: \[DONE\]/);
  const order = await fetch(`${entry}/services/booking/bookings`, {
    method: 'POST',
    headers: {...headers, 'idempotency-key': 'binary-1'},
    body: '{"shift":1}',
  });
  assert.equal(order.status, 201, await order.text());
  console.log('the binary served a streamed answer and an order');
} finally {
  await fleet.dispose();
}
