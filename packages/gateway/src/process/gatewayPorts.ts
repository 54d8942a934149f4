/** The listening ports of a gateway and their handlers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {Coordination} from './coordination.js';
import {MS_PER_SECOND, type GatewayContext} from '../context.js';
import {openPort} from './listeners.js';
import {selectEntries} from '../callers/lookup.js';
import {createStatusHandler} from './statusPages.js';
import type {TrafficPipeline} from '../trafficPipeline.js';

/**
 * Maximum time for which callers may cache the response to a lookup, in
 * milliseconds, so that they soon stop using failed entries.
 */
const MAX_LOOKUP_TTL_MS = 2_000;

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;
const NOT_FOUND_STATUS = 404;

/**
 * Opens all ports. Throws `bad-settings` if a port cannot be opened, after
 * closing the ports opened before, which would otherwise continue to accept
 * callers.
 *
 * @example
 * disposables.add(await openPorts(context, coordination, traffic));
 */
export async function openPorts(
  context: GatewayContext,
  {membership}: Coordination,
  {policy, readiness, handler}: TrafficPipeline,
): Promise<Disposable> {
  const {settings, platform, lifecycle, log} = context;
  const {lookupFormat} = platform;

  function isReady(): boolean {
    return lifecycle.state() === 'serving' && readiness.isReady();
  }

  function answerReadiness(request: IncomingMessage, response: ServerResponse) {
    const status = isReady() ? READY_STATUS : NOT_READY_STATUS;
    sendStatus(
      response,
      lookupFormat.isReadinessCheck(request.url ?? '')
        ? status
        : NOT_FOUND_STATUS,
    );
  }

  function answerLookup(request: IncomingMessage, response: ServerResponse) {
    const query = lookupFormat.parseLookup(request.url ?? '');
    if (query === undefined) {
      sendStatus(response, NOT_FOUND_STATUS);
      return;
    }
    const members = membership
      .liveMembers()
      .filter(({id}) => isReady() || id !== settings.id);
    const callerAddress = request.socket.remoteAddress ?? '';
    const addresses = selectEntries(members, {
      ...query,
      address: callerAddress,
    });
    if (addresses.length === 0) {
      sendStatus(response, NOT_READY_STATUS);
      return;
    }
    const ttlMs = Math.min(
      MAX_LOOKUP_TTL_MS,
      settings.lookupSeconds * MS_PER_SECOND,
    );
    response.setHeader('content-type', 'application/json');
    response.end(lookupFormat.formatLookupResponse(addresses, ttlMs));
  }

  const disposables = createDisposableStore();
  try {
    disposables.add(await openPort(settings.lookup, answerLookup, log));
    disposables.add(await openPort(settings.readiness, answerReadiness, log));
    disposables.add(
      await openPort(settings.status, createStatusHandler(context), log),
    );
    const callerPort = await openPort(
      settings.callers,
      (request, response) => void handler.handle(request, response),
      log,
      'limited',
    );
    disposables.add(callerPort);
    const applyLimits = () => {
      callerPort.setLimits(policy.limits());
      context.requestBodies.setLimits(policy.limits());
    };
    policy.onDidChange(applyLimits);
    applyLimits();
    return disposables;
  } catch (error) {
    disposables.dispose();
    throw error;
  }
}

function sendStatus(response: ServerResponse, status: number): void {
  response.statusCode = status;
  response.end();
}
