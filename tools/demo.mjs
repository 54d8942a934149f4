/**
 * `npm start`: a small fleet on loopback with stand-ins for the platform, two
 * model replicas and two plain services; shows a streamed answer and an order,
 * says what to try next and stays up until Ctrl-C.
 */
import {
  startTrialFleet,
  TRIAL_ADMIN_KEY,
  TRIAL_CUSTOMER_KEY,
} from '../packages/bench/out/processes/trialFleet.js';
import {untilServing} from '../packages/bench/out/processes/untilServing.js';
import {demoEndpoints, demoServices} from './demoFleet.mjs';

console.log(
  'starting three entries, two model replicas and two plain services ...',
);
const fleet = await startTrialFleet({
  entryDomains: ['a', 'b', 'c'],
  endpoints: demoEndpoints,
  settings: {log: {level: 'warn'}},
});
process.once('SIGINT', () => void fleet.dispose().then(() => process.exit(0)));
process.once('SIGTERM', () => void fleet.dispose().then(() => process.exit(0)));

try {
  await showFleet();
} catch (error) {
  console.error(error);
  await fleet.dispose();
  process.exit(1);
}

async function showFleet() {
  for (const [name, value] of Object.entries(demoServices)) {
    await fleet.store.put('service', name, value, {type: 'any'});
  }
  const entry = await untilServing(fleet, Object.keys(demoServices));
  const headers = {
    authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`,
    'content-type': 'application/json',
  };

  console.log('\na streamed answer of stain-match:');
  const answer = await fetch(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'stain-match',
      stream: true,
      max_tokens: 12,
      messages: [{role: 'user', content: 'match a warm oak floor'}],
    }),
  });
  for await (const chunk of answer.body) {
    process.stdout.write(textOf(Buffer.from(chunk).toString('utf8')));
  }

  console.log('\n\nan order at booking, and the same again with its key:');
  for (let round = 0; round < 2; round++) {
    const reply = await fetch(`${entry}/services/booking/bookings`, {
      method: 'POST',
      headers: {...headers, 'idempotency-key': 'shift-17'},
      body: JSON.stringify({shift: 17, crew: 'north'}),
    });
    const replayed = reply.headers.get('idempotent-replayed');
    console.log(
      `${reply.status} ${(await reply.text()).trim()} (replayed: ${replayed})`,
    );
  }
  showNextSteps(entry);
}

/** The text pieces of server-sent events. */
function textOf(events) {
  return events
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(
      line =>
        JSON.parse(line.slice('data: '.length)).choices[0].delta.content ?? '',
    )
    .join('');
}

function showNextSteps(entry) {
  const cli = 'node packages/cli/out/main.js';
  const admin = fleet.entries[0].ready.admin;
  console.log(`
the fleet stays up until Ctrl-C; in another terminal:
  ${cli} lookup --entry ${entry} --key ${TRIAL_CUSTOMER_KEY}
  ${cli} send chat "match this walnut table" --entry ${entry} --service stain-match --key ${TRIAL_CUSTOMER_KEY}
  ${cli} status --platform ${fleet.platform.ready.url}
  ${cli} dump --admin ${admin} --key ${TRIAL_ADMIN_KEY}`);
}
