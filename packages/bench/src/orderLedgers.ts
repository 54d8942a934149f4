/** Order ledgers of several entries over an in-process platform and network. */
import type {Clock, Random} from '@skylarkfield/base';
import {
  createLedger,
  type Dispatch,
  type Ledger,
  type LedgerSettings,
  type SubmitResult,
} from '@skylarkfield/orders';
import type {MemoryPlatform} from '@skylarkfield/providers';
import {createMemoryNetwork, type NetworkTraffic} from '@skylarkfield/protocol';

export interface LedgerFleet {
  submit(
    key: string,
    entryIndex: number,
    timeoutMs: number,
    body?: Uint8Array,
  ): Promise<SubmitResult>;
  /** Makes one entry leave the fleet; it accepts no new orders afterwards. */
  leave(entryIndex: number): Promise<void>;
  ledgers(): readonly Ledger[];
  traffic(): NetworkTraffic;
  dispose(): void;
}

/**
 * Starts one ledger per entry.
 *
 * @example
 * const fleet = startLedgers({
 *   clock, random, platform, entryCount: 7, dispatch,
 * });
 */
export function startLedgers(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly platform: MemoryPlatform;
  readonly entryCount: number;
  readonly dispatch: Dispatch;
  readonly settings?: Partial<LedgerSettings>;
}): LedgerFleet {
  const {clock, random, platform} = options;
  const network = createMemoryNetwork({clock, random, delayMs: 0.5});
  const entryIds = Array.from(
    {length: options.entryCount},
    (_, index) => `e${index}`,
  );
  const leavingIds = new Set<string>();
  const peers = entryIds.map(id => ({id, peer: network.start(id)}));
  const addresses = entryIds.map(id => ({
    id,
    incarnation: 1,
    url: `memory://${id}`,
  }));
  const ledgers = peers.map(({id, peer}) => {
    peer.network.setPeers(addresses);
    return createLedger({
      store: platform.createClient(id),
      network: peer.network,
      dispatch: options.dispatch,
      clock,
      random,
      member: id,
      liveMembers: () => entryIds.filter(other => !leavingIds.has(other)),
      answeringMembers: () => entryIds,
      settings: options.settings,
    });
  });

  function ledgerAt(entryIndex: number): Ledger {
    return ledgers[entryIndex % ledgers.length] as Ledger;
  }

  return {
    submit: (key, entryIndex, timeoutMs, body = new Uint8Array(200)) =>
      ledgerAt(entryIndex).submit(
        {
          customer: 'chain',
          service: 'ordering',
          key,
          fingerprint: key,
          call: {method: 'POST', path: '/orders', headers: {}, body},
          deadline: clock.now() + timeoutMs,
        },
        new AbortController().signal,
      ),
    leave(entryIndex) {
      leavingIds.add(entryIds[entryIndex] ?? '');
      return ledgerAt(entryIndex).leave();
    },
    ledgers: () => ledgers,
    traffic: () => network.totalTraffic(),
    dispose: () => ledgers.forEach(ledger => ledger.dispose()),
  };
}
