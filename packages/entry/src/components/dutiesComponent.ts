/** Control duties that this entry performs while it holds their leases. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import {createDutyElections, type DutyElections} from '@skylarkfield/duties';
import {createAcceptanceController} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {MembersComponent} from './membersComponent.js';
import type {PlatformComponent} from './platformComponent.js';
import type {RecordsComponent} from './recordsComponent.js';

interface DutiesComponentOptions {
  readonly platform: PlatformComponent;
  readonly members: MembersComponent;
  readonly records: RecordsComponent;
}

/**
 * Takes part in the lease elections; each duty runs at one entry at a time.
 *
 * @example
 * const duties = createDutiesComponent(context, {platform, members, records});
 */
export function createDutiesComponent(
  context: EntryContext,
  options: DutiesComponentOptions,
): DutyElections & Disposable {
  const {clock, random, log, decisions, dumps} = context;
  const {platform, members, records} = options;
  const {membership} = members;
  const disposables = createDisposableStore();
  const duties = disposables.add(
    createDutyElections({
      clock,
      random,
      store: platform.objectStore,
      self: membership.self,
      members: () => membership.liveMembers().map(member => member.id),
      log,
      decisions,
    }),
  );
  dumps.add('duties', () => duties.dump());
  disposables.add(
    duties.compete('acceptance', term => {
      const acceptance = createAcceptanceController({
        clock,
        random,
        store: platform.objectStore,
        log,
        decisions,
        canAct: () => term.isValid(),
        onDidAccept: (key, object) =>
          records.configuration.applyAccepted(key, object),
        membersLacking: versions =>
          records.configuration.membersLacking(versions),
      });
      const dumpRegistration = dumps.add('acceptance', () => acceptance.dump());
      return {
        dispose() {
          dumpRegistration.dispose();
          acceptance.dispose();
        },
      };
    }),
  );
  return {...duties, dispose: () => disposables.dispose()};
}
