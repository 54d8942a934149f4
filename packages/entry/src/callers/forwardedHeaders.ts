/** Filters of the headers forwarded to plain services and back to callers. */
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Headers of a single connection: hop-by-hop headers (RFC 9110, 7.6.1) and
 * headers that the entry sets itself.
 */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

/** Headers consumed by the entry; services must not receive customers' keys. */
const CONSUMED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'x-request-timeout-ms',
]);

/**
 * Returns the headers to forward to a service.
 *
 * @example
 * toServiceHeaders(request.headers, customer.name, exchange.id);
 */
export function toServiceHeaders(
  headers: IncomingHttpHeaders,
  customer: string,
  requestId: string,
): Record<string, string> {
  const forwardedHeaders: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isDropped(name, headers)) {
      continue;
    }
    forwardedHeaders[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  forwardedHeaders['x-customer'] = customer;
  forwardedHeaders['x-request-id'] = requestId;
  return forwardedHeaders;
}

/**
 * Returns the headers to return to the caller.
 *
 * @example
 * response.writeHead(reply.status, toCallerHeaders(reply.headers));
 */
export function toCallerHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const forwardedHeaders = Object.entries(headers).filter(
    ([name]) => !CONNECTION_HEADERS.has(name.toLowerCase()),
  );
  return Object.fromEntries(forwardedHeaders);
}

/**
 * Returns whether a request header is not forwarded; true also for headers that
 * the `Connection` header lists.
 */
function isDropped(name: string, headers: IncomingHttpHeaders): boolean {
  if (CONNECTION_HEADERS.has(name) || CONSUMED_HEADERS.has(name)) {
    return true;
  }
  const connectionOptions = (headers.connection ?? '')
    .toLowerCase()
    .split(/\s*,\s*/);
  return connectionOptions.includes(name);
}
