/** Flags and registration that the endpoint stand-ins share. */
import {Flags} from '@oclif/core';
import type {EndpointType, ListedEndpoint} from '@skylarkfield/providers';
import {callForJson} from './jsonInput.js';

export const listenFlags = {
  host: Flags.string({
    default: '127.0.0.1',
    description: 'address to listen on',
  }),
  port: Flags.integer({
    default: 0,
    min: 0,
    max: 65_535,
    description: 'port to listen on; 0 takes any',
  }),
};

export const standinFlags = {
  ...listenFlags,
  service: Flags.string({
    required: true,
    description: 'service that it is an endpoint of',
  }),
  version: Flags.string({default: 'v1', description: 'version that it serves'}),
  id: Flags.string({required: true, description: 'id in the host list'}),
  'failure-domain': Flags.string({
    default: 'a',
    description: 'failure domain of its host',
  }),
  'machine-host': Flags.string({
    description: 'host in the host list; the id when absent',
  }),
  'checks-fencing': Flags.boolean({
    default: false,
    description: 'refuse orders with an old fencing number',
  }),
  register: Flags.string({
    description:
      'address of the platform stand-in whose host list should name it',
  }),
};

interface Registration {
  readonly platform: string | undefined;
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
 * Registers a stand-in and stops it when that fails: a process that listens but
 * is on no list would stay up without anyone knowing of it.
 *
 * @example
 * await registerOrStop(standin, {platform, type: 'model', url, flags});
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
 * Puts an endpoint on the host list of the platform stand-in, as the cloud
 * would. Does nothing without a platform.
 */
async function registerEndpoint(registration: Registration): Promise<void> {
  const {platform, flags} = registration;
  if (platform === undefined) {
    return;
  }
  const listed: ListedEndpoint = {
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
  await callForJson(`${platform}/control/endpoints`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(listed),
  });
}
