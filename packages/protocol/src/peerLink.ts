/** State machine that dials one peer and redials it with backoff. */
import {createMachine, interpret, state, transition} from 'robot3';
import {type Clock, type Disposable, type Random} from '@skylarkfield/base';
import type {PeerAddress} from './contracts.js';

export type LinkState = 'idle' | 'dialing' | 'open' | 'waiting';

const linkMachine = createMachine('idle', {
  idle: state(transition('dial', 'dialing'), transition('opened', 'open')),
  dialing: state(transition('opened', 'open'), transition('failed', 'waiting')),
  open: state(transition('closed', 'waiting'), transition('opened', 'open')),
  waiting: state(
    transition('dial', 'dialing'),
    transition('opened', 'open'),
    transition('goIdle', 'idle'),
  ),
});

type LinkEvent = 'dial' | 'opened' | 'failed' | 'closed' | 'goIdle';

/** Link to one peer, which is kept connected or dialed on demand. */
export interface PeerLink extends Disposable {
  address: PeerAddress;
  /** Whether to stay connected; if false, the link dials only on demand. */
  isPersistent: boolean;
  state(): LinkState;
  /** Dials immediately unless a connection is open or being opened. */
  dial(): void;
  /** Must be called when a connection, dialed by either side, opens. */
  handleOpened(): void;
  /** Must be called when the connection closes or the dial fails. */
  handleClosed(): void;
}

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;

/**
 * Creates the link to a peer; `startDial` starts one connection attempt.
 *
 * @example
 * const link = createPeerLink({address, clock, random, startDial});
 */
export function createPeerLink(options: {
  readonly address: PeerAddress;
  readonly clock: Clock;
  readonly random: Random;
  startDial(link: PeerLink): void;
}): PeerLink {
  const {clock, random} = options;
  const interpreter = interpret(linkMachine, () => {});
  let failureCount = 0;
  let retryTimer: Disposable | undefined;
  let isDisposed = false;

  function currentState(): LinkState {
    return interpreter.machine.current as LinkState;
  }

  function send(event: LinkEvent) {
    interpreter.send(event);
  }

  /**
   * Exponential backoff with 50 % jitter, so that peers that lost the same
   * entry do not all redial at the same time.
   */
  function backoffMs(): number {
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** failureCount,
    );
    return maxDelayMs * (0.5 + random.next() / 2);
  }

  const link: PeerLink = {
    address: options.address,
    isPersistent: false,
    state: currentState,
    dial() {
      if (
        isDisposed ||
        currentState() === 'open' ||
        currentState() === 'dialing'
      ) {
        return;
      }
      retryTimer?.dispose();
      send('dial');
      options.startDial(link);
    },
    handleOpened() {
      retryTimer?.dispose();
      failureCount = 0;
      send('opened');
    },
    handleClosed() {
      send(currentState() === 'dialing' ? 'failed' : 'closed');
      retryTimer?.dispose();
      if (!link.isPersistent) {
        send('goIdle');
        return;
      }
      retryTimer = clock.after(backoffMs(), link.dial);
      failureCount += 1;
    },
    dispose() {
      isDisposed = true;
      retryTimer?.dispose();
    },
  };
  return link;
}
