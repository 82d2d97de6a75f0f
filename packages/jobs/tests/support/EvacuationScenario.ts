/**
 * Workers in several data centres, and what starts there while some are evacuated.
 */
import type { Job, JobStep, TaskName } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour, type WorkerEvent } from '@auburnpin/fakes'
import { JobsSimulation, type Node } from './JobsSimulation.ts'

/** Users allow starts for this many milliseconds after the store has confirmed an evacuation; here a feed takes 18 ms, and a pass follows within 110 ms. */
export const KNOWN_AFTER_MS = 150

/** Runs a simulation whose workers are divided among data centres, and records their evacuations. */
export class EvacuationScenario {
  readonly simulation: JobsSimulation
  #jobs = 0

  /** `workers` workers are spread evenly over `dataCentres`. */
  constructor (workers: number, dataCentres: readonly string[], behaviourOf: (task: TaskName) => FakeRunBehaviour, nodes = 2) {
    this.simulation = new JobsSimulation(workers, behaviourOf)
    for (const [index, worker] of [...this.simulation.workers.values()].entries()) worker.zone = dataCentres[index % dataCentres.length] ?? ''
    for (let index = 1; index <= nodes; index++) this.simulation.addNode(`n${index}`)
  }

  get now (): number {
    return this.simulation.clock.now()
  }

  /** Submits a job of the given step to a process and returns its id. */
  async submit (step: Partial<JobStep> = {}, node = this.anyNode, overrides: Partial<Job> = {}): Promise<string> {
    const id = (++this.#jobs).toString(16).padStart(16, '0')
    await this.simulation.settle(node.jobs.submit(jobOf(id, [stepOf(step)], { acceptedAt: this.simulation.clock.wallTime(), ...overrides }), 2_000))
    return id
  }

  get anyNode (): Node {
    return [...this.simulation.nodes.values()][0] as Node
  }

  /** Starts in a data centre from a time on. */
  startsIn (dataCentre: string, from = 0, to = Infinity): readonly WorkerEvent[] {
    return this.simulation.events.filter(({ kind, worker, at }) => kind === 'started' && at >= from && at < to && this.simulation.worker(worker).zone === dataCentre)
  }

  workersIn (dataCentre: string): readonly string[] {
    return [...this.simulation.workers.values()].filter(({ zone }) => zone === dataCentre).map(({ id }) => id)
  }

  runningIn (dataCentre: string): number {
    return this.workersIn(dataCentre).reduce((sum, id) => sum + this.simulation.worker(id).running.length, 0)
  }
}
