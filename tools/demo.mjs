/**
 * `npm start`: runs three entries on loopback with stand-ins for the platform,
 * two model replicas and two plain services. Prints a streamed answer, an order
 * and commands to try, and runs until Ctrl-C.
 */
import {startServingFleet} from '../packages/bench/out/processes/servingFleet.js';
import {
  sendOrder,
  streamChat,
} from '../packages/bench/out/processes/trialCalls.js';
import {
  TRIAL_ADMIN_KEY,
  TRIAL_CUSTOMER_KEY,
} from '../packages/bench/out/processes/trialFleet.js';

console.log(
  'starting three entries, two model replicas and two plain services ...',
);
const {fleet, urls} = await startServingFleet();
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => void fleet.dispose().then(() => process.exit(0)));
}
try {
  await showFleet(urls);
} catch (error) {
  console.error(error);
  await fleet.dispose();
  process.exit(1);
}

async function showFleet([entryUrl, otherEntryUrl]) {
  console.log('\na streamed answer from the model service "match":');
  const answer = await streamChat(entryUrl, 'match a warm oak floor', 12);
  console.log(answer.text);

  console.log(
    '\nan order at "booking", repeated with the same key at another entry:',
  );
  for (const url of [entryUrl, otherEntryUrl]) {
    const {status, text} = await sendOrder(url, 'shift-17');
    console.log(`${url}: ${status} ${text.trim()}`);
  }
  showNextSteps(entryUrl);
}

function showNextSteps(entryUrl) {
  const cli = 'node packages/cli/out/main.js';
  const adminAddress = fleet.entries[0].ready.admin;
  console.log(`
the fleet runs until Ctrl-C; in another terminal, try:
  ${cli} lookup --entry ${entryUrl} --key ${TRIAL_CUSTOMER_KEY}
  ${cli} send chat "match this walnut table" --entry ${entryUrl} --service match --key ${TRIAL_CUSTOMER_KEY}
  ${cli} status --platform ${fleet.platform.ready.url}
  ${cli} dump --admin ${adminAddress} --key ${TRIAL_ADMIN_KEY}`);
}
