/** Which headers pass through to and from a plain service. */

/** Headers that concern one connection only (RFC 9110, section 7.6.1), plus those that the client sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Header values as they come from an HTTP library. */
export type RawHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/**
 * Drops the headers that concern one connection only, also those that the
 * `Connection` header names; several values of one name are joined.
 *
 * @example
 * passedHeaders({connection: 'x-hop', 'x-hop': '1', accept: '*'}); // {accept: '*'}
 */
export function passedHeaders(headers: RawHeaders): Record<string, string> {
  const dropped = connectionOptions(headers);
  const passed: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase();
    if (value === undefined || dropped.has(lowerName)) {
      continue;
    }
    passed[lowerName] = typeof value === 'string' ? value : value.join(', ');
  }
  return passed;
}

function connectionOptions(headers: RawHeaders): ReadonlySet<string> {
  const dropped = new Set(CONNECTION_HEADERS);
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection' || value === undefined) {
      continue;
    }
    const options = typeof value === 'string' ? value : value.join(',');
    options.split(',').forEach(option => {
      dropped.add(option.trim().toLowerCase());
    });
  }
  return dropped;
}
