/** Counters of the order ledger. */
import type {Meter} from '@skylarkfield/base';
import type {OrderObserver} from '@skylarkfield/orders';

/** A service name that no record has must not become a label: callers could make up any number. */
const UNKNOWN_SERVICE = 'unknown';

/**
 * Makes the counters; label sets are bounded by the services in force and the
 * closed list of outcomes.
 *
 * @example
 * const observer = createOrderMetrics(meter, name => configuration.get('service', name) !== undefined);
 */
export function createOrderMetrics(
  meter: Meter,
  isKnown: (service: string) => boolean,
): OrderObserver {
  const orders = meter.createCounter('skylarkfield.orders');
  const writes = meter.createCounter('skylarkfield.ledger.writes');
  const takeOvers = meter.createCounter('skylarkfield.ledger.take_overs');
  return {
    onDidAnswer(service, outcome) {
      const label = isKnown(service) ? service : UNKNOWN_SERVICE;
      orders.add(1, {service: label, outcome});
    },
    onWillWrite: () => writes.add(1),
    onDidTakeOver: () => takeOvers.add(1),
  };
}
