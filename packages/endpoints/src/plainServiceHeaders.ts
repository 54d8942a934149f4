/** Selection of the headers that are forwarded to and from a plain service. */

/** Hop-by-hop headers (RFC 9110, 7.6.1) and headers set by the HTTP client. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Header values as returned by an HTTP library. */
export type RawHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/**
 * Removes hop-by-hop headers, including those listed in the `Connection`
 * header; multiple values of one header are joined.
 *
 * @example
 * // Returns {accept: '*'}.
 * removeHopByHopHeaders({connection: 'x-hop', 'x-hop': '1', accept: '*'});
 */
export function removeHopByHopHeaders(
  headers: RawHeaders,
): Record<string, string> {
  const droppedNames = hopByHopNames(headers);
  const forwardedHeaders: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase();
    if (value === undefined || droppedNames.has(lowerName)) {
      continue;
    }
    forwardedHeaders[lowerName] =
      typeof value === 'string' ? value : value.join(', ');
  }
  return forwardedHeaders;
}

function hopByHopNames(headers: RawHeaders): ReadonlySet<string> {
  const droppedNames = new Set(HOP_BY_HOP_HEADERS);
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection' || value === undefined) {
      continue;
    }
    const connectionOptions =
      typeof value === 'string' ? value : value.join(',');
    connectionOptions.split(',').forEach(option => {
      droppedNames.add(option.trim().toLowerCase());
    });
  }
  return droppedNames;
}
