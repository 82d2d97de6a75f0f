/**
 * The product's measures over the last minute or two, kept in the process for `auburnpin status`.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Metrics, type Clock, type Instant, type MetricName, type MetricTags } from '@auburnpin/common'
import type { EvictionFigures, MemberFigures, ServiceFigures } from '@auburnpin/cluster'

/** After this time the older half of the figures is dropped, in milliseconds. */
export const FIGURES_HALF_MS = 60_000

const LONGEST_MS = 3_600_000
const DIGITS = 2
const MEDIAN = 50
const TAIL = 99
const UNNAMED = 'all'

type ServiceCounts = { answered: number, refused: number, readonly durations: Histogram }

type Half = {
  readonly since: Instant
  readonly services: Map<string, ServiceCounts>
  readonly evictions: Map<string, number>
  finished: number
}

/**
 * Keeps the present and the previous half, so that a reading covers at least one.
 *
 * @example
 * const recent = new RecentFigures(clock)
 * recent.timing('requests.duration', 12, { service: 'stockline' })
 * recent.read(0).services[0]?.p99Ms // 12
 */
export class RecentFigures extends Metrics {
  readonly #clock: Clock
  #present: Half
  #previous: Half | undefined

  constructor (clock: Clock) {
    super()
    this.#clock = clock
    this.#present = newHalf(clock.now())
  }

  count (name: MetricName, amount = 1, tags: MetricTags = {}): void {
    this.#rotate()
    const half = this.#present
    if (name === 'tasks.finished') half.finished += amount
    if (name === 'tasks.evicted') half.evictions.set(tags.reason ?? UNNAMED, (half.evictions.get(tags.reason ?? UNNAMED) ?? 0) + amount)
    if (name === 'requests.answered') serviceIn(half, tags).answered += amount
    if (name === 'requests.refused') serviceIn(half, tags).refused += amount
  }

  gauge (): void {}

  timing (name: MetricName, durationMs: number, tags: MetricTags = {}): void {
    if (name !== 'requests.duration') return
    this.#rotate()
    serviceIn(this.#present, tags).durations.recordValue(Math.min(LONGEST_MS, Math.round(durationMs)))
  }

  /** The figures now, with the count of broken invariants given. */
  read (invariantsBroken: number): MemberFigures {
    this.#rotate()
    const halves = this.#previous === undefined ? [this.#present] : [this.#previous, this.#present]
    const since = (halves[0] as Half).since
    return {
      windowMs: this.#clock.now() - since,
      services: sumServices(halves),
      tasksFinished: halves.reduce((sum, half) => sum + half.finished, 0),
      evictions: sumEvictions(halves),
      invariantsBroken
    }
  }

  #rotate (): void {
    const now = this.#clock.now()
    const age = now - this.#present.since
    if (age < FIGURES_HALF_MS) return
    this.#previous = age < 2 * FIGURES_HALF_MS ? this.#present : undefined
    this.#present = newHalf(now)
  }
}

const newHalf = (since: Instant): Half => ({ since, services: new Map(), evictions: new Map(), finished: 0 })

const newDurations = (): Histogram => build({ highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: DIGITS })

const serviceIn = (half: Half, tags: MetricTags): ServiceCounts => {
  const name = tags.service ?? UNNAMED
  const existing = half.services.get(name)
  if (existing !== undefined) return existing
  const counts = { answered: 0, refused: 0, durations: newDurations() }
  half.services.set(name, counts)
  return counts
}

const sumServices = (halves: readonly Half[]): ServiceFigures[] => {
  const names = new Set(halves.flatMap(half => [...half.services.keys()]))
  return [...names].sort().map(service => {
    const durations = newDurations()
    let answered = 0
    let refused = 0
    for (const half of halves) {
      const counts = half.services.get(service)
      if (counts === undefined) continue
      answered += counts.answered
      refused += counts.refused
      durations.add(counts.durations)
    }
    return { service, answered, refused, p50Ms: durations.getValueAtPercentile(MEDIAN), p99Ms: durations.getValueAtPercentile(TAIL) }
  })
}

const sumEvictions = (halves: readonly Half[]): EvictionFigures[] => {
  const counts = new Map<string, number>()
  for (const half of halves) {
    for (const [reason, count] of half.evictions) counts.set(reason, (counts.get(reason) ?? 0) + count)
  }
  return [...counts].map(([reason, count]) => ({ reason, count }))
}
