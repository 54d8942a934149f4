/** OpenTelemetry metrics of one process, with a Prometheus text page. */
import type {Meter} from '@opentelemetry/api';

export type {Meter};

export interface Metrics {
  readonly meter: Meter;
  /** All metrics in Prometheus text form. */
  render(): Promise<string>;
  shutDown(): Promise<void>;
}

/**
 * Makes the metrics of a process. The exporter's own server stays off: the
 * admin port serves the page. The SDK is loaded here, not with this module, so
 * that a process which puts it off until somebody reads starts sooner.
 *
 * @example
 * const metrics = await createMetrics('skylarkfield-entry');
 * const requests = metrics.meter.createCounter('skylarkfield.requests');
 */
export async function createMetrics(name: string): Promise<Metrics> {
  const [{resourceFromAttributes}, {MeterProvider}, prometheus] =
    await Promise.all([
      import('@opentelemetry/resources'),
      import('@opentelemetry/sdk-metrics'),
      import('@opentelemetry/exporter-prometheus'),
    ]);
  const exporter = new prometheus.PrometheusExporter({
    preventServerStart: true,
  });
  const provider = new MeterProvider({
    readers: [exporter],
    resource: resourceFromAttributes({'service.name': name}),
  });
  const serializer = new prometheus.PrometheusSerializer();
  return {
    meter: provider.getMeter(name),
    async render() {
      const {resourceMetrics} = await exporter.collect();
      return serializer.serialize(resourceMetrics);
    },
    shutDown: () => provider.shutdown(),
  };
}
