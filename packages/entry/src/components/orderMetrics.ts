/** Metrics of the order ledger. */
import type {Meter} from '@skylarkfield/base';
import type {OrderObserver} from '@skylarkfield/orders';

/** Label of services without a record: made-up names must not become labels. */
const UNKNOWN_SERVICE = 'unknown';

/**
 * Creates the counters; the number of label sets is bounded by the numbers of
 * service records in force and of possible outcomes.
 *
 * @example
 * const observer = createOrderMetrics(meter, isKnownService);
 */
export function createOrderMetrics(
  meter: Meter,
  isKnownService: (service: string) => boolean,
): OrderObserver {
  const orders = meter.createCounter('skylarkfield.orders');
  const writes = meter.createCounter('skylarkfield.ledger.writes');
  const takeOvers = meter.createCounter('skylarkfield.ledger.take_overs');
  return {
    onDidAnswer(service, outcome) {
      const label = isKnownService(service) ? service : UNKNOWN_SERVICE;
      orders.add(1, {service: label, outcome});
    },
    onWillWrite: () => writes.add(1),
    onDidTakeOver: () => takeOvers.add(1),
  };
}
