/**
 * Processes and workers on a virtual clock, with jobs whose tasks may crash their workers.
 */
import type { JobId } from '@auburnpin/common'
import { parseTaskName, type Job, type JobPhase, type JobStep, type TaskName, type TaskNameParts } from '@auburnpin/core'
import { jobOf, stepOf, type FakeJobWorker, type FakeRunBehaviour, type WorkerEvent } from '@auburnpin/fakes'
import { findCrashBreaches } from './findCrashBreaches.ts'
import { JobsSimulation, type Node } from './JobsSimulation.ts'

const SETTLE_MS = 4_500
const SUBMIT_WITHIN_MS = 2_000
/** Time in which a task of a job that has failed could start again. */
const WATCH_MS = 12_000
const STEP_MS = 10
/** Time that a process takes to stop. */
const STOP_MS = 300

/** Decides how a run of a task behaves. */
export type TaskBehaviour = (task: TaskNameParts) => FakeRunBehaviour

/** A run that crashes its worker just after its start; a task with such runs is a crashing task. */
export const CRASHING_RUN: FakeRunBehaviour = { runMs: 1e9, ending: 'done', crashAfterMs: 10 }

export class CrashingCluster {
  readonly simulation: JobsSimulation
  readonly #jobs = new Map<JobId, Job>()
  readonly #behaviours = new Map<JobId, TaskBehaviour>()
  readonly #crashingJobs = new Set<JobId>()
  readonly #suspended = new Set<Node>()
  #lives = 0
  #submitted = 0

  constructor (workerCount: number) {
    this.simulation = new JobsSimulation(workerCount, task => this.#behaviourOf(task))
    this.simulation.closesConnections = true
  }

  /** Starts the processes and waits until a cell has an owner. */
  async start (processCount = 3): Promise<void> {
    for (let index = 1; index <= processCount; index++) this.simulation.addNode(`n${index}`)
    await this.simulation.advance(SETTLE_MS)
  }

  /** Submits a job through a process that is up; `isCrashing`: each run of one of its tasks crashes its worker. */
  submit (steps: readonly JobStep[], behaviour: TaskBehaviour, { isCrashing = false, ...overrides }: Partial<Job> & { isCrashing?: boolean } = {}): Job {
    const job = jobOf((++this.#submitted).toString(16).padStart(16, '0'), steps, { acceptedAt: this.simulation.clock.wallTime(), ...overrides })
    this.#behaviours.set(job.id, behaviour)
    if (isCrashing) this.#crashingJobs.add(job.id)
    // Nothing is promised for a job that wasn't accepted, or whose process ended before.
    void this.#anyNode.jobs.submit(job, SUBMIT_WITHIN_MS).then(outcome => {
      if (outcome.ok) this.#jobs.set(job.id, job)
      else this.#crashingJobs.delete(job.id)
    })
    return job
  }

  /** Submits a job of one crashing task. */
  submitCrashing (overrides: Partial<JobStep> = {}, run: FakeRunBehaviour = CRASHING_RUN): Job {
    return this.submit([stepOf(overrides)], () => run, { isCrashing: true })
  }

  /** Submits jobs whose tasks crash no worker. */
  submitHarmless (jobCount: number, taskCount: number, runMs: number, overrides: Partial<JobStep> = {}): readonly Job[] {
    return Array.from({ length: jobCount }, () => this.submit([stepOf({ taskCount, estimateMs: runMs, ...overrides })], () => ({ runMs, ending: 'done' })))
  }

  /** Crashes that runs of a job caused. */
  crashesUnder ({ id }: Job): number {
    return this.simulation.events.filter(({ how, task }) => how === 'crashing' && parseTaskName(task)?.job === id).length
  }

  /** Advances until a job has caused so many crashes, for at most `ms`. Returns whether it has. */
  async advanceToCrash (job: Job, crashes: number, ms = 20_000): Promise<boolean> {
    return await this.#advanceUntil(() => this.crashesUnder(job) >= crashes, ms)
  }

  /** Advances until a worker starts a task of a job, for at most `ms`, and returns that start. */
  async advanceToStart ({ id }: Job, ms = 20_000): Promise<WorkerEvent | undefined> {
    const { events } = this.simulation
    const seen = events.length
    const find = (): WorkerEvent | undefined => events.slice(seen).find(({ kind, task }) => kind === 'started' && parseTaskName(task)?.job === id)
    await this.#advanceUntil(() => find() !== undefined, ms)
    return find()
  }

  async #advanceUntil (isReached: () => boolean, ms: number): Promise<boolean> {
    for (let waitedMs = 0; waitedMs < ms; waitedMs += STEP_MS) {
      if (isReached()) return true
      await this.simulation.advance(STEP_MS)
    }
    return isReached()
  }

