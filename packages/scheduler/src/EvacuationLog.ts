/**
 * Logs which data centres have been evacuated and restored.
 */
import type { CellId, DataCentre, Log } from '@auburnpin/common'
import type { Configuration } from '@auburnpin/core'
import type { Occupancy } from './CellRunner.ts'

/** An owned cell with its data centre and what is placed there. */
export type OccupiedCell = Readonly<{ cell: CellId, dataCentre: DataCentre, occupancy: Occupancy }>

type Evacuations = Configuration['evacuations']

/** Compares each configuration that comes into force with the one before. */
export class EvacuationLog {
  readonly #log: Log
  #evacuations: Evacuations = {}

  constructor (log: Log) {
    this.#log = log
  }

  /** Logs what `configuration` changes, with the workers and tasks of the cells that this member owns there. */
  record ({ evacuations, version }: Configuration, owned: readonly OccupiedCell[]): void {
    const before = this.#evacuations
    this.#evacuations = evacuations
    for (const [name, { value, changedBy }] of Object.entries(evacuations)) {
      if (before[name as DataCentre] !== undefined) continue
      this.#log.warn('Data centre evacuated', { dataCentre: name, reason: value.reason, since: value.since, note: changedBy, version, ...countIn(name, owned) })
    }
    for (const name of Object.keys(before)) {
      if (evacuations[name as DataCentre] === undefined) this.#log.info('Data centre restored', { dataCentre: name, version, ...countIn(name, owned) })
    }
  }
}

const countIn = (dataCentre: string, owned: readonly OccupiedCell[]): Readonly<{ ownedCells: number, workers: number, tasks: number }> => {
  const cells = owned.filter(cell => cell.dataCentre === dataCentre)
  let workers = 0
  let tasks = 0
  for (const { occupancy } of cells) {
    workers += occupancy.workers
    tasks += occupancy.tasks
  }
  return { ownedCells: cells.length, workers, tasks }
}
