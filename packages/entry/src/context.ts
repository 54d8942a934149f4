/** Dependencies shared by the components of an entry process. */
import type {
  Clock,
  DecisionLog,
  DumpRegistry,
  Logger,
  Meter,
  Random,
} from '@skylarkfield/base';
import type {EntrySettings} from './settings.js';

export interface EntryContext {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly meter: Meter;
  readonly dumps: DumpRegistry;
}
