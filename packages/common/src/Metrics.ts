/**
 * Port for metrics.
 */
import { METRICS } from './metricReference.ts'

/** One of the metrics; docs/METRICS.md describes each. */
export type MetricName = keyof typeof METRICS

/** Names of all metrics. */
export const METRIC_NAMES = Object.keys(METRICS) as readonly MetricName[]

/** Tags of a measurement, such as the service's name. */
export type MetricTags = Readonly<Record<string, string>>

/** Records measurements. */
export abstract class Metrics {
  abstract count (name: MetricName, amount?: number, tags?: MetricTags): void
  abstract gauge (name: MetricName, value: number, tags?: MetricTags): void
  abstract timing (name: MetricName, durationMs: number, tags?: MetricTags): void
}

/** Discards every measurement. */
export class SilentMetrics extends Metrics {
  count (): void {}
  gauge (): void {}
  timing (): void {}
}
