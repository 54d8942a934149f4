/** Handling of calls to plain services: version, admission and attempts. */
import {createHash} from 'node:crypto';
import {toServingError, type Clock, type DrainGuard} from '@skylarkfield/base';
import type {Permit} from '@skylarkfield/admission';
import type {ServiceCall} from '@skylarkfield/endpoints';
import type {SubmitResult} from '@skylarkfield/orders';
import type {Service} from '@skylarkfield/records';
import type {ServingContext} from '../servingContext.js';
import type {AttemptRunner} from './attemptRunner.js';
import type {Exchange} from './exchange.js';
import {toServiceHeaders} from './forwardedHeaders.js';
import {
  parseIdempotencyKey,
  parseRequestTimeoutMs,
  parseRequestUrgency,
} from './requestHeaders.js';
import {matchRoute} from './routes.js';
import {sendServiceReply} from './serviceReply.js';

export interface PlainServer {
  /** Forwards a call; `path` is the part of the URL after the service name. */
  serve(
    exchange: Exchange,
    service: Service,
    path: string,
    body: Uint8Array,
  ): Promise<void>;
}

interface PlainServerOptions {
  readonly serving: ServingContext;
  readonly attemptRunner: AttemptRunner;
  readonly drainGuard: DrainGuard;
  readonly clock: Clock;
}

/**
 * Creates the handler of calls to plain services.
 *
 * @example
 * await plainServer.serve(exchange, service, '/bookings?day=3', body);
 */
export function createPlainServer(options: PlainServerOptions): PlainServer {
  const {serving, attemptRunner, drainGuard, clock} = options;

  return {
    async serve(exchange, service, path, body) {
      const {headers} = exchange.request;
      const deadline =
        exchange.arrivedAt + parseRequestTimeoutMs(headers, service.timeoutMs);
      const call: ServiceCall = {
        method: exchange.request.method ?? 'GET',
        path,
        headers: toServiceHeaders(headers, exchange.customer.name, exchange.id),
        body,
      };
      const route = matchRoute(service, call.method, path);
      const idempotencyKey = parseIdempotencyKey(headers);
      const permit = await admitCall(exchange, service, deadline);
      const serveCall = route.isIdempotent
        ? () => serveIdempotent(exchange, service, call, route.label, deadline)
        : () => serveOrder(exchange, service, call, idempotencyKey, deadline);
      await runWithPermit(permit, serveCall);
    },
  };

  function admitCall(
    exchange: Exchange,
    service: Service,
    deadline: number,
  ): Promise<Permit> {
    const admissionRequest = {
      service: service.name,
      customer: exchange.customer.name,
      urgency: parseRequestUrgency(
        exchange.request.headers,
        exchange.customer.bestUrgency,
      ),
      deadline,
      cost: 1,
    };
    return drainGuard.admit(deadline, exchange.signal, signal =>
      serving.admission.admit(admissionRequest, signal),
    );
  }

  async function runWithPermit(
    permit: Permit,
    serveCall: () => Promise<void>,
  ): Promise<void> {
    const startedAt = clock.now();
    try {
      await serveCall();
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
    const version = serving.trafficSplit.versionFor({
      service: service.name,
      incumbent: service.version,
      session: sessionOf(exchange),
      isIdempotent: true,
    });
    const reply = await attemptRunner.runIdempotent(
      {
        service: service.name,
        version,
        incumbent: serving.trafficSplit.incumbentFor(
          service.name,
          service.version,
        ),
        route,
        call,
        deadline,
      },
      exchange.signal,
    );
    sendServiceReply(exchange.response, reply);
  }

  async function serveOrder(
    exchange: Exchange,
    service: Service,
    call: ServiceCall,
    idempotencyKey: string | undefined,
    deadline: number,
  ): Promise<void> {
    const result = await serving.ledger.submit(
      {
        customer: exchange.customer.name,
        service: service.name,
        key: idempotencyKey,
        fingerprint: fingerprintOf(service.name, call),
        call,
        deadline,
      },
      exchange.signal,
    );
    sendOrderResult(exchange, result);
  }
}

function sessionOf(exchange: Exchange): string {
  const session = exchange.request.headers['x-session-id'];
  return typeof session === 'string' ? session : exchange.customer.name;
}

/** Returns a digest that detects an idempotency key reused for another call. */
function fingerprintOf(service: string, call: ServiceCall): string {
  return createHash('sha256')
    .update(`${service}\n${call.method}\n${call.path}\n`)
    .update(call.body)
    .digest('hex');
}

function sendOrderResult(exchange: Exchange, result: SubmitResult): void {
  exchange.response.setHeader('Idempotent-Replayed', String(result.isReplay));
  if (result.hasNoKey) {
    exchange.response.setHeader(
      'Warning',
      '299 - "no Idempotency-Key: a retry of this request can not be recognised"',
    );
  }
  sendServiceReply(exchange.response, result.reply);
}
