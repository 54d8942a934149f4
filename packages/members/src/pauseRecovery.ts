/**
 * Recovery after a pause of this process. Peers appear silent because their
 * heartbeats were not read; without recovery, live members would be declared
 * gone and callers routed away from them.
 */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {MemberObjects} from './memberObjects.js';
import type {MemberTable} from './memberTable.js';
import type {FailureDetector} from './failureDetector.js';
import type {PauseDetector} from './pauseDetector.js';

/** Maximum number of peers probed concurrently after a pause. */
const MAX_PROBES = 3;

/** Detects pauses of this process and recovers from them. */
export interface PauseRecovery {
  /** Checks for a pause that just ended; must run first on every timer tick. */
  check(): void;
}

/**
 * Creates the pause recovery of one entry.
 *
 * @example
 * const pauseRecovery = createPauseRecovery({id, pauseDetector, ...rest});
 * pauseRecovery.check();
 */
export function createPauseRecovery(options: {
  readonly id: string;
  readonly pauseDetector: PauseDetector;
  readonly table: MemberTable;
  readonly failureDetector: FailureDetector;
  readonly objects: MemberObjects;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): PauseRecovery {
  const {id, pauseDetector, table, failureDetector, objects} = options;
  const {network, clock, decisions} = options;

  /** Restarts the silence timeout of all members, as the pause was local. */
  function resetSilence(pauseMs: number) {
    const now = clock.now();
    decisions.note('members', id, 'hold back', 'process was paused', {
      pauseMs: Math.round(pauseMs),
    });
    for (const known of table.all()) {
      known.lastSeenAt = now;
    }
  }

  async function confirmCurrent(): Promise<void> {
    const requestedAt = clock.now();
    // Without other members no process can have acted during the pause.
    if (table.present().length === 0) {
      pauseDetector.confirm(requestedAt);
      return;
    }
    const platformAnswer = objects.isPlatformReachable();
    const peers = network.connectedPeers().slice(0, MAX_PROBES);
    const answers = [
      ...peers.map(peer => failureDetector.probe(peer)),
      platformAnswer,
    ];
    for (const answer of answers) {
      void answer.then(isAnswered => {
        if (isAnswered) {
          pauseDetector.confirm(requestedAt);
        }
      });
    }
    await Promise.all(answers);
  }

  return {
    check() {
      const pauseMs = pauseDetector.tick();
      if (pauseMs > 0) {
        resetSilence(pauseMs);
      }
      if (!pauseDetector.isCurrent()) {
        void confirmCurrent();
      }
    },
  };
}
