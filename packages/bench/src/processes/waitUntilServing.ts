/** Waits for conditions of a trial fleet by polling. */
import {TRIAL_CUSTOMER_KEY, type TrialFleet} from './trialFleet.js';

/** Interval at which a condition is checked. */
const POLL_MS = 50;
/** Time after which waiting for a condition fails. */
const CONDITION_TIMEOUT_MS = 30_000;

/**
 * Waits for a condition; throws an error with its description on timeout.
 *
 * @example
 * await waitUntil('the order ran', async () => (await fetchRunCount()) === 1);
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
      const response = await fetchAsCustomer(`${url}/v1/entries`);
      if (!response.ok) {
        return false;
      }
      const body = (await response.json()) as {entries: unknown[]};
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

/** Calls the service as a plain service and, if there is none, as a model. */
async function servesService(url: string, service: string): Promise<boolean> {
  const plainResponse = await fetchAsCustomer(
    `${url}/services/${service}/health`,
  );
  const plainBody = await plainResponse.text();
  if (plainResponse.ok) {
    return true;
  }
  if (!plainBody.includes('unknown-service')) {
    return false;
  }
  const modelResponse = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`},
    body: JSON.stringify({model: service, prompt: 'ready', max_tokens: 1}),
  });
  await modelResponse.text();
  return modelResponse.ok;
}

function fetchAsCustomer(url: string): Promise<Response> {
  return fetch(url, {headers: {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`}});
}
