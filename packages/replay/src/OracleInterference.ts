/**
 * Interference as it truly is: the bound that learning is measured against.
 */
import type { ServiceName } from '@auburnpin/common'
import { InterferenceModel } from '@auburnpin/core'
import type { HiddenTable } from './HiddenTable.ts'

/** Sees the hidden table; learns nothing. */
export class OracleInterference extends InterferenceModel {
  readonly #table: HiddenTable

  constructor (table: HiddenTable) {
    super()
    this.#table = table
  }

  baseRatio (service: ServiceName, load: number): number {
    return this.#table.baseRatio(service, load)
  }

  ratioPerCore (service: ServiceName, kind: string, load: number): number {
    const program = kind.slice(kind.indexOf('/') + 1)
    return this.baseRatio(service, load) * this.#table.slowdownPerCore(service, program, load)
  }

  learn (): void {}
}
