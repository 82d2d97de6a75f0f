/**
 * Interference model with the true values; the reference that learnt models are compared with.
 */
import type { ServiceName } from '@auburnpin/common'
import { InterferenceModel } from '@auburnpin/core'
import type { GroundTruth } from './GroundTruth.ts'

/** Reads the ground truth and ignores observations. */
export class OracleInterference extends InterferenceModel {
  readonly #groundTruth: GroundTruth

  constructor (groundTruth: GroundTruth) {
    super()
    this.#groundTruth = groundTruth
  }

  baseRatio (service: ServiceName, load: number): number {
    return this.#groundTruth.baseRatio(service, load)
  }

  ratioPerCore (service: ServiceName, workloadKind: string, load: number): number {
    const program = workloadKind.slice(workloadKind.indexOf('/') + 1)
    return this.baseRatio(service, load) * this.#groundTruth.slowdownPerCore(service, program, load)
  }

  learn (): void {}
}
