/** Polls until a trial fleet serves. */
import {TRIAL_CUSTOMER_KEY, type TrialFleet} from './trialFleet.js';

/** Interval at which a condition is checked. */
const POLL_MS = 50;
/** Time after which an unmet condition is a failure. */
const CONDITION_TIMEOUT_MS = 30_000;

/**
 * Waits for a condition; throws an error with its description on timeout.
 *
 * @example
 * await waitUntil('the order ran', async () => (await runs()).total === 1);
 */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = CONDITION_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    if (await condition()) {
      return;
    }
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for condition: ${description}`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/**
 * Waits until every entry serves the services and lists all entries; returns
 * the caller URL of the first entry.
 *
 * @example
 * const entry = await waitUntilServing(fleet, ['booking']);
 */
export async function waitUntilServing(
  fleet: TrialFleet,
  services: readonly string[],
): Promise<string> {
  const urls = fleet.entries
    .filter(entry => !entry.hasEnded())
    .map(entry => entry.ready['callers'] ?? '');
  for (const url of urls) {
    await waitUntil(`${url} lists every entry`, async () => {
      const answer = await get(`${url}/v1/entries`);
      if (!answer.ok) {
        return false;
      }
      const body = (await answer.json()) as {entries: unknown[]};
      return body.entries.length === urls.length;
    });
    for (const service of services) {
      await waitUntil(`${url} serves ${service}`, () =>
        servesService(url, service),
      );
    }
  }
  return urls[0] ?? '';
}

/** Probes a service as a plain service and then as a model. */
async function servesService(url: string, service: string): Promise<boolean> {
  const plain = await get(`${url}/services/${service}/health`);
  const plainBody = await plain.text();
  if (plain.ok) {
    return true;
  }
  if (!plainBody.includes('unknown-service')) {
    return false;
  }
  const model = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`},
    body: JSON.stringify({model: service, prompt: 'ready', max_tokens: 1}),
  });
  await model.text();
  return model.ok;
}

function get(url: string): Promise<Response> {
  return fetch(url, {headers: {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`}});
}
