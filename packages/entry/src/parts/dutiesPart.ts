/** The control work that this entry does while it holds the lease for it. */
import {disposableStore, type Disposable} from '@skylarkfield/base';
import {createDutyElections, type DutyElections} from '@skylarkfield/duties';
import {createAcceptanceController} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {MembersPart} from './membersPart.js';
import type {PlatformPart} from './platformPart.js';
import type {RecordsPart} from './recordsPart.js';

interface DutiesOptions {
  readonly platform: PlatformPart;
  readonly members: MembersPart;
  readonly records: RecordsPart;
}

/**
 * Competes for the duties; each runs on one entry at a time.
 *
 * @example
 * const duties = createDutiesPart(context, {platform, members, records});
 */
export function createDutiesPart(
  context: EntryContext,
  options: DutiesOptions,
): DutyElections & Disposable {
  const {clock, random, log, decisions, dumps} = context;
  const {platform, members, records} = options;
  const {membership} = members;
  const owned = disposableStore();
  const duties = owned.add(
    createDutyElections({
      clock,
      random,
      store: platform.store,
      self: membership.self,
      members: () => membership.live().map(member => member.id),
      log,
      decisions,
    }),
  );
  dumps.add('duties', () => duties.dump());
  owned.add(
    duties.compete('acceptance', tenure => {
      const acceptance = createAcceptanceController({
        clock,
        random,
        store: platform.store,
        log,
        decisions,
        canAct: () => tenure.isValid(),
        onDidAccept: (key, object) =>
          records.configuration.applyAccepted(key, object),
        membersLacking: versions =>
          records.configuration.membersLacking(versions),
      });
      const shown = dumps.add('acceptance', () => acceptance.dump());
      return {
        dispose() {
          shown.dispose();
          acceptance.dispose();
        },
      };
    }),
  );
  return {...duties, dispose: () => owned.dispose()};
}
