/** States of an election and the transitions between them. */
import {createMachine, state, transition} from 'robot3';

/**
 * Creates the state machine of one election.
 *
 * @example
 * const interpreter = interpret(createElectionMachine(), () => {});
 */
export function createElectionMachine() {
  const endTransitions = [transition('end', 'ended')] as const;
  return createMachine('standby', {
    standby: state(transition('compete', 'watching'), ...endTransitions),
    watching: state(
      transition('stepBack', 'standby'),
      transition('acquire', 'acquiring'),
      ...endTransitions,
    ),
    acquiring: state(
      transition('acquired', 'held'),
      transition('fail', 'watching'),
      ...endTransitions,
    ),
    held: state(
      transition('lose', 'watching'),
      transition('release', 'releasing'),
      ...endTransitions,
    ),
    releasing: state(...endTransitions),
    ended: state(),
  });
}
