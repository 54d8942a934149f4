/** Fleet of processes on loopback: platform stand-in, entries, endpoints. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createHttpObjectStore, type ObjectStore} from '@skylarkfield/providers';
import {startProcess, type TrialProcess} from './childProcess.js';

export const TRIAL_ADMIN_KEY = 'trial-admin-key';
export const TRIAL_CUSTOMER_KEY = 'trial-customer-key';
/** SHA-256 of the customer key. */
const CUSTOMER_KEY_HASH =
  'eb89da154c67313e506cdd94bd4ede3a337175d5f81e9e42b6a379b7f924edc4';
const INNER_KEY = 'trial-inner-key';

/** Endpoint stand-in to start. */
export interface TrialEndpoint {
  readonly id: string;
  readonly type: 'engine' | 'service';
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly flags?: readonly string[];
}

export interface TrialFleetOptions {
  /** Failure domain of each entry to start. */
  readonly entryDomains: readonly string[];
  readonly endpoints: readonly TrialEndpoint[];
  /** Settings of every entry that override the defaults of the trial fleet. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

export interface TrialFleet {
  readonly platform: TrialProcess;
  readonly entries: readonly TrialProcess[];
  readonly endpoints: ReadonlyMap<string, TrialProcess>;
  readonly store: ObjectStore;
  /** Starts one more entry; the id may have been used before. */
  startEntry(
    id: string,
    failureDomain: string,
    settings?: Readonly<Record<string, unknown>>,
  ): Promise<TrialProcess>;
  startEndpoint(endpoint: TrialEndpoint): Promise<TrialProcess>;
  /** Calls the control API of a stand-in, for example to set faults. */
  control(
    standin: TrialProcess,
    path: string,
    body?: unknown,
    method?: string,
  ): Promise<unknown>;
  /** Kills every started process, also if paused, and deletes the settings. */
  dispose(): Promise<void>;
}

/**
 * Starts a fleet; if one process fails to start, kills the started processes.
 *
 * @example
 * const fleet = await startTrialFleet({entryDomains: ['a', 'b'], endpoints});
 * await fleet.dispose();
 */
export async function startTrialFleet(
  options: TrialFleetOptions,
): Promise<TrialFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'skylarkfield-'));
  const startedProcesses: TrialProcess[] = [];
  const entries: TrialProcess[] = [];
  const endpoints = new Map<string, TrialProcess>();

  async function start(name: string, args: readonly string[]) {
    const child = await startProcess(name, args);
    startedProcesses.push(child);
    return child;
  }

  async function dispose(): Promise<void> {
    await Promise.all(startedProcesses.map(child => child.kill()));
    rmSync(folder, {recursive: true, force: true});
  }

  try {
    return await startAll();
  } catch (error) {
    await dispose();
    throw error;
  }

  async function startAll(): Promise<TrialFleet> {
    const platform = await start('platform', ['standin', 'platform']);
    const platformUrl = platform.ready['url'] ?? '';
    const store = createHttpObjectStore({url: platformUrl, writer: 'trial'});
    await putCustomer(store);
    await Promise.all(options.endpoints.map(startEndpoint));
    await Promise.all(
      options.entryDomains.map((domain, index) =>
        startEntry(`e${index + 1}`, domain),
      ),
    );
    return {
      platform,
      entries,
      endpoints,
      store,
      startEntry,
      startEndpoint,
      control,
      async dispose() {
        store.dispose();
        await dispose();
      },
    };

    async function startEntry(
      id: string,
      failureDomain: string,
      settings: Readonly<Record<string, unknown>> = {},
    ) {
      const path = join(folder, `${id}.json`);
      const mergedSettings = {
        ...createEntrySettings(id, failureDomain),
        ...settings,
      };
      writeFileSync(path, JSON.stringify(mergedSettings));
      const entry = await start(id, ['entry', '--settings', path]);
      entries.push(entry);
      return entry;
    }

    async function startEndpoint(endpoint: TrialEndpoint) {
      const child = await start(endpoint.id, [
        'standin',
        endpoint.type,
        ...['--id', endpoint.id],
        ...['--service', endpoint.service],
        ...['--version', endpoint.version],
        ...['--failure-domain', endpoint.failureDomain],
        ...['--register', platformUrl],
        ...(endpoint.flags ?? []),
      ]);
      endpoints.set(endpoint.id, child);
      return child;
    }

    function createEntrySettings(id: string, failureDomain: string) {
      const listenAddress = {host: '127.0.0.1', port: 0};
      return {
        id,
        failureDomain,
        region: 'trial',
        callers: listenAddress,
        inner: listenAddress,
        admin: listenAddress,
        platform: {url: platformUrl},
        keys: {inner: {value: INNER_KEY}, admin: {value: TRIAL_ADMIN_KEY}},
        lingerMs: 200,
        ...options.settings,
      };
    }
  }
}

async function control(
  standin: TrialProcess,
  path: string,
  body?: unknown,
  method = body === undefined ? 'GET' : 'POST',
): Promise<unknown> {
  const response = await fetch(`${standin.ready['url']}/control/${path}`, {
    method,
    ...(body === undefined
      ? {}
      : {
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(body),
        }),
  });
  const text = await response.text();
  if (!response.ok) {
    throw new Error(
      `control request ${path} failed with ${response.status}: ${text}`,
    );
  }
  return text === '' ? undefined : JSON.parse(text);
}

function putCustomer(store: ObjectStore): Promise<unknown> {
  return store.put(
    'customer',
    'trial',
    {
      schema: 2,
      keys: [{sha256: CUSTOMER_KEY_HASH}],
      priority: {bestUrgency: 0, weight: 1},
      allow: 'all',
    },
    {type: 'any'},
  );
}
