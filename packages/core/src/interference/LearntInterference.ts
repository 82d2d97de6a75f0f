/**
 * Interference learnt from lagging samples: per service, kind of task and load band.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import {
  BASE_LOAD_STEPS, FORGET_MS, LOAD_BANDS, PRIOR_BASE_RATIO, PRIOR_BASE_DEVIATION, PRIOR_RATIO_PER_CORE, PRIOR_RATIO_PER_CORE_DEVIATION, SAMPLE_NOISE
} from '../constants.ts'
import { InterferenceModel, type Observation } from './InterferenceModel.ts'

type Estimate = { mean: number, variance: number, at: Instant }
type Term = Readonly<{ estimate: Estimate, amount: number, priorVariance: number }>

/** What was learnt, for another process to go on from: each estimate by its key, as mean and variance. */
export type LearntEstimates = Readonly<{ bases: LearntTable, pairs: LearntTable }>

type LearntTable = readonly (readonly [key: string, mean: number, variance: number])[]

/**
 * A Kalman filter with one variance per estimate: each sample's surprise is shared out over what ran
 * then, most to what is least known. Doubt grows back with time, so old learning gives way. A pair
 * not seen yet takes the mean of what the service's other pairs have shown.
 */
export class LearntInterference extends InterferenceModel {
  readonly #bands: readonly number[]
  readonly #bases = new Map<string, Estimate>()
  readonly #pairs = new Map<string, Estimate>()
  readonly #pairsOf = new Map<ServiceName, Set<Estimate>>()

  /** `bands` are the loads at which pairs are told apart; without any, one estimate stands for all loads. */
  constructor (bands: readonly number[] = LOAD_BANDS) {
    super()
    this.#bands = bands
  }

  baseRatio (service: ServiceName, load: number): number {
    const known = this.#bases.get(baseKey(service, load))
    return known?.mean ?? PRIOR_BASE_RATIO
  }

  ratioPerCore (service: ServiceName, kind: string, load: number): number {
    const known = this.#pairs.get(this.#pairKey(service, kind, load))
    return known?.mean ?? this.#priorOf(service)
  }

  learn (observation: Observation): void {
    const { service, load, measuredAt } = observation
    const base = { estimate: this.#baseOf(service, load, measuredAt), amount: 1, priorVariance: PRIOR_BASE_DEVIATION ** 2 }
    shareOut([base, ...this.#pairsWith(observation)], observation.ratio, SAMPLE_NOISE * Math.max(observation.ratio, PRIOR_BASE_RATIO), measuredAt)
  }

  /** Learns from what the neighbours alone add to the ratio, where the load's own part is known. */
  learnAdded (observation: Observation, added: number): void {
    shareOut(this.#pairsWith(observation), added, SAMPLE_NOISE * Math.max(observation.ratio, PRIOR_BASE_RATIO), observation.measuredAt)
  }

  /** What has been learnt so far. */
  get estimates (): LearntEstimates {
    return { bases: toTable(this.#bases), pairs: toTable(this.#pairs) }
  }

  /** Goes on from what another process has learnt. */
  restore ({ bases, pairs }: LearntEstimates, at: Instant): void {
    for (const [key, mean, variance] of bases) this.#bases.set(key, { mean, variance, at })
    for (const [key, mean, variance] of pairs) {
      const estimate = { mean, variance, at }
      this.#pairs.set(key, estimate)
      const service = key.slice(0, key.indexOf('/')) as ServiceName
      const siblings = this.#pairsOf.get(service) ?? new Set<Estimate>()
      siblings.add(estimate)
      this.#pairsOf.set(service, siblings)
    }
  }

  #pairsWith ({ service, load, neighbours, measuredAt }: Observation): Term[] {
    const terms: Term[] = []
    const coresOf = new Map<string, number>()
    for (const { kind, cores } of neighbours) coresOf.set(kind, (coresOf.get(kind) ?? 0) + cores)
    for (const [kind, amount] of coresOf) {
      const estimate = this.#pairOf(service, kind, load, measuredAt)
      terms.push({ estimate, amount, priorVariance: PRIOR_RATIO_PER_CORE_DEVIATION ** 2 })
    }
    return terms
  }

  #baseOf (service: ServiceName, load: number, at: Instant): Estimate {
    const key = baseKey(service, load)
    const known = this.#bases.get(key) ?? { mean: PRIOR_BASE_RATIO, variance: PRIOR_BASE_DEVIATION ** 2, at }
    this.#bases.set(key, known)
    return known
  }

  #pairOf (service: ServiceName, kind: string, load: number, at: Instant): Estimate {
    const key = this.#pairKey(service, kind, load)
    const known = this.#pairs.get(key)
    if (known !== undefined) return known
    const fresh = { mean: this.#priorOf(service), variance: PRIOR_RATIO_PER_CORE_DEVIATION ** 2, at }
    this.#pairs.set(key, fresh)
    const siblings = this.#pairsOf.get(service) ?? new Set<Estimate>()
    siblings.add(fresh)
    this.#pairsOf.set(service, siblings)
    return fresh
  }

  #pairKey (service: ServiceName, kind: string, load: number): string {
    return `${service}/${bandOf(load, this.#bands)}/${kind}`
  }

  // Mean over the service's pairs, each counted by how well it is known, and the fixed prior once.
  #priorOf (service: ServiceName): number {
    const priorWeight = 1 / PRIOR_RATIO_PER_CORE_DEVIATION ** 2
    let sum = PRIOR_RATIO_PER_CORE * priorWeight
    let weights = priorWeight
    for (const { mean, variance } of this.#pairsOf.get(service) ?? []) {
      // Beyond ten times the prior's own weight a pair speaks for itself alone.
      const weight = Math.min(1 / variance - priorWeight, 10 * priorWeight)
      if (weight <= 0) continue
      sum += mean * weight
      weights += weight
    }
    return sum / weights
  }
}

// Each term takes its share of what was not expected, most the least known.
const shareOut = (terms: readonly Term[], seen: number, noise: number, at: Instant): void => {
  let predicted = 0
  let spread = noise * noise
  for (const term of terms) {
    forget(term, at)
    predicted += term.estimate.mean * term.amount
    spread += term.estimate.variance * term.amount * term.amount
  }
  const surprise = seen - predicted
  for (const { estimate, amount } of terms) {
    const gain = estimate.variance * amount / spread
    estimate.mean = Math.max(0, estimate.mean + gain * surprise)
    estimate.variance *= 1 - gain * amount
  }
}

// Four digits are more than any estimate is worth.
const toTable = (estimates: ReadonlyMap<string, Estimate>): LearntTable =>
  [...estimates].map(([key, { mean, variance }]) => [key, Number(mean.toPrecision(4)), Number(variance.toPrecision(4))] as const)

const forget = ({ estimate, priorVariance }: Term, at: Instant): void => {
  const passedMs = Math.max(0, at - estimate.at)
  estimate.variance = Math.min(priorVariance, estimate.variance + priorVariance * passedMs / FORGET_MS)
  estimate.at = at
}

const baseKey = (service: ServiceName, load: number): string =>
  `${service}/${Math.min(BASE_LOAD_STEPS, Math.floor(load * BASE_LOAD_STEPS))}`

const bandOf = (load: number, bands: readonly number[]): number => {
  let band = 0
  for (const upTo of bands) {
    if (load < upTo) break
    band++
  }
  return band
}
