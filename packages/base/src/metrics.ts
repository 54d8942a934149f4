/** OpenTelemetry metrics of one process, exported in Prometheus text format. */
import type {Meter} from '@opentelemetry/api';

export type {Meter};

export interface Metrics {
  readonly meter: Meter;
  /** Renders all metrics in Prometheus text format. */
  render(): Promise<string>;
  shutDown(): Promise<void>;
}

/**
 * Creates the metrics of a process. The exporter's HTTP server is disabled: the
 * admin port serves the metrics. The SDK is imported by this call, not by the
 * module, so that a process that defers the call until the first read starts
 * faster.
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
