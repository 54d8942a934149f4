/** Reloads endpoints that run another version than the host list names. */
import {
  isServingError,
  toServingError,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {CommandGate, DutyTerm} from '@skylarkfield/duties';
import type {Engine} from '@skylarkfield/endpoints';
import type {ListedEndpoint, WeightStore} from '@skylarkfield/providers';

/** Endpoint in the host list, with the client of its engine. */
export interface ManagedEndpoint {
  readonly listed: ListedEndpoint;
  readonly engine: Engine;
}

/** Time after which a command to an endpoint expires, in milliseconds. */
export const COMMAND_DEADLINE_MS = 10_000;

export interface EndpointRepair {
  /**
   * Commands endpoints to load their listed version if they run another one;
   * resolves with the number of commands that endpoints accepted.
   */
  repairAll(
    endpoints: readonly ManagedEndpoint[],
    weightsNameOf: (service: string) => string,
  ): Promise<number>;
}

interface VersionMismatch {
  readonly endpoint: ManagedEndpoint;
  readonly runningVersion: string;
  /** Fraction of the service's endpoints that run their listed version. */
  readonly matchingFraction: number;
}

/**
 * Creates the endpoint repair of one term of the duty.
 *
 * Routing relies on the host list. A replica that restarts after a crash with
 * another version would get the requests for the listed version, so a
 * rolled-back version could get traffic unnoticed. Repair is level-triggered:
 * each round compares running with listed versions, so a lost command is
 * sent again and a new holder of the duty needs no record of earlier commands.
 *
 * @example
 * const repair = createEndpointRepair({clock, decisions, weights, term, gate});
 * await repair.repairAll(endpoints, service => service);
 */
export function createEndpointRepair(options: {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly weights: WeightStore;
  readonly term: DutyTerm;
  readonly gate: CommandGate;
}): EndpointRepair {
  const {clock, decisions, weights, term, gate} = options;
  let nextCommandNumber = 0;

  return {
    async repairAll(endpoints, weightsNameOf) {
      const mismatches = await findMismatches(endpoints);
      let acceptedCommandCount = 0;
      for (const mismatch of mismatches) {
        if (!term.isValid()) {
          return acceptedCommandCount;
        }
        const {service} = mismatch.endpoint.listed;
        acceptedCommandCount += Number(
          await repair(mismatch, weightsNameOf(service)),
        );
      }
      return acceptedCommandCount;
    },
  };

  /**
   * Returns the endpoints that do not run their listed version. Services with
   * the lowest matching fraction come first, since the weight store limits the
   * rate of loads.
   */
  async function findMismatches(
    endpoints: readonly ManagedEndpoint[],
  ): Promise<VersionMismatch[]> {
    const liveEndpoints = endpoints.filter(
      ({listed}) => listed.state === 'live',
    );
    const runningVersions = await Promise.all(
      liveEndpoints.map(queryRunningVersion),
    );
    const computeMatchingFraction = (service: string) => {
      const indexedEndpoints = liveEndpoints.map((endpoint, index) => ({
        endpoint,
        index,
      }));
      const serviceEndpoints = indexedEndpoints.filter(
        item => item.endpoint.listed.service === service,
      );
      const matchingEndpoints = serviceEndpoints.filter(
        ({endpoint, index}) =>
          runningVersions[index] === endpoint.listed.version,
      );
      return matchingEndpoints.length / serviceEndpoints.length;
    };
    return liveEndpoints
      .flatMap((endpoint, index) => {
        const version = runningVersions[index];
        if (version === undefined || version === endpoint.listed.version) {
          return [];
        }
        const fraction = computeMatchingFraction(endpoint.listed.service);
        return [
          {endpoint, runningVersion: version, matchingFraction: fraction},
        ];
      })
      .sort((a, b) => a.matchingFraction - b.matchingFraction);
  }

  async function queryRunningVersion(
    endpoint: ManagedEndpoint,
  ): Promise<string | undefined> {
    try {
      return (await endpoint.engine.readRunningState(term.signal)).version;
    } catch {
      // Routing handles endpoints that do not respond; a reload would not help.
      return undefined;
    }
  }

  async function repair(
    mismatch: VersionMismatch,
    weightsName: string,
  ): Promise<boolean> {
    const {listed, engine} = mismatch.endpoint;
    if (!gate.isOpen(listed)) {
      return false;
    }
    try {
      await weights.reserve(weightsName, listed.host, term.signal);
      if (!gate.isOpen(listed)) {
        return false;
      }
      await engine.sendCommand(
        {
          id: `repair-${term.fencing}-${nextCommandNumber++}`,
          type: 'load-version',
          target: listed.version,
          fencing: term.fencing,
          expiresAt: clock.wall() + COMMAND_DEADLINE_MS,
        },
        term.signal,
      );
      recordDecision(
        mismatch,
        'order version',
        'running version differs from the listed version',
      );
      return true;
    } catch (error) {
      recordFailure(mismatch, error);
      return false;
    }
  }

  function recordFailure(mismatch: VersionMismatch, error: unknown): void {
    if (isServingError(error, 'overloaded')) {
      recordDecision(
        mismatch,
        'wait with a load',
        'the weight store is at its rate limit',
      );
      return;
    }
    recordDecision(mismatch, 'order failed', toServingError(error).message);
  }

  function recordDecision(
    mismatch: VersionMismatch,
    what: string,
    why: string,
  ): void {
    const {listed} = mismatch.endpoint;
    decisions.recordDecision('fleet', listed.id, what, why, {
      runs: mismatch.runningVersion,
      listed: listed.version,
      fencing: term.fencing,
    });
  }
}
