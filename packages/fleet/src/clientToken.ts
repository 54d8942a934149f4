/**
 * Client tokens of host starts, which identify the service that owns a host.
 */

const TOKEN_PREFIX = 'skylarkfield';

/** Owner of a host, decoded from its client token. */
export interface HostOwner {
  readonly service: string;
}

/**
 * Creates the token of a start. Fencing token and sequence number make it
 * unique across holders; a retry after a lost reply reuses it.
 *
 * @example
 * makeClientToken('match', 7, 3); // 'skylarkfield/match/7/3'
 */
export function makeClientToken(
  service: string,
  fencing: number,
  sequence: number,
): string {
  return [TOKEN_PREFIX, service, fencing, sequence].join('/');
}

/**
 * Decodes the owner of a host; undefined for tokens of other software.
 *
 * The cloud stores the token with the host. A new holder of the duty thus finds
 * a host whose start reply an earlier holder did not receive, and neither leaks
 * that host nor starts another.
 *
 * @example
 * readClientToken(host.clientToken)?.service; // 'match'
 */
export function readClientToken(token: string): HostOwner | undefined {
  const [prefix, service, ...rest] = token.split('/');
  if (prefix !== TOKEN_PREFIX || !service || rest.length !== 2) {
    return undefined;
  }
  return {service};
}
