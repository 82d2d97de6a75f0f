/**
 * Clients of a long day: they submit somewhat more work than the workers can do.
 */
import type { JobId } from '@auburnpin/common'
import { JobRecord, parseTaskName, type Job, type JobStep, type TaskName, type TaskNameParts } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour } from '@auburnpin/fakes'
import type { Chance } from './Chance.ts'
import type { JobsSimulation, Node } from './JobsSimulation.ts'
import type { DayJob } from './LongDayRecord.ts'

const CALL_MS = 2_000
const CALL_TIMEOUT_MS = 3_000
const RETRY_MS = 400
const POLL_MS = 20_000
const ENDLESS_MS = 1e9

const FILLER_SHARE = 0.7
const SECOND_STEP_SHARE = 0.25
/** How far the clients' estimates are off. */
const ESTIMATE_ERROR = 0.2

/** Tail latency of serving tasks; their target is far above it. */
const SERVING_TAIL_MS = 30
const SERVING: Partial<JobStep> = { isLasting: true, latencyTargetMs: 100, image: 'watch' }

type Client = { readonly job: Job, readonly runsMs: readonly number[], acceptedAt: number, cancelledAt: number, isCompleted: boolean }

/** Work submitted per unit of the workers' processors, all workers together. */
export type DayLoad = Readonly<{ processors: number, factor: number }>

/** Calls of clients that get no answer, or a failure, are repeated at another process. */
export class DayClients {
  readonly #simulation: JobsSimulation
  readonly #chance: Chance
  readonly #load: DayLoad
  readonly #isUp: (node: Node) => boolean
  readonly #clients = new Map<JobId, Client>()
  #endsAt = 0

  constructor (simulation: JobsSimulation, chance: Chance, load: DayLoad, isUp: (node: Node) => boolean) {
    this.#simulation = simulation
    this.#chance = chance
    this.#load = load
    this.#isUp = isUp
  }

  /** Submits jobs from now on, until `endsAt`. */
  start (endsAt: number): void {
    this.#endsAt = endsAt
    this.#submitServing()
    this.#keepDoing(() => this.#submitServing())
    this.#keepDoing(() => this.#chance.happens(FILLER_SHARE) ? this.#submitFillers() : this.#submitBatch())
    this.#keepDoing(() => {
      void this.askForPhases()
      return POLL_MS
    })
  }

  /** How a run of a task behaves. */
  behaviourOf (task: TaskName): FakeRunBehaviour {
    const { job: id, step: number } = parseTaskName(task) as TaskNameParts
    const client = this.#clients.get(id)
    const shape = client?.job.steps[number]
    const runMs = client?.runsMs[number]
    if (shape === undefined || runMs === undefined) throw new Error(`unknown task ${task}`)
    if (shape.isLasting) return { runMs, ending: 'done', startupMs: 300, reading: SERVING_TAIL_MS }
    return { runMs, ending: 'done', reading: shape.processors }
  }

  /** Asks for the phases of all jobs that can be done; returns whether all that were accepted are known to be completed. */
  async askForPhases (): Promise<boolean> {
    const node = this.#anyNode
    if (node === undefined) return false
    const open = [...this.#clients.values()].filter(({ job, acceptedAt, isCompleted }) => acceptedAt < Infinity && !isCompleted && job.steps.every(({ isLasting }) => !isLasting))
    await Promise.all(open.map(async client => {
      const phase = await node.jobs.phaseOf(client.job.id)
      if (phase.ok && phase.val === 'completed') client.isCompleted = true
    }))
    return open.every(({ isCompleted }) => isCompleted)
  }

  get jobs (): readonly DayJob[] {
    return [...this.#clients.values()].map(({ job, runsMs, acceptedAt, cancelledAt, isCompleted }) =>
      ({ id: job.id, steps: job.steps, runsMs, objectiveMs: new JobRecord(job).objectiveAt(0) - job.acceptedAt, acceptedAt, cancelledAt, isCompleted }))
  }

  get #now (): number {
    return this.#simulation.clock.now()
  }

  get #anyNode (): Node | undefined {
    const up = [...this.#simulation.nodes.values()].filter(node => this.#isUp(node))
    return up.length === 0 ? undefined : this.#chance.pick(up)
  }

  // `act` returns the time until it is next due in milliseconds.
  #keepDoing (act: () => number): void {
    if (this.#now >= this.#endsAt) return
    this.#simulation.clock.after(act(), () => this.#keepDoing(act))
  }

  #submitFillers (): number {
    const step = (): JobStep => stepOf({ taskCount: this.#chance.whole(5, 20), processors: 1_000 * this.#chance.whole(8, 13), isFiller: true, image: 'fill' })
    return this.#submit(this.#chance.happens(SECOND_STEP_SHARE) ? [step(), { ...step(), after: [0] }] : [step()], () => this.#chance.between(500, 2_500))
  }

  #submitBatch (): number {
    const step = stepOf({ taskCount: this.#chance.whole(4, 20), processors: this.#chance.pick([500, 1_000, 2_000]) })
    return this.#submit([step], () => this.#chance.between(300, 1_500))
  }

  // Returns the time until the workers could have done its share of the load.
  #submit (steps: readonly JobStep[], drawMs: () => number): number {
    const runsMs = steps.map(() => Math.round(drawMs()))
    const estimated = steps.map((step, index) => ({ ...step, estimateMs: Math.round((runsMs[index] ?? 0) * this.#chance.between(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)) }))
    this.#addClient(estimated, runsMs)
    const work = steps.reduce((sum, { taskCount, processors }, index) => sum + taskCount * processors * (runsMs[index] ?? 0), 0)
    return work / (this.#load.processors * this.#load.factor)
  }

  #submitServing (): number {
    const step = stepOf({ ...SERVING, taskCount: this.#chance.whole(2, 4), processors: 1_000 * this.#chance.whole(3, 6) })
    const client = this.#addClient([step], [ENDLESS_MS])
    this.#simulation.clock.after(this.#chance.between(10_000, 40_000), () => {
      if (this.#now >= this.#endsAt) return
      client.cancelledAt = this.#now
      void this.#callUntilDone(node => node.jobs.cancel(client.job.id, CALL_MS))
    })
    return this.#chance.between(8_000, 20_000)
  }

  #addClient (steps: readonly JobStep[], runsMs: readonly number[]): Client {
    const job = jobOf((this.#clients.size + 1).toString(16).padStart(16, '0'), steps, { acceptedAt: this.#simulation.clock.wallTime() })
    const client: Client = { job, runsMs, acceptedAt: Infinity, cancelledAt: Infinity, isCompleted: false }
    this.#clients.set(job.id, client)
    void this.#callUntilDone(node => node.jobs.submit(job, CALL_MS)).then(isDone => { if (isDone) client.acceptedAt = this.#now })
    return client
  }

  // A process that is killed never answers.
  async #callUntilDone (call: (node: Node) => Promise<{ readonly ok: boolean }>): Promise<boolean> {
    const { clock } = this.#simulation
    while (this.#now < this.#endsAt) {
      const node = this.#anyNode
      if (node !== undefined) {
        const outcome = await Promise.race([call(node), clock.sleep(CALL_TIMEOUT_MS)])
        if (outcome?.ok === true) return true
      }
      await clock.sleep(RETRY_MS)
    }
    return false
  }
}
