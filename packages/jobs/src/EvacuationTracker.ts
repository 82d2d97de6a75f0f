/**
 * Applies evacuations of data centres to the workers of a cell.
 */
import type { CellId, Instant, Log, Metrics, WorkerId } from '@auburnpin/common'
import { evacuationOf, RESTORATION_SPREAD_MS, type RunOrder, type WorkerEntry, type WorkerRecord } from '@auburnpin/core'
import { FIRST_CELL } from './constants.ts'
import type { EvacuationList } from './EvacuationList.ts'
import type { OwnerPorts } from './OwnerPorts.ts'

type Occupancy = { workers: number, runs: number, longRunningRuns: number }

/**
 * Tells the workers at each scheduling pass whether their data centre is evacuated, keeps orders to start from being sent
 * there that were decided before, and logs and counts both.
 *
 * @example
 * const evacuations = new EvacuationTracker(ports, cell)
 * evacuations.update(scheduler.workers.values(), entries, now)
 * if (evacuations.admits(order, worker)) send(order)
 */
export class EvacuationTracker {
  readonly #list: EvacuationList
  readonly #log: Log
  readonly #metrics: Metrics
  readonly #cell: CellId
  /** Evacuated data centres with workers in the cell, as logged, and since when. */
  readonly #evacuatedSince = new Map<string, Instant>()
  /** Evacuated data centres that were looked up in the whole list of workers. */
  readonly #lookedUp = new Set<string>()
  #wasActive = false
  #isWaitLogged = false
  #isGauged = false

  constructor ({ evacuations, log, metrics }: OwnerPorts, cell: CellId) {
    this.#list = evacuations
    this.#log = log
    this.#metrics = metrics
    this.#cell = cell
  }

  /** Whether the list of evacuations is known, so that tasks may start. */
  get isKnown (): boolean {
    const { isKnown } = this.#list
    if (isKnown) this.#isWaitLogged = false
    else if (!this.#isWaitLogged) {
      this.#isWaitLogged = true
      this.#log.warn('The evacuated data centres are not known; no task starts', { cell: this.#cell })
    }
    return isKnown
  }

  /** Call it before each scheduling pass; `entries` are the workers of all cells. */
  update (workers: Iterable<WorkerRecord>, entries: ReadonlyMap<WorkerId, WorkerEntry>, now: Instant): void {
    const { dataCentres, restorations } = this.#list
    const isActive = dataCentres.size > 0 || [...restorations.values()].some(at => now - at < RESTORATION_SPREAD_MS)
    if (!isActive && !this.#wasActive) return
    this.#wasActive = isActive
    const evacuated = new Map<string, Occupancy>()
    const restored = new Map<string, Occupancy>()
    for (const worker of workers) {
      const { id, zone } = worker.entry
      worker.evacuation = evacuationOf(id, dataCentres.has(zone), restorations.get(zone), now)
      if (worker.evacuation === 'evacuated') addTo(evacuated, worker)
      else if (this.#evacuatedSince.has(zone)) addTo(restored, worker)
    }
    this.#logChanges(evacuated, restored, now)
    this.#logUnknown(evacuated, entries)
    this.#gauge(evacuated)
  }

  /** Whether an order to start may still be sent: call it after the last wait before the call. */
  admits ({ task, attempt }: RunOrder, { entry: { id, zone } }: WorkerRecord): boolean {
    if (this.#list.isKnown && !this.#list.has(zone)) return true
    this.#metrics.count('runs.withheld')
    this.#log.info('Order to start withheld, as the data centre is evacuated', { task, attempt, worker: id, dataCentre: zone, cell: this.#cell, isListKnown: this.#list.isKnown })
    return false
  }

  /** Resets the gauges at the end of the term. */
  stop (): void {
    if (this.#isGauged) this.#gauge(new Map())
  }

  #logChanges (evacuated: ReadonlyMap<string, Occupancy>, restored: ReadonlyMap<string, Occupancy>, now: Instant): void {
    for (const [dataCentre, occupancy] of evacuated) {
      if (this.#evacuatedSince.has(dataCentre)) continue
      this.#evacuatedSince.set(dataCentre, now)
      this.#log.info('Data centre evacuated', { cell: this.#cell, dataCentre, ...occupancy })
    }
    for (const [dataCentre, since] of this.#evacuatedSince) {
      if (this.#list.has(dataCentre)) continue
      this.#evacuatedSince.delete(dataCentre)
      this.#log.info('Data centre restored', { cell: this.#cell, dataCentre, evacuatedMs: Math.round(now - since), workers: 0, runs: 0, longRunningRuns: 0, ...restored.get(dataCentre) })
    }
  }

  // The owner of the first cell logs it for all; a data centre whose name is misspelt would otherwise stay open unnoticed.
  #logUnknown (evacuated: ReadonlyMap<string, Occupancy>, entries: ReadonlyMap<WorkerId, WorkerEntry>): void {
    if (this.#cell !== FIRST_CELL || entries.size === 0) return
    const { dataCentres } = this.#list
    for (const dataCentre of this.#lookedUp) if (!dataCentres.has(dataCentre)) this.#lookedUp.delete(dataCentre)
    for (const dataCentre of dataCentres) {
      if (this.#lookedUp.has(dataCentre)) continue
      this.#lookedUp.add(dataCentre)
      if (evacuated.has(dataCentre) || [...entries.values()].some(({ zone }) => zone === dataCentre)) continue
      this.#log.warn('The evacuated data centre has no worker; check its name', { dataCentre })
    }
  }

  #gauge (evacuated: ReadonlyMap<string, Occupancy>): void {
    this.#isGauged = true
    let workers = 0
    let runs = 0
    for (const occupancy of evacuated.values()) {
      workers += occupancy.workers
      runs += occupancy.runs
    }
    this.#metrics.gauge('cell.evacuatedWorkers', workers, { cell: this.#cell })
    this.#metrics.gauge('cell.evacuatedRuns', runs, { cell: this.#cell })
  }
}

const addTo = (occupancies: Map<string, Occupancy>, { entry: { zone }, runs }: WorkerRecord): void => {
  const occupancy = occupancies.get(zone) ?? { workers: 0, runs: 0, longRunningRuns: 0 }
  occupancies.set(zone, occupancy)
  occupancy.workers++
  occupancy.runs += runs.size
  for (const { task } of runs.values()) if (task.step.shape.isLasting) occupancy.longRunningRuns++
}
