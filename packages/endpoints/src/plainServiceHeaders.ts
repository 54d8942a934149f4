/** Selection of the headers that are forwarded to and from a plain service. */

/** Hop-by-hop headers (RFC 9110, 7.6.1), and those the HTTP client sets. */
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
  const dropped = hopByHopNames(headers);
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase();
    if (value === undefined || dropped.has(lowerName)) {
      continue;
    }
    forwarded[lowerName] = typeof value === 'string' ? value : value.join(', ');
  }
  return forwarded;
}

function hopByHopNames(headers: RawHeaders): ReadonlySet<string> {
  const dropped = new Set(HOP_BY_HOP_HEADERS);
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
