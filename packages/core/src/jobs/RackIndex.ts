/**
 * Workers by rack.
 */
import { rackKey } from '../layout/assignRacks.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Workers of one rack that accept work. */
export type Rack = Readonly<{ key: string, workers: readonly WorkerRecord[] }>

const NO_RACKS: ReadonlyMap<string, Rack> = new Map()

/**
 * The workers of a scheduling pass by the label of the rack that holds data, and by rack. Both are built when they are
 * first asked for, so that a pass without tasks that prefer a rack costs nothing more.
 *
 * @example
 * index.ofData('r1-3').workers
 * index.of(rackKey(entry))?.workers
 */
export class RackIndex {
  readonly #workers: readonly WorkerRecord[]
  readonly #byLabel = new Map<string, Rack>()
  #byKey = NO_RACKS
  #freeShare: number | undefined

  constructor (workers: readonly WorkerRecord[]) {
    this.#workers = workers
  }

  /** The workers with the label of the rack that holds data; none if the rack is lost, evacuated or in another cell. */
  ofData (label: string): Rack {
    const known = this.#byLabel.get(label)
    if (known !== undefined) return known
    const rack = { key: label, workers: this.#workers.filter(({ entry }) => entry.labels.includes(label)) }
    this.#byLabel.set(label, rack)
    return rack
  }

  of (key: string): Rack | undefined {
    return this.#racks.get(key)
  }

  /** All racks, those with the most free processors first. */
  byFreeProcessors (): readonly Rack[] {
    return [...this.#racks.values()].map(rack => ({ rack, free: freeProcessorsOf(rack.workers) })).sort((one, other) => other.free - one.free).map(({ rack }) => rack)
  }

  /** Share of the processors that is free, from 0 to 1. */
  get freeShare (): number {
    this.#freeShare ??= freeProcessorsOf(this.#workers) / Math.max(1, this.#workers.reduce((sum, { entry }) => sum + entry.processors, 0))
    return this.#freeShare
  }

  get #racks (): ReadonlyMap<string, Rack> {
    if (this.#byKey !== NO_RACKS) return this.#byKey
    const byKey = new Map<string, { key: string, workers: WorkerRecord[] }>()
    for (const worker of this.#workers) {
      const key = rackKey(worker.entry)
      const rack = byKey.get(key)
      if (rack === undefined) byKey.set(key, { key, workers: [worker] })
      else rack.workers.push(worker)
    }
    this.#byKey = byKey
    return byKey
  }
}

const freeProcessorsOf = (workers: readonly WorkerRecord[]): number => workers.reduce((free, { entry, processorsUsed }) => free + entry.processors - processorsUsed, 0)
