/** Entries with a scheduler client and host over a network in memory. */
import {
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import {createMemoryNetwork, MEMORY_URL_PREFIX} from '@skylarkfield/protocol';
import {rankSchedulers} from '@skylarkfield/scheduling';
import {createSchedulerClient} from '../schedulerClient.js';
import type {ScheduledAnswer, ScheduledRequest} from '../schedulerContracts.js';
import {createSchedulerHost} from '../schedulerHost.js';

export const SERVICE = 'desk';
export const SLOTS = 2;
const TARGET_MS = 300;
const LIMIT_MS = 1_500;

/** Answer to a request, and the time that it took. */
export interface TimedAnswer {
  readonly answer: ScheduledAnswer;
  readonly tookMs: number;
}

/** Starts three entries; `ranking` has the schedulers of the service in order. */
export function startSchedulingEntries(slots = SLOTS) {
  const clock = createVirtualClock();
  const random = seededRandom(1);
  const net = createMemoryNetwork({clock, random});
  const ranking = rankSchedulers(
    SERVICE,
    ['a', 'b', 'c'].map(id => ({id, cores: 1})),
  );
  const members = ranking.map(id => ({id, cores: 1}) as Member);
  const endpoint = {id: 'i-0', slots, failureDomain: 'a'};
  const peers = ranking.map((id, incarnation) => ({
    id,
    incarnation,
    url: `${MEMORY_URL_PREFIX}${id}`,
  }));

  function startEntry(id: string) {
    const {network, clock: ownClock} = net.start(id);
    const common = {self: id, clock: ownClock, random, network};
    const host = createSchedulerHost({
      ...common,
      directory: {placementTargets: () => [endpoint]},
      services: {find: () => undefined},
      scheduledServices: {has: () => true},
      engineEstimates: {estimateFor: () => assertUnused()},
      onDidDecide() {},
    });
    const client = createSchedulerClient({
      ...common,
      log: createSilentLogger(),
      host,
      liveMembers: () => members,
      onDidChangeMembers: () => ({dispose() {}}),
      onDidReject() {},
    });
    return {network, host, client};
  }

  const entries = new Map(ranking.map(id => [id, startEntry(id)]));
  for (const {network} of entries.values()) {
    network.setAddressBook(peers);
  }
  const asker = entries.get(ranking[2]!)!;

  /** Sends a request from the last entry in the ranking. */
  async function place(
    id: string,
    overrides: Partial<ScheduledRequest> = {},
  ): Promise<TimedAnswer> {
    const now = clock.now();
    const request: ScheduledRequest = {
      service: SERVICE,
      version: 'incumbent',
      id,
      route: 'r',
      urgency: 0,
      customer: '',
      failureDomain: 'a',
      targetAt: now + TARGET_MS,
      deadlineAt: now + LIMIT_MS,
      fingerprint: id,
      ...overrides,
    };
    const {signal} = new AbortController();
    const answer = await asker.client.place(request, signal);
    return {answer, tookMs: clock.now() - now};
  }

  /** Returns the numbers that the entry's scheduler of the service counts. */
  function countsAt(id: string, service = SERVICE) {
    const dump = entries.get(id)!.host.dump() as Record<
      string,
      {placed: number; endpoints: Record<string, {running: number}>}
    >;
    const {placed = 0, endpoints = {}} = dump[`${service} incumbent`] ?? {};
    return {placed, running: endpoints['i-0']?.running ?? 0};
  }

  return {clock, net, ranking, asker, place, countsAt};
}

function assertUnused(): never {
  throw new Error('plain requests need no estimate');
}
