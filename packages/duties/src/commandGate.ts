/**
 * Delays commands to endpoints that do not check fencing tokens.
 *
 * An endpoint without token checks would execute a delayed command of the
 * previous holder and thereby undo a command of the new holder. Each command
 * has a deadline after which its sender abandons it, so a new holder waits
 * until the deadlines of all commands of the previous holder have passed.
 */
import type {Clock} from '@skylarkfield/base';
import type {DutyTerm} from './contracts.js';
import {DEFAULT_LEASE_TIMING} from './lease.js';

/** Decides when a new holder may send commands to an endpoint. */
export interface CommandGate {
  /** Returns whether a command may be sent to the endpoint now. */
  isOpen(endpoint: {readonly checksFencing: boolean}): boolean;
  /**
   * Returns the milliseconds until commands may be sent to endpoints that do
   * not check fencing tokens.
   */
  msUntilOpen(): number;
}

/**
 * Creates the command gate of a term.
 *
 * @param options.commandDeadlineMs Maximum time from sending a command
 *   to its deadline, in milliseconds.
 * @example
 * const gate = createCommandGate({clock, term, commandDeadlineMs: 5000});
 * if (gate.isOpen(endpoint)) { await engine.sendCommand(command); }
 */
export function createCommandGate(options: {
  readonly clock: Clock;
  readonly term: DutyTerm;
  readonly commandDeadlineMs: number;
  readonly marginMs?: number;
}): CommandGate {
  const {clock, term, commandDeadlineMs} = options;
  const marginMs = options.marginMs ?? DEFAULT_LEASE_TIMING.marginMs;
  const opensAt = term.acquiredAt + commandDeadlineMs + marginMs;

  function msUntilOpen(): number {
    return Math.max(0, opensAt - clock.now());
  }

  return {
    msUntilOpen,
    isOpen: endpoint =>
      term.isValid() && (endpoint.checksFencing || msUntilOpen() === 0),
  };
}
