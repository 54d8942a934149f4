/**
 * Recovery after a pause of this process. After a pause, peers appear silent
 * because their heartbeats were not read. Without recovery, live members would
 * be declared gone and callers routed away from them.
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
  /**
   * Checks whether a pause has just ended; must run first on every timer tick.
   */
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
  readonly memberObjects: MemberObjects;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): PauseRecovery {
  const {id, pauseDetector, table, failureDetector, memberObjects} = options;
  const {network, clock, decisions} = options;

  /**
   * Restarts the silence timeouts of all members, since the pause of this
   * process caused the silence.
   */
  function restartSilenceTimeouts(pauseMs: number) {
    const now = clock.now();
    decisions.recordDecision('members', id, 'hold back', 'process was paused', {
      pauseMs: Math.round(pauseMs),
    });
    for (const knownMember of table.all()) {
      knownMember.lastSeenAt = now;
    }
  }

  /** Probes peers and the platform; any response makes this process current. */
  async function confirmStateIsCurrent(): Promise<void> {
    const requestedAt = clock.now();
    // Without other members, no other process can have taken over work.
    if (table.presentMembers().length === 0) {
      pauseDetector.recordResponse(requestedAt);
      return;
    }
    const peers = network.connectedPeers().slice(0, MAX_PROBES);
    const answers = peers.map(async peer => {
      const isAnswered = await failureDetector.probe(peer);
      if (isAnswered) {
        pauseDetector.recordResponse(requestedAt);
      }
      return isAnswered;
    });
    const hasPeerAnswered = (await Promise.all(answers)).includes(true);
    // A call to the platform is billed, so it is made only if no peer answers.
    if (!hasPeerAnswered && (await memberObjects.isPlatformReachable())) {
      pauseDetector.recordResponse(requestedAt);
    }
  }

  return {
    check() {
      const pauseMs = pauseDetector.tick();
      if (pauseMs > 0) {
        restartSilenceTimeouts(pauseMs);
      }
      if (!pauseDetector.isCurrent()) {
        void confirmStateIsCurrent();
      }
    },
  };
}
