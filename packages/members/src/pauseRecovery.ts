/**
 * What is done after a pause of this process. The others seem silent then
 * because nobody here listened: judged by it, live members would be dropped and
 * callers sent elsewhere.
 */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {MemberObjects} from './memberObjects.js';
import type {MemberTable} from './memberTable.js';
import type {SilenceDetector} from './silence.js';
import type {WakeGuard} from './wakeGuard.js';

/** Peers asked at once after a pause. */
const WAKE_PROBES = 3;

export interface PauseRecovery {
  /** Looks for a pause that just ended; call it first with every timer run. */
  check(): void;
}

/**
 * Makes the recovery of one entry.
 *
 * @example
 * const recovery = createPauseRecovery({id, guard, table, ...rest});
 * recovery.check();
 */
export function createPauseRecovery(options: {
  readonly id: string;
  readonly guard: WakeGuard;
  readonly table: MemberTable;
  readonly silence: SilenceDetector;
  readonly objects: MemberObjects;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): PauseRecovery {
  const {id, guard, table, silence, objects} = options;
  const {network, clock, decisions} = options;

  /** The silence during a pause was ours: nobody is judged by it. */
  function forgiveSilence(pauseMs: number) {
    const now = clock.now();
    decisions.note('members', id, 'hold back', 'was paused', {
      pauseMs: Math.round(pauseMs),
    });
    for (const known of table.all()) {
      known.heardAt = now;
    }
  }

  async function confirmCurrent(): Promise<void> {
    const askedAt = clock.now();
    // Without others nobody can have acted while this process was paused.
    if (table.present().length === 0) {
      guard.confirm(askedAt);
      return;
    }
    const reachable = objects.confirmReachable();
    const peers = network.connected().slice(0, WAKE_PROBES);
    const answers = [...peers.map(peer => silence.probe(peer)), reachable];
    for (const answer of answers) {
      void answer.then(isAnswered => {
        if (isAnswered) {
          guard.confirm(askedAt);
        }
      });
    }
    await Promise.all(answers);
  }

  return {
    check() {
      const pauseMs = guard.tick();
      if (pauseMs > 0) {
        forgiveSilence(pauseMs);
      }
      if (!guard.isCurrent()) {
        void confirmCurrent();
      }
    },
  };
}
