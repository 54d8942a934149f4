/** Shares the processor among the connections whose received bytes are parsed. */

/** Received bytes of a connection that are passed on to its parser in slices. */
export interface SlicedReads {
  /** Passes on up to `maxSlices` slices and returns their number. */
  passOn(maxSlices: number): number;
  /** Whether bytes are left that the parser would take. */
  hasMore(): boolean;
  /** Memory of the bytes that are left. */
  heldBytes(): number;
  /** Closes the connection and drops the bytes that are left. */
  close(): void;
}

export interface ReadSchedule {
  /** Passes on newly received bytes; those beyond a quantum wait for a turn. */
  passOnReceived(reads: SlicedReads): void;
  /** Lets bytes wait for their turn. */
  wait(reads: SlicedReads): void;
  remove(reads: SlicedReads): void;
}

/** Slices that one connection may pass on before others have theirs. */
const QUANTUM_SLICES = 8;

/**
 * Slices for each turn of the event loop; as many again are for the connections
 * that wait.
 */
const SLICES_PER_TURN = 64;

/** Upper bound of the bytes that wait. */
const MAX_WAITING_BYTES = 16 * 1_024 * 1_024;

/**
 * Creates the schedule of one server. Connections wait in turn for their next
 * quantum, and newly received bytes pass in between. Once too many bytes wait, a
 * connection with more bytes than one quantum is closed.
 *
 * @example
 * const schedule = createReadSchedule(setImmediate);
 * schedule.passOnReceived(reads);
 */
export function createReadSchedule(
  callInNextTurn: (task: () => void) => void,
): ReadSchedule {
  /** Memory of the waiting bytes by connection; the first waits longest. */
  const waiting = new Map<SlicedReads, number>();
  let waitingBytes = 0;
  let slicesLeft = SLICES_PER_TURN;
  let isTurnPlanned = false;

  function planTurn(): void {
    if (!isTurnPlanned) {
      isTurnPlanned = true;
      callInNextTurn(beginTurn);
    }
  }

  function beginTurn(): void {
    isTurnPlanned = false;
    slicesLeft = SLICES_PER_TURN;
    let slicesForWaiting = SLICES_PER_TURN;
    // Connections that are added again during the loop come last.
    for (const reads of waiting.keys()) {
      remove(reads);
      slicesForWaiting -= reads.passOn(
        Math.min(QUANTUM_SLICES, slicesForWaiting),
      );
      if (reads.hasMore()) {
        wait(reads);
      }
      if (slicesForWaiting <= 0) {
        break;
      }
    }
    if (waiting.size > 0) {
      planTurn();
    }
  }

  function wait(reads: SlicedReads): void {
    const bytes = reads.heldBytes();
    waiting.set(reads, bytes);
    waitingBytes += bytes;
    planTurn();
  }

  function remove(reads: SlicedReads): void {
    waitingBytes -= waiting.get(reads) ?? 0;
    waiting.delete(reads);
  }

  return {
    passOnReceived(reads) {
      if (waiting.has(reads)) {
        return;
      }
      const isFull = waitingBytes >= MAX_WAITING_BYTES;
      slicesLeft -= reads.passOn(
        isFull ? QUANTUM_SLICES : Math.min(QUANTUM_SLICES, slicesLeft),
      );
      planTurn();
      if (!reads.hasMore()) {
        return;
      }
      if (isFull) {
        reads.close();
        return;
      }
      wait(reads);
    },
    wait(reads) {
      remove(reads);
      wait(reads);
    },
    remove,
  };
}
