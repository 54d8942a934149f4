/**
 * Follows one kind of objects across disconnects, compaction and outages.
 *
 * A watch that ends is resumed after the last delivered version. When the
 * platform has compacted the changes since then, the kind is listed again, so
 * that a listener never misses a change without receiving the whole list. An
 * idle watch is reopened after a timeout: a connection that died without being
 * closed looks the same as a kind without changes.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import {
  createDisposableStore,
  toDisposable,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {ObjectListing, WatchListener} from './contracts.js';
import type {ObjectChange} from './objectTable.js';
import type {ObjectTransport, WatchEndReason} from './objectTransport.js';

/** Dependencies of a watch loop, provided by the client that owns the loop. */
export interface WatchLoopOptions {
  readonly kind: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: ObjectTransport;
  readonly listener: WatchListener<unknown>;
  /** Lists a kind; the call is counted and rate limited. */
  list(kind: string): Promise<ObjectListing>;
  /** Waits until a watch may be opened; rejects while the platform is down. */
  admit(): Promise<void>;
}

/** State of a watch, also shown in the dump. */
export type WatchState = 'listing' | 'opening' | 'open' | 'waiting';

/** Watch of one kind that is reopened until it is disposed. */
export interface WatchLoop extends Disposable {
  readonly kind: string;
  state(): WatchState;
}

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 3000;
/** Milliseconds without events after which a watch is reopened. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * Starts to watch a kind.
 *
 * @example
 * const loop = startWatch({kind: 'accepted', clock, random, transport, listener, list, admit});
 */
export function startWatch(options: WatchLoopOptions): WatchLoop {
  const {kind, clock, random, transport, listener} = options;
  const interpreter = interpret(createWatchStateMachine(), () => {});
  const disposables = createDisposableStore();
  let timer: Disposable = toDisposable(() => {});
  let watch: Disposable = toDisposable(() => {});
  let resumeVersion: number | undefined;
  let failedAttempts = 0;
  let isConnected = false;

  function setConnected(isNowConnected: boolean): void {
    if (isNowConnected === isConnected) {
      return;
    }
    isConnected = isNowConnected;
    listener.onDidChangeState?.(isNowConnected);
  }

  async function connect(): Promise<void> {
    interpreter.send(resumeVersion === undefined ? 'list' : 'open');
    try {
      if (resumeVersion === undefined) {
        const listing = await options.list(kind);
        if (disposables.isDisposed) {
          return;
        }
        resumeVersion = listing.version;
        listener.onDidList(listing);
        interpreter.send('open');
      }
      await options.admit();
    } catch {
      scheduleRetry();
      return;
    }
    if (!disposables.isDisposed) {
      open(resumeVersion);
    }
  }

  function open(fromVersion: number): void {
    resetIdleTimer();
    watch.dispose();
    watch = transport.watch(kind, fromVersion, {
      onDidOpen() {
        failedAttempts = 0;
        interpreter.send('opened');
        setConnected(true);
        resetIdleTimer();
      },
      onDidChange(change) {
        resumeVersion = change.version;
        resetIdleTimer();
        notifyListener(change);
      },
      onDidCatchUp(caughtUpVersion) {
        resumeVersion = Math.max(resumeVersion ?? 0, caughtUpVersion);
        resetIdleTimer();
      },
      onDidEnd: handleEnd,
    });
    if (disposables.isDisposed) {
      watch.dispose();
    }
  }

  function notifyListener(change: ObjectChange): void {
    if (disposables.isDisposed) {
      return;
    }
    if (change.type === 'put') {
      listener.onDidPut(change.object);
      return;
    }
    listener.onDidRemove(change.name, change.version);
  }

  function handleEnd(reason: WatchEndReason, retryAfterMs = 0): void {
    if (reason === 'compacted') {
      resumeVersion = undefined;
    }
    scheduleRetry(retryAfterMs);
  }

  function scheduleRetry(minDelayMs = 0): void {
    if (disposables.isDisposed) {
      return;
    }
    setConnected(false);
    interpreter.send('lost');
    const delayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** failedAttempts,
    );
    failedAttempts += 1;
    timer.dispose();
    timer = clock.after(
      Math.max(minDelayMs, delayMs * (0.5 + random.next())),
      () => void connect(),
    );
  }

  function resetIdleTimer(): void {
    timer.dispose();
    timer = clock.after(IDLE_TIMEOUT_MS, () => {
      watch.dispose();
      void connect();
    });
  }

  disposables.add(toDisposable(() => timer.dispose()));
  disposables.add(toDisposable(() => watch.dispose()));
  void connect();
  return {
    kind,
    state: () => interpreter.machine.current as WatchState,
    dispose: () => disposables.dispose(),
  };
}

function createWatchStateMachine() {
  return createMachine('waiting', {
    waiting: state(
      transition('list', 'listing'),
      transition('open', 'opening'),
    ),
    listing: state(
      transition('open', 'opening'),
      transition('lost', 'waiting'),
    ),
    opening: state(transition('opened', 'open'), transition('lost', 'waiting')),
    open: state(
      transition('lost', 'waiting'),
      transition('open', 'opening'),
      transition('list', 'listing'),
    ),
  });
}
