/** Flags and registration shared by the endpoint stand-ins. */
import {Flags} from '@oclif/core';
import type {EndpointType, ListedEndpoint} from '@skylarkfield/providers';
import {requestJson} from './input.js';

export const listenFlags = {
  host: Flags.string({
    default: '127.0.0.1',
    description: 'address to listen on',
  }),
  port: Flags.integer({
    default: 0,
    min: 0,
    max: 65_535,
    description: 'port to listen on; 0 picks a free port',
  }),
};

export const standinFlags = {
  ...listenFlags,
  service: Flags.string({
    required: true,
    description: 'service of the endpoint',
  }),
  version: Flags.string({
    default: 'v1',
    description: 'version of the endpoint',
  }),
  id: Flags.string({
    required: true,
    description: 'id of the endpoint in the host list',
  }),
  'failure-domain': Flags.string({
    default: 'a',
    description: 'failure domain of the host',
  }),
  'machine-host': Flags.string({
    description: 'host in the host list; defaults to the id of the endpoint',
  }),
  'checks-fencing': Flags.boolean({
    default: false,
    description: 'reject orders with an outdated fencing token',
  }),
  register: Flags.string({
    description:
      'address of the platform stand-in to register the endpoint with',
  }),
};

interface Registration {
  readonly platformUrl: string | undefined;
  readonly type: EndpointType;
  readonly url: string;
  readonly flags: {
    readonly id: string;
    readonly service: string;
    readonly version: string;
    readonly 'failure-domain': string;
    readonly 'machine-host'?: string | undefined;
    readonly 'checks-fencing': boolean;
  };
}

/**
 * Registers a stand-in in the host list. Stops the stand-in if the registration
 * fails, because the process would keep listening without being listed.
 *
 * @example
 * await registerOrStop(standin, {platformUrl, type: 'model', url, flags});
 */
export async function registerOrStop(
  standin: {stop(): Promise<void>},
  registration: Registration,
): Promise<void> {
  try {
    await registerEndpoint(registration);
  } catch (error) {
    await standin.stop();
    throw error;
  }
}

/**
 * Adds an endpoint to the host list of the platform stand-in, as a cloud does.
 * Does nothing if `platformUrl` is undefined.
 */
async function registerEndpoint(registration: Registration): Promise<void> {
  const {platformUrl, flags} = registration;
  if (platformUrl === undefined) {
    return;
  }
  const endpoint: ListedEndpoint = {
    id: flags.id,
    type: registration.type,
    service: flags.service,
    version: flags.version,
    url: registration.url,
    host: flags['machine-host'] ?? flags.id,
    failureDomain: flags['failure-domain'],
    machineClass: 'standard',
    checksFencing: flags['checks-fencing'],
    state: 'live',
  };
  await requestJson(`${platformUrl}/control/endpoints`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(endpoint),
  });
}
