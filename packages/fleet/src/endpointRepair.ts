/** Endpoints that run something else than the host list says, and the orders that mend them. */
import {
  isServingError,
  toServingError,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {OrderGate, Tenure} from '@skylarkfield/duties';
import type {Engine} from '@skylarkfield/endpoints';
import type {ListedEndpoint, WeightStore} from '@skylarkfield/providers';

/** An endpoint with the client that speaks to it. */
export interface ManagedEndpoint {
  readonly listed: ListedEndpoint;
  readonly engine: Engine;
}

/** An order is never carried out later than this after it was made, in milliseconds. */
export const ORDER_DEADLINE_MS = 10_000;

export interface EndpointRepair {
  /** Looks at every endpoint once and orders what differs; resolves with how many orders were taken. */
  round(
    endpoints: readonly ManagedEndpoint[],
    weightsOf: (service: string) => string,
  ): Promise<number>;
}

interface Deviation {
  readonly endpoint: ManagedEndpoint;
  readonly found: string;
  /** Part of the service's endpoints that run what they should. */
  readonly soundPart: number;
}

/**
 * Makes the repair of one tenure.
 *
 * Routing believes the host list. A replica that came back from a crash with
 * another version would serve it under the listed one's name, so that a version
 * taken back would go on getting traffic without anyone seeing it. Orders are
 * level-triggered: each round reads what runs and asks for what should, so a
 * lost order is sent again and a new holder needs no history.
 *
 * @example
 * const repair = createEndpointRepair({clock, decisions, weights, tenure, gate});
 * await repair.round(endpoints, service => service);
 */
export function createEndpointRepair(options: {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly weights: WeightStore;
  readonly tenure: Tenure;
  readonly gate: OrderGate;
}): EndpointRepair {
  const {clock, decisions, weights, tenure, gate} = options;
  let nextOrder = 0;

  return {
    async round(endpoints, weightsOf) {
      const deviations = await findDeviations(endpoints);
      let taken = 0;
      for (const deviation of deviations) {
        if (!tenure.isValid()) {
          return taken;
        }
        const {service} = deviation.endpoint.listed;
        taken += Number(await mend(deviation, weightsOf(service)));
      }
      return taken;
    },
  };

  /** Most needed first: the weight store lets only so many loads begin. */
  async function findDeviations(
    endpoints: readonly ManagedEndpoint[],
  ): Promise<Deviation[]> {
    const live = endpoints.filter(({listed}) => listed.state === 'live');
    const found = await Promise.all(live.map(runningVersion));
    const soundPart = (service: string) => {
      const of = live.map((endpoint, index) => ({endpoint, index}));
      const own = of.filter(item => item.endpoint.listed.service === service);
      const sound = own.filter(
        ({endpoint, index}) => found[index] === endpoint.listed.version,
      );
      return sound.length / own.length;
    };
    return live
      .flatMap((endpoint, index) => {
        const version = found[index];
        if (version === undefined || version === endpoint.listed.version) {
          return [];
        }
        const part = soundPart(endpoint.listed.service);
        return [{endpoint, found: version, soundPart: part}];
      })
      .sort((a, b) => a.soundPart - b.soundPart);
  }

  async function runningVersion(
    endpoint: ManagedEndpoint,
  ): Promise<string | undefined> {
    try {
      return (await endpoint.engine.running(tenure.signal)).version;
    } catch {
      // An endpoint that does not answer is routing's matter, not one to reload.
      return undefined;
    }
  }

  async function mend(
    deviation: Deviation,
    weightsName: string,
  ): Promise<boolean> {
    const {listed, engine} = deviation.endpoint;
    if (!gate.isOpen(listed)) {
      return false;
    }
    try {
      await weights.reserve(weightsName, listed.host, tenure.signal);
      if (!gate.isOpen(listed)) {
        return false;
      }
      await engine.order(
        {
          id: `repair-${tenure.fencing}-${nextOrder++}`,
          type: 'load-version',
          target: listed.version,
          fencing: tenure.fencing,
          expiresAt: clock.wall() + ORDER_DEADLINE_MS,
        },
        tenure.signal,
      );
      note(deviation, 'order version', 'it runs another than listed');
      return true;
    } catch (error) {
      noteFailure(deviation, error);
      return false;
    }
  }

  function noteFailure(deviation: Deviation, error: unknown): void {
    if (isServingError(error, 'overloaded')) {
      note(deviation, 'wait with a load', 'the weight store is at its rate');
      return;
    }
    note(deviation, 'order failed', toServingError(error).message);
  }

  function note(deviation: Deviation, what: string, why: string): void {
    const {listed} = deviation.endpoint;
    decisions.note('fleet', listed.id, what, why, {
      runs: deviation.found,
      listed: listed.version,
      fencing: tenure.fencing,
    });
  }
}
