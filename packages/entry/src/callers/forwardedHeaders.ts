/** Which headers are passed on to plain services, and back. */
import type {IncomingHttpHeaders} from 'node:http';

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those the entry sets itself. */
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

/** What the entry has used up; a service has no business with customers' keys. */
const CONSUMED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'x-request-timeout-ms',
]);

/**
 * Headers of a caller's request as the service gets them.
 *
 * @example
 * const headers = toServiceHeaders(request.headers, customer.name, exchange.id);
 */
export function toServiceHeaders(
  headers: IncomingHttpHeaders,
  customer: string,
  requestId: string,
): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isDropped(name, headers)) {
      continue;
    }
    passed[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  passed['x-customer'] = customer;
  passed['x-request-id'] = requestId;
  return passed;
}

/**
 * Headers of a service's reply as the caller gets them.
 *
 * @example
 * response.writeHead(reply.status, toCallerHeaders(reply.headers));
 */
export function toCallerHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const entries = Object.entries(headers).filter(
    ([name]) => !CONNECTION_HEADERS.has(name.toLowerCase()),
  );
  return Object.fromEntries(entries);
}

function isDropped(name: string, headers: IncomingHttpHeaders): boolean {
  if (CONNECTION_HEADERS.has(name) || CONSUMED_HEADERS.has(name)) {
    return true;
  }
  const named = (headers.connection ?? '').toLowerCase().split(/\s*,\s*/);
  return named.includes(name);
}
