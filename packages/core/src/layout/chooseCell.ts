/**
 * Choice of the cell that a new job is scheduled in.
 */
import type { Job, JobStep } from '../jobs/types.ts'
import { offerOf } from './offers.ts'
import type { CellWorkers, ServiceOffer } from './types.ts'

/** A cell as its owner last published it. */
export type CellLoad = Readonly<{
  /** Workers outside evacuated data centres. */
  workers: number
  /** Processors that running and waiting tasks need, as a percentage of those of all workers. */
  loadPercent: number
  /** Whether the cell has an owner. */
  isOwned: boolean
  /** Whether all workers of the cell are in evacuated data centres, so that nothing starts there. */
  isEvacuated?: boolean
}>

/** Weight of the load: a cell without any gets five times the jobs of one whose tasks need all its processors. */
const BASE_LOAD_PERCENT = 25

/**
 * Returns the index of a cell that can run all steps of a job, at random by free capacity; `fraction` is uniformly
 * distributed in [0, 1). A cell whose rack holds a step's data goes first, and one that is
 * evacuated only if no other can run the job. The loads are some seconds old and every
 * process chooses by itself, so sending each job to the least loaded cell would send all jobs of those seconds there.
 * A job that no cell can run goes to one with workers of its service, whose owner reports why it waits.
 *
 * @example
 * const cell = chooseCell(job, layout.cells, loads, random.fraction())
 */
export const chooseCell = (job: Job, cells: readonly CellWorkers[], loads: readonly CellLoad[], fraction: number): number => {
  const ableAtAll = cells.map((_, index) => index).filter(index => canRun(job, cells[index]))
  const notEvacuated = ableAtAll.filter(index => loads[index]?.isEvacuated !== true)
  const able = notEvacuated.length > 0 ? notEvacuated : ableAtAll
  const nearData = able.filter(index => holdsData(job, cells[index]))
  const ofService = cells.map((_, index) => index).filter(index => offerOf(cells[index], job.policy.service) !== undefined)
  const suitable = [nearData, able, ofService].find(indexes => indexes.length > 0) ?? [0]
  const owned = suitable.filter(index => loads[index]?.isOwned === true)
  return pickByWeight(owned.length > 0 ? owned : suitable, index => weightOf(loads[index]), fraction)
}

const pickByWeight = (indexes: readonly number[], weightOfIndex: (index: number) => number, fraction: number): number => {
  const weights = indexes.map(weightOfIndex)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  if (total === 0) return indexes[Math.floor(fraction * indexes.length)] ?? 0
  let remaining = fraction * total
  for (const [position, index] of indexes.entries()) {
    remaining -= weights[position] ?? 0
    if (remaining < 0) return index
  }
  return indexes.at(-1) ?? 0
}

const weightOf = (load: CellLoad | undefined): number =>
  load === undefined ? 0 : load.workers / (BASE_LOAD_PERCENT + load.loadPercent)

/** Whether the workers of a cell can run all steps of a job. */
export const canRun = ({ steps, policy: { service } }: Job, cell: CellWorkers | undefined): boolean => {
  const offer = offerOf(cell, service)
  return offer !== undefined && steps.every(step => fits(step, offer))
}

/** Whether the workers of a cell can run the tasks of one step. */
export const canRunStep = ({ policy: { service } }: Job, step: JobStep, cell: CellWorkers | undefined): boolean => {
  const offer = offerOf(cell, service)
  return offer !== undefined && fits(step, offer)
}

const fits = ({ processors, memoryMb, accelerators, requiredLabel }: JobStep, offer: ServiceOffer): boolean =>
  processors <= offer.processors && memoryMb <= offer.memoryMb && accelerators <= offer.accelerators &&
  (requiredLabel === '' || offer.labels.includes(requiredLabel))

const holdsData = ({ steps, policy: { service } }: Job, cell: CellWorkers | undefined): boolean => {
  const labels = offerOf(cell, service)?.labels ?? []
  return steps.some(({ dataRack }) => dataRack !== '' && labels.includes(dataRack))
}
