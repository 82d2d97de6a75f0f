/**
 * Metrics in the Prometheus text format, through `prom-client`.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { METRICS, Metrics, type MetricName, type MetricTags } from '@auburnpin/common'

const MS_PER_SECOND = 1_000

/** Upper bounds of the histogram buckets, in seconds; they cover durations from one store call to a whole job. */
const BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60]

/**
 * Registers counters, gauges and histograms; a metric is exported from its first value on.
 *
 * @example
 * metrics.count('runs.ended', 1, { how: 'done' }) // auburnpin_runs_ended_total{how="done"} 1
 */
export class PrometheusMetrics extends Metrics {
  readonly #registry = new Registry()
  readonly #counters = new Map<MetricName, Counter>()
  readonly #gauges = new Map<MetricName, Gauge>()
  readonly #histograms = new Map<MetricName, Histogram>()

  count (name: MetricName, amount = 1, tags: MetricTags = {}): void {
    let counter = this.#counters.get(name)
    if (counter === undefined) {
      counter = new Counter({ name: `${exportedName(name)}_total`, help: METRICS[name].meaning, labelNames: METRICS[name].tags, registers: [this.#registry] })
      this.#counters.set(name, counter)
    }
    counter.inc(tags, amount)
  }

  gauge (name: MetricName, value: number, tags: MetricTags = {}): void {
    let gauge = this.#gauges.get(name)
    if (gauge === undefined) {
      gauge = new Gauge({ name: exportedName(name), help: METRICS[name].meaning, labelNames: METRICS[name].tags, registers: [this.#registry] })
      this.#gauges.set(name, gauge)
    }
    gauge.set(tags, value)
  }

  timing (name: MetricName, durationMs: number, tags: MetricTags = {}): void {
    let histogram = this.#histograms.get(name)
    if (histogram === undefined) {
      histogram = new Histogram({ name: `${exportedName(name)}_seconds`, help: METRICS[name].meaning, labelNames: METRICS[name].tags, buckets: BUCKETS_S, registers: [this.#registry] })
      this.#histograms.set(name, histogram)
    }
    histogram.observe(tags, durationMs / MS_PER_SECOND)
  }

  /** All metrics in the Prometheus text format. */
  text (): Promise<string> {
    return this.#registry.metrics()
  }
}

const exportedName = (name: MetricName): string =>
  `auburnpin_${name.replace(/\./g, '_').replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}`
