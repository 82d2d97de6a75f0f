/**
 * Figures to a StatsD receiver through `hot-shots`.
 */
import { StatsD } from 'hot-shots'
import { Metrics, type MetricName, type MetricTags } from '@auburnpin/common'
import { splitAddress } from '@auburnpin/ports'

const METRIC_PREFIX = 'auburnpin.'
const MAX_PACKET_BYTES = 1_400

/** Sends figures over UDP, several to a packet. */
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

  /** Sends what is buffered and closes the socket. */
  close (): Promise<void> {
    return new Promise(resolve => { this.#client.close(() => resolve()) })
  }
}
