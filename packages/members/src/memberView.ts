/** Conversion of member updates to the public `Member` type. */
import type {MemberUpdate} from '@skylarkfield/protocol';
import type {Member, MemberState} from './contracts.js';

/**
 * Combines the last update of a member with its state and load as seen by this
 * entry.
 *
 * @example
 * const member = buildMember(update, machine.state(), load);
 */
export function buildMember(
  update: MemberUpdate,
  state: MemberState,
  load: number,
): Member {
  const {
    id,
    incarnation,
    callerUrl,
    innerUrl,
    failureDomain,
    region,
    cores,
    unreachableServices,
  } = update;
  return {
    id,
    incarnation,
    state,
    callerUrl,
    innerUrl,
    failureDomain,
    region,
    load,
    ...(cores !== undefined && {cores}),
    ...(unreachableServices !== undefined && {unreachableServices}),
  };
}
