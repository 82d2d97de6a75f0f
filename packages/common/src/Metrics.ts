/**
 * The port through which the program reports figures.
 */
import { METRICS } from './metricReference.ts'

/** One of the metrics; docs/METRICS.md says what each means. */
export type MetricName = keyof typeof METRICS

/** Every metric's name. */
export const METRIC_NAMES = Object.keys(METRICS) as readonly MetricName[]

/** Labels of a figure, such as the service's name. */
export type MetricTags = Readonly<Record<string, string>>

/** Takes figures. */
export abstract class Metrics {
  abstract count (name: MetricName, amount?: number, tags?: MetricTags): void
  abstract gauge (name: MetricName, value: number, tags?: MetricTags): void
  abstract timing (name: MetricName, durationMs: number, tags?: MetricTags): void
}

/** Drops every figure. */
export class SilentMetrics extends Metrics {
  count (): void {}
  gauge (): void {}
  timing (): void {}
}
