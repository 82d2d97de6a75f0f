/**
 * The port through which the program reports figures.
 */

/** Every metric's name; docs/METRICS.md says what each means. */
export const METRIC_NAMES = [
  'requests.answered',
  'requests.refused',
  'requests.duration',
  'tasks.started',
  'tasks.finished',
  'tasks.evicted',
  'queue.length',
  'table.writes',
  'table.reads',
  'config.version',
  'invariants.broken'
] as const

/** One of the metrics. */
export type MetricName = typeof METRIC_NAMES[number]

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
