/** The listening ports of a gateway and their handlers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {disposableStore, type Disposable} from '@skylarkfield/base';
import type {Coordination} from './coordination.js';
import {MS_PER_SECOND, type GatewayContext} from './context.js';
import {openPort} from './listeners.js';
import {selectEntries} from './lookup.js';
import {createStatusHandler} from './statusPages.js';
import type {TrafficPipeline} from './trafficPipeline.js';

/** Maximum TTL of lookups, in milliseconds, to drop failed entries soon. */
const MAX_LOOKUP_TTL_MS = 2_000;

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;
const NOT_FOUND_STATUS = 404;

/**
 * Opens all ports. Throws `bad-settings` if a port cannot be opened, after
 * closing the open ports, which would otherwise still accept callers.
 *
 * @example
 * const ports = disposables.add(await openPorts(context, coordination, traffic));
 */
export async function openPorts(
  context: GatewayContext,
  {membership}: Coordination,
  {policy, handler}: TrafficPipeline,
): Promise<Disposable> {
  const {settings, platform, lifecycle} = context;
  const {lookups} = platform;

  function isReady(): boolean {
    return lifecycle.state() === 'serving' && policy.isKnown();
  }

  function answerReadiness(request: IncomingMessage, response: ServerResponse) {
    const status = isReady() ? READY_STATUS : NOT_READY_STATUS;
    sendStatus(
      response,
      lookups.isReadiness(request.url ?? '') ? status : NOT_FOUND_STATUS,
    );
  }

  function answerLookup(request: IncomingMessage, response: ServerResponse) {
    const query = lookups.parseLookup(request.url ?? '');
    if (query === undefined) {
      sendStatus(response, NOT_FOUND_STATUS);
      return;
    }
    const members = membership
      .live()
      .filter(({id}) => isReady() || id !== settings.id);
    const callerAddress = request.socket.remoteAddress ?? '';
    const addresses = selectEntries(
      members,
      query.failureDomain,
      callerAddress,
    );
    if (addresses.length === 0) {
      sendStatus(response, NOT_READY_STATUS);
      return;
    }
    const ttlMs = Math.min(
      MAX_LOOKUP_TTL_MS,
      settings.lookupSeconds * MS_PER_SECOND,
    );
    response.setHeader('content-type', 'application/json');
    response.end(lookups.writeAnswer(addresses, ttlMs));
  }

  const ports = disposableStore();
  try {
    ports.add(await openPort(settings.lookup, answerLookup));
    ports.add(await openPort(settings.readiness, answerReadiness));
    ports.add(await openPort(settings.status, createStatusHandler(context)));
    const callers = await openPort(
      settings.callers,
      (request, response) => void handler.handle(request, response),
      'limited',
    );
    ports.add(callers);
    policy.onDidChange(() => callers.setLimits(policy.limits()));
    callers.setLimits(policy.limits());
    return ports;
  } catch (error) {
    ports.dispose();
    throw error;
  }
}

function sendStatus(response: ServerResponse, status: number): void {
  response.statusCode = status;
  response.end();
}
