/**
 * Keeps metrics of the last one to two minutes in memory for `auburnpin status`.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Metrics, type Clock, type Instant, type MetricName, type MetricTags } from '@auburnpin/common'
import type { EvictionFigures, MemberFigures, ServiceFigures } from '@auburnpin/cluster'

/** Time that one bucket of metrics covers, in milliseconds. */
export const BUCKET_MS = 60_000

const MAX_DURATION_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2
const P50 = 50
const P99 = 99
const UNTAGGED = 'all'

type ServiceCounts = { answered: number, refused: number, readonly durations: Histogram }

type Bucket = {
  readonly since: Instant
  readonly services: Map<string, ServiceCounts>
  readonly evictions: Map<string, number>
  finished: number
}

/**
 * Keeps the current and the previous bucket, so that a reading covers at least one full bucket once the process has run that long.
 *
 * @example
 * const recent = new RecentMetrics(clock)
 * recent.timing('requests.duration', 12, { service: 'stockline' })
 * recent.read(0).services[0]?.p99Ms // 12
 */
export class RecentMetrics extends Metrics {
  readonly #clock: Clock
  #current: Bucket
  #previous: Bucket | undefined

  constructor (clock: Clock) {
    super()
    this.#clock = clock
    this.#current = createBucket(clock.now())
  }

  count (name: MetricName, amount = 1, tags: MetricTags = {}): void {
    this.#rotate()
    const bucket = this.#current
    if (name === 'tasks.finished') bucket.finished += amount
    if (name === 'tasks.evicted') bucket.evictions.set(tags.reason ?? UNTAGGED, (bucket.evictions.get(tags.reason ?? UNTAGGED) ?? 0) + amount)
    if (name === 'requests.answered') countsOf(bucket, tags).answered += amount
    if (name === 'requests.refused') countsOf(bucket, tags).refused += amount
  }

  gauge (): void {}

  timing (name: MetricName, durationMs: number, tags: MetricTags = {}): void {
    if (name !== 'requests.duration') return
    this.#rotate()
    countsOf(this.#current, tags).durations.recordValue(Math.min(MAX_DURATION_MS, Math.round(durationMs)))
  }

  /** Returns the metrics of both buckets, with `invariantsBroken` as given. */
  read (invariantsBroken: number): MemberFigures {
    this.#rotate()
    const buckets = this.#previous === undefined ? [this.#current] : [this.#previous, this.#current]
    const since = (buckets[0] as Bucket).since
    return {
      windowMs: this.#clock.now() - since,
      services: mergeServices(buckets),
      tasksFinished: buckets.reduce((sum, bucket) => sum + bucket.finished, 0),
      evictions: mergeEvictions(buckets),
      invariantsBroken
    }
  }

  #rotate (): void {
    const now = this.#clock.now()
    const ageMs = now - this.#current.since
    if (ageMs < BUCKET_MS) return
    this.#previous = ageMs < 2 * BUCKET_MS ? this.#current : undefined
    this.#current = createBucket(now)
  }
}

const createBucket = (since: Instant): Bucket => ({ since, services: new Map(), evictions: new Map(), finished: 0 })

const createHistogram = (): Histogram => build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })

const countsOf = (bucket: Bucket, tags: MetricTags): ServiceCounts => {
  const name = tags.service ?? UNTAGGED
  const existing = bucket.services.get(name)
  if (existing !== undefined) return existing
  const counts = { answered: 0, refused: 0, durations: createHistogram() }
  bucket.services.set(name, counts)
  return counts
}

const mergeServices = (buckets: readonly Bucket[]): ServiceFigures[] => {
  const names = new Set(buckets.flatMap(bucket => [...bucket.services.keys()]))
  return [...names].sort().map(service => {
    const durations = createHistogram()
    let answered = 0
    let refused = 0
    for (const bucket of buckets) {
      const counts = bucket.services.get(service)
      if (counts === undefined) continue
      answered += counts.answered
      refused += counts.refused
      durations.add(counts.durations)
    }
    return { service, answered, refused, p50Ms: durations.getValueAtPercentile(P50), p99Ms: durations.getValueAtPercentile(P99) }
  })
}

const mergeEvictions = (buckets: readonly Bucket[]): EvictionFigures[] => {
  const counts = new Map<string, number>()
  for (const bucket of buckets) {
    for (const [reason, count] of bucket.evictions) counts.set(reason, (counts.get(reason) ?? 0) + count)
  }
  return [...counts].map(([reason, count]) => ({ reason, count }))
}
