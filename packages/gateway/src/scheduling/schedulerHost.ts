/** The schedulers that run at this entry, and the questions of other entries. */
import {
  createDisposableStore,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import type {
  Messages,
  PeerNetwork,
  PlacementResponse,
} from '@skylarkfield/protocol';
import {
  createServiceScheduler,
  type ObservedDecision,
  type PlacementAnswer,
  type PlacementDecision,
  type PlacementRequest,
  type Prompt,
  type ServiceScheduler,
} from '@skylarkfield/scheduling';
import {promptWork, workMs} from '@skylarkfield/traffic';
import type {
  EndpointDirectory,
  VersionGroup,
} from '../endpoints/endpointDirectory.js';
import type {EngineEstimates} from '../endpoints/engineEstimates.js';
import type {ServiceCatalog} from '../policy/serviceCatalog.js';
import type {ScheduledServices} from './scheduledServices.js';

export interface SchedulerHost extends Disposable {
  /**
   * Decides on a request as the scheduler of its service; undefined if this
   * entry cannot schedule it.
   */
  request(
    asker: string,
    service: string,
    version: string,
    request: PlacementRequest,
    onDidDecide: (decision: PlacementDecision) => void,
  ): PlacementAnswer | undefined;
  begin(asker: string, began: Messages['placementBegan']): void;
  end(asker: string, ended: Messages['placementEnded']): void;
  /** Applies added and removed endpoints. */
  updateEndpoints(): void;
  dump(): unknown;
}

/**
 * Fraction of an engine's memory that is taken to hold cached prompts; running
 * requests use the rest.
 */
const CACHE_FRACTION = 0.5;

const VERSION_GROUPS: Readonly<Record<VersionGroup, true>> = {
  incumbent: true,
  candidate: true,
};

/** A scheduler with the service and version group that it schedules. */
interface HostedScheduler {
  readonly service: string;
  readonly version: VersionGroup;
  readonly scheduler: ServiceScheduler;
}

/**
 * Creates the host, which starts a scheduler when the first request for its
 * service arrives.
 *
 * @example
 * const host = createSchedulerHost({network, directory, scheduledServices, ...});
 */
export function createSchedulerHost(options: {
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly network: PeerNetwork;
  readonly directory: Pick<EndpointDirectory, 'placementTargets'>;
  readonly services: Pick<ServiceCatalog, 'find'>;
  readonly scheduledServices: ScheduledServices;
  readonly engineEstimates: Pick<EngineEstimates, 'estimateFor'>;
  onDidDecide(service: string, decision: ObservedDecision): void;
}): SchedulerHost {
  const {self, clock, random, network, directory} = options;
  const disposables = createDisposableStore();
  const hostedSchedulers = new Map<string, HostedScheduler>();

  /** Returns the time that an engine of usual speed takes to read a prompt. */
  function promptTime(
    service: string,
    {ownTokens, promptTokens}: Prompt,
    cachedTokens: number,
  ): number {
    const estimate = options.engineEstimates.estimateFor(service);
    const uncachedTokens = Math.max(ownTokens, promptTokens - cachedTokens);
    const work = promptWork({
      model: '',
      promptTokens,
      mostOutputTokens: 0,
      parts: [{id: '', tokens: uncachedTokens}],
    });
    return workMs(work, estimate);
  }

  function createScheduler(service: string): ServiceScheduler {
    const {engine} = options.services.find(service) ?? {};
    return createServiceScheduler({
      clock,
      random,
      cacheTokens: (engine?.memoryTokens ?? 0) * CACHE_FRACTION,
      promptTime: (prompt, cachedTokens) =>
        promptTime(service, prompt, cachedTokens),
      onDidDecide: decision => options.onDidDecide(service, decision),
    });
  }

  function find(
    service: string,
    version: string,
  ): ServiceScheduler | undefined {
    return hostedSchedulers.get(`${service} ${version}`)?.scheduler;
  }

  function findOrCreate(
    service: string,
    version: string,
  ): ServiceScheduler | undefined {
    if (!options.scheduledServices.has(service) || !isVersionGroup(version)) {
      return undefined;
    }
    const existing = find(service, version);
    if (existing !== undefined) {
      return existing;
    }
    const scheduler = createScheduler(service);
    scheduler.setEndpoints(directory.placementTargets(service, version));
    hostedSchedulers.set(`${service} ${version}`, {
      service,
      version,
      scheduler,
    });
    return scheduler;
  }

  function request(
    asker: string,
    service: string,
    version: string,
    placementRequest: PlacementRequest,
    onDidDecide: (decision: PlacementDecision) => void,
  ): PlacementAnswer | undefined {
    const scheduler = findOrCreate(service, version);
    return scheduler?.hasEndpoints()
      ? scheduler.request(asker, placementRequest, onDidDecide)
      : undefined;
  }

  /** Replaces what is known of the requests in progress of an entry. */
  function adopt(asker: string, held: Messages['placementWanted']['held']) {
    for (const {service, version, scheduler} of hostedSchedulers.values()) {
      scheduler.adopt(
        asker,
        (held ?? []).filter(
          item => item.service === service && item.version === version,
        ),
      );
    }
  }

  function answer(
    asker: string,
    question: Messages['placementWanted'],
  ): PlacementResponse {
    const {service, version, id} = question;
    const numbers = [question.urgency, question.targetMs, question.remainingMs];
    if (!numbers.every(Number.isFinite)) {
      return {type: 'unknown', isContended: false};
    }
    findOrCreate(service, version);
    for (const item of question.held ?? []) {
      findOrCreate(item.service, item.version);
    }
    if (question.held !== undefined) {
      adopt(asker, question.held);
    }
    const decided = request(
      asker,
      service,
      version,
      toRequest(question, clock.now()),
      result => {
        const message = {service, version, id, result};
        if (!network.send(asker, 'placementDecided', message)) {
          // Later, since the scheduler is amid its decisions on other requests.
          clock.after(0, () => cancel(asker, service, version, id));
        }
      },
    );
    return decided ?? {type: 'unknown', isContended: false};
  }

  function cancel(asker: string, service: string, version: string, id: string) {
    find(service, version)?.end(asker, {id, outcome: 'cancelled', tookMs: 0});
  }

  function dropAsker(asker: string): void {
    for (const {scheduler} of hostedSchedulers.values()) {
      scheduler.dropAsker(asker);
    }
  }

  function begin(asker: string, began: Messages['placementBegan']): void {
    if (!Number.isFinite(began.firstMs)) {
      return;
    }
    find(began.service, began.version)?.begin(asker, began);
  }

  function end(asker: string, ended: Messages['placementEnded']): void {
    find(ended.service, ended.version)?.end(asker, ended);
  }

  disposables.add(network.addHandler('placementWanted', answer));
  disposables.add(network.addHandler('placementBegan', begin));
  disposables.add(network.addHandler('placementEnded', end));
  disposables.add(
    network.onDidChangePeer((peer, isOpen) => {
      // An entry that is still there tells its requests with its next question.
      if (!isOpen && peer !== self) {
        dropAsker(peer);
      }
    }),
  );
  // The ends of requests may have been lost with the previous connection.
  disposables.add(network.onDidReplaceConnection(dropAsker));
  return {
    request,
    begin,
    end,
    updateEndpoints() {
      for (const {service, version, scheduler} of hostedSchedulers.values()) {
        scheduler.setEndpoints(directory.placementTargets(service, version));
      }
    },
    dump: () =>
      Object.fromEntries(
        [...hostedSchedulers].map(([name, {scheduler}]) => [
          name,
          scheduler.dump(),
        ]),
      ),
    dispose() {
      disposables.dispose();
      for (const {scheduler} of hostedSchedulers.values()) {
        scheduler.dispose();
      }
    },
  };
}

function isVersionGroup(version: string): version is VersionGroup {
  return version in VERSION_GROUPS;
}

/** Lowest urgency that a scheduler knows. */
const LOWEST_URGENCY = 7;

/** Maximum number of unasked requests that are taken from one question. */
const MAX_UNASKED = 200;

/** Returns a positive number of a message; 0 if it is absent or invalid. */
function toNumber(value: number | undefined): number {
  return Number.isFinite(value) ? Math.max(0, value!) : 0;
}

/** Converts a question to the time of this entry. */
function toRequest(
  question: Messages['placementWanted'],
  now: number,
): PlacementRequest {
  const {id, route, customer, failureDomain, prompt, fingerprint} = question;
  return {
    id,
    route,
    customer,
    failureDomain,
    urgency: Math.min(
      LOWEST_URGENCY,
      Math.max(0, Math.trunc(question.urgency)),
    ),
    targetAt: now + question.targetMs,
    deadlineAt: now + question.remainingMs,
    endsAt: now + Math.max(question.remainingMs, toNumber(question.endsMs)),
    unasked: (question.unasked ?? [])
      .slice(0, MAX_UNASKED)
      .map(({fingerprint: unaskedFingerprint, returnMs}) => ({
        fingerprint: String(unaskedFingerprint),
        returnAt: now + toNumber(returnMs),
      })),
    prompt,
    fingerprint,
  };
}
