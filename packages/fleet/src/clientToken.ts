/**
 * Client tokens of host starts, which identify the service that owns a host.
 */

const TOKEN_PREFIX = 'skylarkfield';

/** Owner of a host, decoded from its client token. */
export interface HostOwner {
  readonly service: string;
}

/**
 * Creates the client token of a host start. Fencing token and sequence number
 * make the client token unique across holders of the duty; a retry after a lost
 * reply reuses the client token.
 *
 * @example
 * formatClientToken('match', 7, 3); // 'skylarkfield/match/7/3'
 */
export function formatClientToken(
  service: string,
  fencing: number,
  sequence: number,
): string {
  return [TOKEN_PREFIX, service, fencing, sequence].join('/');
}

/**
 * Decodes the owner of a host from its client token; undefined for tokens of
 * other software.
 *
 * The cloud stores the token with the host. A new holder of the duty thus finds
 * a host whose start reply an earlier holder did not receive. The new holder
 * neither leaks that host nor starts another one in its place.
 *
 * @example
 * parseClientToken(host.clientToken)?.service; // 'match'
 */
export function parseClientToken(token: string): HostOwner | undefined {
  const [prefix, service, ...numberParts] = token.split('/');
  if (prefix !== TOKEN_PREFIX || !service || numberParts.length !== 2) {
    return undefined;
  }
  return {service};
}
