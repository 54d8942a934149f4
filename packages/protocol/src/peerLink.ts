/** The way to one peer: dials, waits and dials again, as a state machine. */
import {createMachine, interpret, state, transition} from 'robot3';
import {type Clock, type Disposable, type Random} from '@skylarkfield/base';
import type {PeerAddress} from './contracts.js';

export type LinkState = 'idle' | 'dialing' | 'open' | 'waiting';

/** Every change that a link can make. */
const linkMachine = createMachine('idle', {
  idle: state(transition('dial', 'dialing'), transition('opened', 'open')),
  dialing: state(transition('opened', 'open'), transition('failed', 'waiting')),
  open: state(transition('closed', 'waiting'), transition('opened', 'open')),
  waiting: state(
    transition('dial', 'dialing'),
    transition('opened', 'open'),
    transition('rest', 'idle'),
  ),
});

type LinkEvent = 'dial' | 'opened' | 'failed' | 'closed' | 'rest';

/** Keeps one peer connected, or dials it on request. */
export interface PeerLink extends Disposable {
  address: PeerAddress;
  /** Stays connected when true; otherwise dials only on request. */
  isWanted: boolean;
  state(): LinkState;
  /** Dials now unless a connection is open or on its way. */
  dial(): void;
  /** A connection, dialled by either side, is open. */
  opened(): void;
  /** The connection closed, or the dial failed. */
  closed(): void;
}

const FIRST_BACKOFF_MS = 100;
const LAST_BACKOFF_MS = 5_000;

/**
 * Makes the link to a peer; `open` starts one dial.
 *
 * @example
 * const link = createPeerLink({address, clock, random, open: dialSocket});
 */
export function createPeerLink(options: {
  readonly address: PeerAddress;
  readonly clock: Clock;
  readonly random: Random;
  open(link: PeerLink): void;
}): PeerLink {
  const {clock, random} = options;
  const service = interpret(linkMachine, () => {});
  let failures = 0;
  let timer: Disposable | undefined;
  let isDisposed = false;

  function current(): LinkState {
    return service.machine.current as LinkState;
  }

  function send(event: LinkEvent) {
    service.send(event);
  }

  /** Half to all of a doubling span: peers that lost one entry do not return together. */
  function backoffMs(): number {
    const span = Math.min(LAST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failures);
    return span * (0.5 + random.next() / 2);
  }

  const link: PeerLink = {
    address: options.address,
    isWanted: false,
    state: current,
    dial() {
      if (isDisposed || current() === 'open' || current() === 'dialing') {
        return;
      }
      timer?.dispose();
      send('dial');
      options.open(link);
    },
    opened() {
      timer?.dispose();
      failures = 0;
      send('opened');
    },
    closed() {
      send(current() === 'dialing' ? 'failed' : 'closed');
      timer?.dispose();
      if (!link.isWanted) {
        send('rest');
        return;
      }
      timer = clock.after(backoffMs(), link.dial);
      failures += 1;
    },
    dispose() {
      isDisposed = true;
      timer?.dispose();
    },
  };
  return link;
}
