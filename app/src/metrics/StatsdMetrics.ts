/**
 * Sends metrics to a StatsD server through `hot-shots`.
 */
import { StatsD } from 'hot-shots'
import { Metrics, type MetricName, type MetricTags } from '@auburnpin/common'
import { splitAddress } from '@auburnpin/ports'

const METRIC_PREFIX = 'auburnpin.'
const MAX_PACKET_BYTES = 1_400

/** Sends metrics over UDP, several in one packet. */
export class StatsdMetrics extends Metrics {
  readonly #client: StatsD

  constructor (address: string, member: string, onError: (error: Error) => void) {
    super()
    const [host, port] = splitAddress(address)
    this.#client = new StatsD({ host, port, prefix: METRIC_PREFIX, globalTags: { member }, maxBufferSize: MAX_PACKET_BYTES, errorHandler: onError })
  }

  count (name: MetricName, amount = 1, tags: MetricTags = {}): void {
    this.#client.increment(name, amount, tags)
  }

  gauge (name: MetricName, value: number, tags: MetricTags = {}): void {
    this.#client.gauge(name, value, tags)
  }

  timing (name: MetricName, durationMs: number, tags: MetricTags = {}): void {
    this.#client.timing(name, durationMs, tags)
  }

  /** Flushes the buffer and closes the socket. */
  close (): Promise<void> {
    return new Promise(resolve => { this.#client.close(() => resolve()) })
  }
}
