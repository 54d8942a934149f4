/** The way of a call to a plain service: version, admission, one or more attempts. */
import {createHash} from 'node:crypto';
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import type {Permit} from '@skylarkfield/admission';
import type {ServiceCall, ServiceResponse} from '@skylarkfield/endpoints';
import type {SubmitResult} from '@skylarkfield/orders';
import type {Service} from '@skylarkfield/records';
import type {Serving} from '../serving.js';
import type {Attempts} from './attempts.js';
import type {Exchange} from './exchange.js';
import {toCallerHeaders, toServiceHeaders} from './forwardedHeaders.js';
import {
  idempotencyKey,
  requestTimeout,
  requestUrgency,
} from './requestHeaders.js';
import {matchRoute} from './routes.js';

export interface PlainServer {
  /** Passes a call through; `path` is what follows the service's name, with its query. */
  serve(
    exchange: Exchange,
    service: Service,
    path: string,
    body: Uint8Array,
  ): Promise<void>;
}

interface PlainServerOptions {
  readonly serving: Serving;
  readonly attempts: Attempts;
  readonly clock: Clock;
}

/**
 * Makes the handler of calls to plain services.
 *
 * @example
 * await plain.serve(exchange, service, '/bookings?day=3', body);
 */
export function createPlainServer(options: PlainServerOptions): PlainServer {
  const {serving, attempts, clock} = options;

  return {
    async serve(exchange, service, path, body) {
      const {headers} = exchange.request;
      const deadline =
        exchange.arrivedAt + requestTimeout(headers, service.timeoutMs);
      const call: ServiceCall = {
        method: exchange.request.method ?? 'GET',
        path,
        headers: toServiceHeaders(headers, exchange.customer.name, exchange.id),
        body,
      };
      const route = matchRoute(service, call.method, path);
      const key = idempotencyKey(headers);
      const permit = await admit(exchange, service, deadline);
      const serve = route.isIdempotent
        ? () => serveIdempotent(exchange, service, call, route.label, deadline)
        : () => serveOrder(exchange, service, call, key, deadline);
      await withPermit(permit, serve);
    },
  };

  function admit(
    exchange: Exchange,
    service: Service,
    deadline: number,
  ): Promise<Permit> {
    const ask = {
      service: service.name,
      customer: exchange.customer.name,
      urgency: requestUrgency(
        exchange.request.headers,
        exchange.customer.bestUrgency,
      ),
      deadline,
      cost: 1,
    };
    return serving.admission.admit(ask, exchange.signal);
  }

  async function withPermit(
    permit: Permit,
    serve: () => Promise<void>,
  ): Promise<void> {
    const startedAt = clock.now();
    try {
      await serve();
      permit.release({outcome: 'ok', latencyMs: clock.now() - startedAt});
    } catch (error) {
      const {kind} = toServingError(error);
      const outcome = kind === 'cancelled' ? 'cancelled' : 'failed';
      permit.release({outcome, latencyMs: clock.now() - startedAt});
      throw error;
    }
  }

  async function serveIdempotent(
    exchange: Exchange,
    service: Service,
    call: ServiceCall,
    route: string,
    deadline: number,
  ): Promise<void> {
    const version = serving.split.versionFor({
      service: service.name,
      incumbent: service.version,
      session: sessionOf(exchange),
      isIdempotent: true,
    });
    const reply = await attempts.repeatable(
      {
        service: service.name,
        version,
        incumbent: serving.split.incumbentFor(service.name, service.version),
        route,
        call,
        deadline,
      },
      exchange.signal,
    );
    sendReply(exchange, reply);
  }

  async function serveOrder(
    exchange: Exchange,
    service: Service,
    call: ServiceCall,
    key: string | undefined,
    deadline: number,
  ): Promise<void> {
    const answer = await serving.ledger.submit(
      {
        customer: exchange.customer.name,
        service: service.name,
        key,
        fingerprint: fingerprintOf(service.name, call),
        call,
        deadline,
      },
      exchange.signal,
    );
    sendOrderAnswer(exchange, answer);
  }
}

function sessionOf(exchange: Exchange): string {
  const session = exchange.request.headers['x-session-id'];
  return typeof session === 'string' ? session : exchange.customer.name;
}

/** The same key with another fingerprint is another request, and refused. */
function fingerprintOf(service: string, call: ServiceCall): string {
  return createHash('sha256')
    .update(`${service}\n${call.method}\n${call.path}\n`)
    .update(call.body)
    .digest('hex');
}

function sendReply(exchange: Exchange, reply: ServiceResponse): void {
  const {response} = exchange;
  if (response.destroyed) {
    throw new ServingError('cancelled', 'the caller went away');
  }
  response.writeHead(reply.status, {
    ...toCallerHeaders(reply.headers),
    'content-length': String(reply.body.byteLength),
  });
  response.end(reply.body);
}

function sendOrderAnswer(exchange: Exchange, answer: SubmitResult): void {
  exchange.response.setHeader('Idempotent-Replayed', String(answer.isReplay));
  if (answer.isUnkeyed) {
    exchange.response.setHeader(
      'Warning',
      '299 - "no Idempotency-Key: a retry of this request can not be recognised"',
    );
  }
  sendReply(exchange, answer.reply);
}
