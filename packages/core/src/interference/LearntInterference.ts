/**
 * Interference learnt from delayed samples, per service, workload kind and load band.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import {
  BASE_LOAD_STEPS, LOAD_BANDS, PRIOR_BASE_DEVIATION, PRIOR_BASE_RATIO, PRIOR_RATIO_PER_CORE, PRIOR_RATIO_PER_CORE_DEVIATION, SAMPLE_DEVIATION_SHARE, VARIANCE_RECOVERY_MS
} from '../constants.ts'
import { InterferenceModel, type Observation } from './InterferenceModel.ts'

type Estimate = { mean: number, variance: number, at: Instant }
/** An estimate and the factor by which it enters the predicted ratio. */
type Contribution = Readonly<{ estimate: Estimate, amount: number, priorVariance: number }>

/** All estimates by key, as mean and variance, from which another process can continue. */
export type LearntEstimates = Readonly<{ bases: LearntTable, pairs: LearntTable }>

type LearntTable = readonly (readonly [key: string, mean: number, variance: number])[]

/**
 * A Kalman filter with a diagonal covariance: the difference between a sample and its prediction is distributed over
 * the estimates involved, most to those with the largest variance. Variances grow with time, so that newer samples
 * outweigh old ones. A new pair of service and workload kind starts from the mean of the service's other pairs.
 */
export class LearntInterference extends InterferenceModel {
  readonly #bands: readonly number[]
  readonly #bases = new Map<string, Estimate>()
  readonly #pairs = new Map<string, Estimate>()
  readonly #pairsOf = new Map<ServiceName, Set<Estimate>>()

  /** `bands` are the bounds between load bands, each with its own estimate per pair; without bounds there is one band. */
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
    return known?.mean ?? this.#priorRatioPerCore(service)
  }

  learn (observation: Observation): void {
    const { service, load, measuredAt } = observation
    const base = { estimate: this.#baseOf(service, load, measuredAt), amount: 1, priorVariance: PRIOR_BASE_DEVIATION ** 2 }
    updateEstimates([base, ...this.#neighbourContributions(observation)], observation.ratio, SAMPLE_DEVIATION_SHARE * Math.max(observation.ratio, PRIOR_BASE_RATIO), measuredAt)
  }

  /** Learns from the part of the ratio that the neighbours add, where it is known apart from that of the load. */
  learnAddedRatio (observation: Observation, added: number): void {
    updateEstimates(this.#neighbourContributions(observation), added, SAMPLE_DEVIATION_SHARE * Math.max(observation.ratio, PRIOR_BASE_RATIO), observation.measuredAt)
  }

  /** All estimates, rounded. */
  get estimates (): LearntEstimates {
    return { bases: toTable(this.#bases), pairs: toTable(this.#pairs) }
  }

  /** Continues from the estimates of another process. */
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

  #neighbourContributions ({ service, load, neighbours, measuredAt }: Observation): Contribution[] {
    const contributions: Contribution[] = []
    const coresOf = new Map<string, number>()
    for (const { kind, cores } of neighbours) coresOf.set(kind, (coresOf.get(kind) ?? 0) + cores)
    for (const [kind, amount] of coresOf) {
      const estimate = this.#pairOf(service, kind, load, measuredAt)
      contributions.push({ estimate, amount, priorVariance: PRIOR_RATIO_PER_CORE_DEVIATION ** 2 })
    }
    return contributions
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
    const created = { mean: this.#priorRatioPerCore(service), variance: PRIOR_RATIO_PER_CORE_DEVIATION ** 2, at }
    this.#pairs.set(key, created)
    const siblings = this.#pairsOf.get(service) ?? new Set<Estimate>()
    siblings.add(created)
    this.#pairsOf.set(service, siblings)
    return created
  }

  #pairKey (service: ServiceName, kind: string, load: number): string {
    return `${service}/${bandOf(load, this.#bands)}/${kind}`
  }

  // Mean over the service's pairs, weighted by the precision gained over the prior, and the fixed prior.
  #priorRatioPerCore (service: ServiceName): number {
    const priorWeight = 1 / PRIOR_RATIO_PER_CORE_DEVIATION ** 2
    let sum = PRIOR_RATIO_PER_CORE * priorWeight
    let weights = priorWeight
    for (const { mean, variance } of this.#pairsOf.get(service) ?? []) {
      // Capped at ten times the prior's weight, so that one well-known pair does not decide for all others.
      const weight = Math.min(1 / variance - priorWeight, 10 * priorWeight)
      if (weight <= 0) continue
      sum += mean * weight
      weights += weight
    }
    return sum / weights
  }
}

// One Kalman update; the gain of each estimate grows with its variance.
const updateEstimates = (contributions: readonly Contribution[], measured: number, noise: number, at: Instant): void => {
  let predicted = 0
  let innovationVariance = noise * noise
  for (const contribution of contributions) {
    ageVariance(contribution, at)
    predicted += contribution.estimate.mean * contribution.amount
    innovationVariance += contribution.estimate.variance * contribution.amount * contribution.amount
  }
  const innovation = measured - predicted
  for (const { estimate, amount } of contributions) {
    const gain = estimate.variance * amount / innovationVariance
    estimate.mean = Math.max(0, estimate.mean + gain * innovation)
    estimate.variance *= 1 - gain * amount
  }
}

// Estimates are less accurate than four digits.
const toTable = (estimates: ReadonlyMap<string, Estimate>): LearntTable =>
  [...estimates].map(([key, { mean, variance }]) => [key, Number(mean.toPrecision(4)), Number(variance.toPrecision(4))] as const)

const ageVariance = ({ estimate, priorVariance }: Contribution, at: Instant): void => {
  const passedMs = Math.max(0, at - estimate.at)
  estimate.variance = Math.min(priorVariance, estimate.variance + priorVariance * passedMs / VARIANCE_RECOVERY_MS)
  estimate.at = at
}

const baseKey = (service: ServiceName, load: number): string =>
  `${service}/${Math.min(BASE_LOAD_STEPS, Math.floor(load * BASE_LOAD_STEPS))}`

const bandOf = (load: number, bands: readonly number[]): number => {
  let band = 0
  for (const bound of bands) {
    if (load < bound) break
    band++
  }
  return band
}
