/**
 * How much batch work slows a service down on the VM they share.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { PRIOR_BASE_RATIO, PRIOR_RATIO_PER_CORE } from '../constants.ts'

/** Cores in use by one kind of task beside a replica. */
export type Neighbour = Readonly<{ kind: string, cores: number }>

/** One replica at the time of a sample. */
export type Observation = Readonly<{
  service: ServiceName
  /** Share of its declared processors that the replica used. */
  load: number
  /** 99th percentile of answer times over the service's objective. */
  ratio: number
  neighbours: readonly Neighbour[]
  measuredAt: Instant
}>

/** Ratios are answer times over the objective: 1 is just met. */
export abstract class InterferenceModel {
  /** Ratio of a replica that has the VM to itself. */
  abstract baseRatio (service: ServiceName, load: number): number
  /** What each core in use of a kind of task adds to the ratio. */
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

/** Takes every pair for harmless. */
export class NoInterference extends InterferenceModel {
  baseRatio (): number {
    return 0
  }

  ratioPerCore (): number {
    return 0
  }

  learn (): void {}
}

/** Takes each core of every kind for equally harmful, and learns nothing. */
export class UniformInterference extends InterferenceModel {
  baseRatio (): number {
    return PRIOR_BASE_RATIO
  }

  ratioPerCore (): number {
    return PRIOR_RATIO_PER_CORE
  }

  learn (): void {}
}
