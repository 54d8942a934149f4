/** OpenTelemetry metrics of one process, with a Prometheus text page. */
import {resourceFromAttributes} from '@opentelemetry/resources';
import {MeterProvider} from '@opentelemetry/sdk-metrics';
import {
  PrometheusExporter,
  PrometheusSerializer,
} from '@opentelemetry/exporter-prometheus';
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
 * admin port serves the page.
 *
 * @example
 * const metrics = createMetrics('skylarkfield-entry');
 * const requests = metrics.meter.createCounter('skylarkfield.requests');
 */
export function createMetrics(name: string): Metrics {
  const exporter = new PrometheusExporter({preventServerStart: true});
  const provider = new MeterProvider({
    readers: [exporter],
    resource: resourceFromAttributes({'service.name': name}),
  });
  const serializer = new PrometheusSerializer();
  return {
    meter: provider.getMeter(name),
    async render() {
      const {resourceMetrics} = await exporter.collect();
      return serializer.serialize(resourceMetrics);
    },
    shutDown: () => provider.shutdown(),
  };
}
