/**
 * Duplicates metrics to several receivers.
 */
import { Metrics, type MetricName, type MetricTags } from '@auburnpin/common'

/** Forwards every call to each receiver. */
export class TeeMetrics extends Metrics {
  readonly #receivers: readonly Metrics[]

  constructor (receivers: readonly Metrics[]) {
    super()
    this.#receivers = receivers
  }

  count (name: MetricName, amount?: number, tags?: MetricTags): void {
    for (const receiver of this.#receivers) receiver.count(name, amount, tags)
  }

  gauge (name: MetricName, value: number, tags?: MetricTags): void {
    for (const receiver of this.#receivers) receiver.gauge(name, value, tags)
  }

  timing (name: MetricName, durationMs: number, tags?: MetricTags): void {
    for (const receiver of this.#receivers) receiver.timing(name, durationMs, tags)
  }
}
