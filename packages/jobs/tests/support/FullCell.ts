/**
 * A deployment of several cells, of which one is full when some of its tasks lose their workers.
 */
import type { Job, JobStep } from '@auburnpin/core'
import { jobOf, stepOf, type FakeJobWorker, type FakeRunBehaviour } from '@auburnpin/fakes'
import { cellAt, encodeJob, jobPart } from '../../src/rows.ts'
import { JobsSimulation } from './JobsSimulation.ts'

const ENDLESS_MS = 1e9
const SETTLE_MS = 4_000
export const WORKERS_PER_CELL = 4
export const WORKER_PROCESSORS = 8_000

export const ENDLESS_RUN: FakeRunBehaviour = { runMs: ENDLESS_MS, ending: 'done' }

/** A long-running step whose tasks fill a worker each. */
export const wholeWorkers = (taskCount: number, overrides: Partial<JobStep> = {}): JobStep =>
  stepOf({ isLasting: true, taskCount, processors: WORKER_PROCESSORS, ...overrides })

export class FullCell {
  readonly simulation: JobsSimulation
  #jobs = 0

  /** `behaviourOf` by the number of a job, from 1, and of the step. */
  constructor (cells: number, behaviourOf: (job: number, step: number) => FakeRunBehaviour = () => ENDLESS_RUN) {
    this.simulation = new JobsSimulation(cells * WORKERS_PER_CELL, task => {
      const [id = '', , step] = task.split('.')
      return behaviourOf(Number.parseInt(id, 16), Number(step))
    })
    this.simulation.workersPerCell = WORKERS_PER_CELL
  }

  /** Starts a process for each cell and some more, and waits until all cells have owners. */
  async start (): Promise<void> {
    for (let index = 1; index <= 4; index++) this.simulation.addNode(`n${index}`)
    await this.simulation.advance(SETTLE_MS)
  }

  /** Submits a job to a cell. */
  submit (steps: readonly JobStep[], cell = 0, overrides: Partial<Job> = {}): Job {
    const id = (++this.#jobs).toString(16).padStart(16, '0')
    const job = jobOf(id, steps, { acceptedAt: this.simulation.clock.wallTime(), ...overrides })
    this.simulation.rows.put('jobs', jobPart(job.id), job.id, encodeJob({ job, cell: cellAt(cell) }))
    return job
  }

  /** Workers of a cell. */
  workersOf (cell: number): FakeJobWorker[] {
    const row = this.simulation.rows.read('terms', 'cell-0', `layout-${cell}`)
    const { racks } = JSON.parse(row?.value ?? '{"racks":[]}') as { racks: string[] }
    return racks.map(rack => this.simulation.worker(rack.slice(1)))
  }

  /** A worker vanishes for good. */
  lose (worker: FakeJobWorker): void {
    worker.crash()
    this.simulation.listed.delete(worker.id)
  }

  /** The name of the process that owns a cell. */
  ownerOf (cell: number): string | undefined {
    for (const { name, election } of this.simulation.nodes.values()) if (election.ownedCells.includes(cellAt(cell))) return name
    return undefined
  }

  /** Number of runs of a job, by the cell of their workers. */
  runsByCell (job: Job, cells: number): number[] {
    return Array.from({ length: cells }, (_, cell) => this.workersOf(cell).reduce((sum, { running }) => sum + running.filter(task => task.startsWith(job.id)).length, 0))
  }

  runs (job: Job): number {
    return [...this.simulation.workers.values()].reduce((sum, { running, hasCrashed }) => hasCrashed ? sum : sum + running.filter(task => task.startsWith(job.id)).length, 0)
  }

  /** Rows of the jobs table and of progress that cells share beside the rows of the jobs themselves. */
  sharedRows (job: Job): string[] {
    const inJobs = this.simulation.rows.list({ table: 'jobs', part: jobPart(job.id), from: job.id, to: `${job.id}~~` }).rows
    const inProgress = [0, 1, 2, 3].flatMap(cell => this.simulation.rows.list({ table: 'progress', part: cellAt(cell), from: job.id, to: `${job.id}~~` }).rows)
    return [...inJobs, ...inProgress].map(({ key }) => key).filter(key => /~(to|by|guest)-/.test(key))
  }
}
