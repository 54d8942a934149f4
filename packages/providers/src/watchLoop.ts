/**
 * Follows one kind of objects through cuts, gaps and outages.
 *
 * A watch that ends is resumed after the last version told; when the platform
 * no longer keeps the changes since then, the kind is listed again, so that a
 * listener never misses a change without hearing the whole list. A watch that
 * has been silent for long is opened anew: a connection that died without a
 * word looks just like a quiet kind.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import {
  disposableStore,
  toDisposable,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {ObjectListing, WatchListener} from './contracts.js';
import type {ObjectChange} from './objectTable.js';
import type {ObjectTransport, WatchEnd} from './objectTransport.js';

/** What the loop needs of the client that owns it. */
export interface WatchLoopOptions {
  readonly kind: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: ObjectTransport;
  readonly listener: WatchListener<unknown>;
  /** A counted and budgeted list call. */
  list(kind: string): Promise<ObjectListing>;
  /** Waits for leave to open a watch; rejects while the platform is down. */
  admit(): Promise<void>;
}

/** Where a watch stands, for the dump. */
export type WatchState = 'listing' | 'opening' | 'open' | 'waiting';

/** One watch, for as long as its listener wants it. */
export interface WatchLoop extends Disposable {
  readonly kind: string;
  state(): WatchState;
}

const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 3000;
/** Silence after which a watch is opened anew. */
const SILENCE_MS = 15_000;

/**
 * Starts to follow a kind.
 *
 * @example
 * const loop = startWatch({kind: 'accepted', clock, random, transport, listener, list, admit});
 */
export function startWatch(options: WatchLoopOptions): WatchLoop {
  const {kind, clock, random, transport, listener} = options;
  const machine = interpret(watchMachine(), () => {});
  const owned = disposableStore();
  let timer: Disposable = toDisposable(() => {});
  let watch: Disposable = toDisposable(() => {});
  let version: number | undefined;
  let attempts = 0;
  let isConnected = false;

  function setConnected(next: boolean): void {
    if (next === isConnected) {
      return;
    }
    isConnected = next;
    listener.onDidChangeState?.(next);
  }

  async function begin(): Promise<void> {
    machine.send(version === undefined ? 'list' : 'open');
    try {
      if (version === undefined) {
        const listing = await options.list(kind);
        if (owned.isDisposed) {
          return;
        }
        version = listing.version;
        listener.onDidList(listing);
        machine.send('open');
      }
      await options.admit();
    } catch {
      retry();
      return;
    }
    if (!owned.isDisposed) {
      open(version);
    }
  }

  function open(from: number): void {
    watchSilence();
    watch.dispose();
    watch = transport.watch(kind, from, {
      onDidOpen() {
        attempts = 0;
        machine.send('opened');
        setConnected(true);
        watchSilence();
      },
      onDidChange(change) {
        version = change.version;
        watchSilence();
        tell(change);
      },
      onDidCatchUp(reached) {
        version = Math.max(version ?? 0, reached);
        watchSilence();
      },
      onDidEnd,
    });
    if (owned.isDisposed) {
      watch.dispose();
    }
  }

  function tell(change: ObjectChange): void {
    if (owned.isDisposed) {
      return;
    }
    if (change.type === 'put') {
      listener.onDidPut(change.object);
      return;
    }
    listener.onDidRemove(change.name, change.version);
  }

  function onDidEnd(end: WatchEnd, retryAfterMs = 0): void {
    if (end === 'compacted') {
      version = undefined;
    }
    retry(retryAfterMs);
  }

  function retry(atLeastMs = 0): void {
    if (owned.isDisposed) {
      return;
    }
    setConnected(false);
    machine.send('lost');
    const delayMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** attempts);
    attempts += 1;
    timer.dispose();
    timer = clock.after(
      Math.max(atLeastMs, delayMs * (0.5 + random.next())),
      () => void begin(),
    );
  }

  function watchSilence(): void {
    timer.dispose();
    timer = clock.after(SILENCE_MS, () => {
      watch.dispose();
      void begin();
    });
  }

  owned.add(toDisposable(() => timer.dispose()));
  owned.add(toDisposable(() => watch.dispose()));
  void begin();
  return {
    kind,
    state: () => machine.machine.current as WatchState,
    dispose: () => owned.dispose(),
  };
}

function watchMachine() {
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
