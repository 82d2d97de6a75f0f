/**
 * Participation of one process in the elections of the owners of all cells.
 */
import { rendezvousRank, type CellId, type QueueName, type Random } from '@auburnpin/common'
import type { Job, PublishedBacklogs, PublishedWaits } from '@auburnpin/core'
import { CORES_PER_WORKER, FIRST_CELL, STANDBY_CELLS, TERM_POLL_INTERVAL_MS } from './constants.ts'
import type { PublishedTasks } from './KeptTasksLimit.ts'
import { OwnerElection, type CandidateIdentity } from './OwnerElection.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { cellAt, type PublishedCells } from './rows.ts'

/** A VM with less than this share of the processor time that a full cell needs stands by for no cell. */
const MIN_STANDBY_SHARE = 0.75

/**
 * Every process takes part in the election of the first cell, whose term also tells it of the others. It polls the terms
 * of a few further cells as their standby, and those of cells that are published as having no owner.
 *
 * @example
 * const elections = new CellElections(ports, identity, random)
 * elections.start()
 */
export class CellElections {
  readonly #ports: OwnerPorts
  readonly #identity: CandidateIdentity
  readonly #random: Random
  readonly #first: OwnerElection
  readonly #others = new Map<CellId, OwnerElection>()
  #standbyFor: ReadonlySet<CellId> = new Set()
  #cellCount = 1
  #isStopped = false

  constructor (ports: OwnerPorts, identity: CandidateIdentity, random: Random) {
    this.#ports = ports
    this.#identity = identity
    this.#random = random
    this.#first = this.#createElection(FIRST_CELL)
  }

  /** Number of jobs of a queue in all cells that have no started task, as last published. */
  pendingOf (queue: QueueName): number {
    return countOf(this.#first.pending, queue) + countOf(this.publishedCells?.pending ?? {}, queue)
  }

  /** State of all cells as last published; `undefined` in a deployment with one cell. */
  get publishedCells (): PublishedCells | undefined {
    return this.#first.publishedCells
  }

  /** Waits of new jobs in the cells that could run a job, as last published; `undefined` while the first cell has no owner. */
  waitsFor (job: Job): PublishedWaits | undefined {
    const published = this.#first.publishedWaits
    if (published === undefined) return undefined
    const { own, ofCells, ageMs } = published
    return { cells: this.#ports.cells.candidates(job).map(index => index === 0 ? own : ofCells?.[index] ?? undefined), ageMs }
  }

  /** Accepted work that waits in the cells that could run a job, as last published; `undefined` while the first cell has no owner. */
  backlogsFor (job: Job): PublishedBacklogs | undefined {
    const published = this.#first.publishedBacklogs
    if (published === undefined) return undefined
    const { own, ofCells, ageMs } = published
    return { cells: this.#ports.cells.candidates(job).map(index => index === 0 ? own : ofCells?.[index] ?? undefined), ageMs }
  }

  /** Tasks that the owner with the fewest keeps of those cells that could run a job, as last published; `undefined` if one doesn't say. */
  keptTasksFor (job: Job): PublishedTasks | undefined {
    const first = this.#first.publishedTasks
    if (first === undefined) return undefined
    const ofCells = this.#ports.cells.candidates(job).map(index => index === 0 ? first.tasks : this.publishedCells?.keptTasks?.[index] ?? undefined)
    const known = ofCells.filter(tasks => tasks !== undefined)
    return known.length < ofCells.length ? undefined : { tasks: Math.min(...known), ageMs: first.ageMs }
  }

  /** Cells that this process owns. */
  get ownedCells (): readonly CellId[] {
    const owned = this.#first.isOwner ? [FIRST_CELL] : []
    for (const [cell, election] of this.#others) if (election.isOwner) owned.push(cell)
    return owned
  }

  /** Whether this process owns a cell. */
  get isOwner (): boolean {
    return this.ownedCells.length > 0
  }

  start (): void {
    this.#first.start()
    void this.#run()
  }

  /** Claims no more cells and releases those that this process owns. What is published is followed until the process ends. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await Promise.all([this.#first.retire(), ...[...this.#others.values()].map(election => election.stop())])
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(TERM_POLL_INTERVAL_MS)
      if (!this.#isStopped) this.#update(this.publishedCells?.loads ?? [])
    }
  }

  #update (loads: PublishedCells['loads']): void {
    if (loads.length !== this.#cellCount) this.#chooseStandbyCells(loads.length)
    for (let index = 1; index < loads.length; index++) {
      const cell = cellAt(index)
      const election = this.#others.get(cell)
      const isWanted = this.#standbyFor.has(cell) || loads[index]?.isOwned !== true
      if (isWanted && election === undefined) this.#startElection(cell)
      else if (!isWanted && election?.isBusy === false) {
        void election.stop()
        this.#others.delete(cell)
      }
    }
  }

  #chooseStandbyCells (cellCount: number): void {
    this.#cellCount = cellCount
    const isLargeEnough = this.#identity.processorShare >= MIN_STANDBY_SHARE * CORES_PER_WORKER * this.#ports.workersPerCell
    const cells = Array.from({ length: Math.max(0, cellCount - 1) }, (_, position) => cellAt(position + 1))
    this.#standbyFor = new Set(isLargeEnough ? rendezvousRank(this.#identity.name, cells).slice(0, STANDBY_CELLS) : [])
  }

  #startElection (cell: CellId): void {
    const election = this.#createElection(cell)
    this.#others.set(cell, election)
    election.start()
  }

  #createElection (cell: CellId): OwnerElection {
    return new OwnerElection(this.#ports, this.#identity, this.#random, cell, () => this.ownedCells.length)
  }
}

// A queue may have the name of a property that every object has.
const countOf = (counts: Readonly<Record<string, number>>, queue: QueueName): number => Object.hasOwn(counts, queue) ? counts[queue] ?? 0 : 0