  /** Kills the owner of the first cell; its process starts again later. */
  killOwner (backAfterMs = 1_000): void {
    const { owner } = this.simulation
    if (owner !== undefined) this.#kill(owner, backAfterMs)
  }

  /** Stops the owner of the first cell, which releases its term; its process then ends and starts again later. */
  stopOwner (backAfterMs = 1_000): void {
    const { owner } = this.simulation
    if (owner === undefined) return
    void owner.election.stop()
    this.simulation.clock.after(STOP_MS, () => this.#kill(owner, backAfterMs))
  }

  #kill (node: Node, backAfterMs: number): void {
    node.kill()
    this.simulation.clock.after(backAfterMs, () => this.simulation.addNode(node.name, `${node.name}-life${++this.#lives}`))
  }

  suspendOwner (ms: number): void {
    const { owner } = this.simulation
    if (owner === undefined || this.#suspended.has(owner)) return
    owner.suspend()
    this.#suspended.add(owner)
    this.simulation.clock.after(ms, () => {
      this.#suspended.delete(owner)
      // One that was killed meanwhile stays dead.
      if (this.simulation.nodes.get(owner.name) === owner) owner.resume()
    })
  }

  /** Crashes workers by no task's doing; they return as new incarnations. */
  crashWorkers (workers: Iterable<FakeJobWorker>, backAfterMs: number): void {
    for (const worker of workers) {
      if (worker.hasCrashed) continue
      worker.crash()
      this.simulation.clock.after(backAfterMs, () => { if (worker.hasCrashed) worker.restart() })
    }
  }

  /** Drains a worker, which then leaves with all that runs on it and returns as a new incarnation. */
  drainWorker (worker: FakeJobWorker, drainMs: number, backAfterMs: number): void {
    const { simulation } = this
    worker.isDraining = true
    simulation.clock.after(drainMs, () => {
      worker.crash()
      simulation.listed.delete(worker.id)
    })
    simulation.clock.after(drainMs + backAfterMs, () => {
      worker.isDraining = false
      if (worker.hasCrashed) worker.restart()
      simulation.listed.add(worker.id)
    })
  }

  /** Reads the phases of all jobs, watches for some time, and returns all broken rules. */
  async findBreaches (): Promise<readonly string[]> {
    const { simulation } = this
    const phases = await this.#readPhases()
    const phasesReadAt = simulation.clock.now()
    await simulation.advance(WATCH_MS)
    return [...simulation.breaches, ...findCrashBreaches({ jobs: this.#jobs, crashingJobs: this.#crashingJobs, phases, phasesReadAt, events: simulation.events })]
  }

  /** Returns the jobs without a crashing task that are not completed or, if long-running, not active. */
  async findHarmlessUndone (): Promise<readonly string[]> {
    const found: string[] = []
    for (const [id, phase] of await this.#readPhases()) {
      if (this.#crashingJobs.has(id)) continue
      const isLasting = this.#jobs.get(id)?.steps.some(step => step.isLasting) ?? false
      if (phase !== (isLasting ? 'active' : 'completed')) found.push(`job ${id} is ${phase}`)
    }
    return found
  }

  async #readPhases (): Promise<ReadonlyMap<JobId, JobPhase | undefined>> {
    const { jobs } = this.#anyNode
    const reads = [...this.#jobs.keys()].map(async id => [id, (await jobs.phaseOf(id)).unwrapOr(undefined)] as const)
    return new Map(await this.simulation.settle(Promise.all(reads)))
  }

  get #anyNode (): Node {
    for (const node of this.simulation.nodes.values()) if (!this.#suspended.has(node)) return node
    throw new Error('No process is up')
  }

  #behaviourOf (task: TaskName): FakeRunBehaviour {
    const parts = parseTaskName(task) as TaskNameParts
    return (this.#behaviours.get(parts.job) as TaskBehaviour)(parts)
  }
}
