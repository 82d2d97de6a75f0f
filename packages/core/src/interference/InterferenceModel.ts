/**
 * Predicts how much batch work slows down a service on the same VM.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { PRIOR_BASE_RATIO, PRIOR_RATIO_PER_CORE } from '../constants.ts'

/** Cores in use beside a replica by tasks of one workload kind, a team and program. */
export type Neighbour = Readonly<{ kind: string, cores: number }>

/** One usage sample of a replica and the batch work beside it. */
export type Observation = Readonly<{
  service: ServiceName
  /** Share of its declared processors that the replica used. */
  load: number
  /** Latency ratio: 99th percentile of response times over the service's objective. */
  ratio: number
  neighbours: readonly Neighbour[]
  measuredAt: Instant
}>

/** All ratios are latency ratios: at 1 the service just meets its objective. */
export abstract class InterferenceModel {
  /** Ratio of a replica without neighbours. */
  abstract baseRatio (service: ServiceName, load: number): number
  /** Amount that each core in use by a workload kind adds to the ratio. */
  abstract ratioPerCore (service: ServiceName, kind: string, load: number): number
  /** Learns from one sample. */
  abstract learn (observation: Observation): void

  /**
   * Ratio of a replica beside neighbours.
   *
   * @example
   * model.predict(service, 0.6, [{ kind: 'buyers/replenish', cores: 4 }])
   */
  predict (service: ServiceName, load: number, neighbours: readonly Neighbour[]): number {
    let ratio = this.baseRatio(service, load)
    for (const { kind, cores } of neighbours) ratio += cores * this.ratioPerCore(service, kind, load)
    return ratio
  }
}

/** Predicts no interference at all. */
export class NoInterference extends InterferenceModel {
  baseRatio (): number {
    return 0
  }

  ratioPerCore (): number {
    return 0
  }

  learn (): void {}
}

/** Predicts the same interference for each core of every workload kind, and learns nothing. */
export class UniformInterference extends InterferenceModel {
  baseRatio (): number {
    return PRIOR_BASE_RATIO
  }

  ratioPerCore (): number {
    return PRIOR_RATIO_PER_CORE
  }

  learn (): void {}
}
