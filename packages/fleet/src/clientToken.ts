/** Client tokens of host starts: they say whose a host is, whoever asks. */

const PREFIX = 'skylarkfield';

/** What a token of ours says. */
export interface HostOwner {
  readonly service: string;
}

/**
 * Makes the token of a start. Fencing number and sequence keep tokens of all
 * holders apart; a start that is repeated after a lost reply takes the same one.
 *
 * @example
 * makeClientToken('match', 7, 3); // 'skylarkfield/match/7/3'
 */
export function makeClientToken(
  service: string,
  fencing: number,
  sequence: number,
): string {
  return [PREFIX, service, fencing, sequence].join('/');
}

/**
 * Reads whose host a token names; undefined for tokens that are not ours.
 *
 * The cloud keeps the token with the host, so a host whose start's reply was
 * lost with its holder is recognised by the next one and neither paid for in
 * vain nor started again.
 *
 * @example
 * readClientToken(host.clientToken)?.service; // 'match'
 */
export function readClientToken(token: string): HostOwner | undefined {
  const [prefix, service, ...rest] = token.split('/');
  if (prefix !== PREFIX || !service || rest.length !== 2) {
    return undefined;
  }
  return {service};
}
