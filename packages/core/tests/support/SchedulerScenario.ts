/**
 * Runs a job scheduler against a store and workers that answer at once, and whose tasks end after a fixed time.
 */
import { brand, type Epoch, type Instant, type JobId, type WorkerId } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type DelayScheduling, type Job, type JobStep, type ReportedEnd, type ReportedRun, type RunOrder, type TaskName, type WorkerEntry } from '../../src/index.ts'

const LEASE_MS = 10_000
const PASS_INTERVAL_MS = 100

type Run = Readonly<{ order: RunOrder & { kind: 'start' }, endsAt: number }>

/** A run that started, and when. */
export type Start = Readonly<{ task: TaskName, worker: WorkerId, at: number }>

export class SchedulerScenario {
  readonly scheduler: JobScheduler
  readonly starts: Start[] = []
  /** The last pace that was ordered for each task, in percent. */
  readonly paces = new Map<TaskName, number>()
  /** Whether progress is stored after each scheduling pass, which is followed by another one then. */
  isStoreUp = true
  /** What a report says of a task's run beside its name; by default a progress that changes, and a reading of 0. */
  reportOf: (task: TaskName) => Partial<ReportedRun> = () => ({})
  /** Milliseconds for which a task runs; infinite for long-running ones. */
  readonly #runMs = new Map<JobId, number>()
  readonly #running = new Map<WorkerId, Run[]>()
  readonly #ends = new Map<WorkerId, ReportedEnd[]>()
  #now = 0

  /** `workers` maps each worker's id to its processors in thousandths of a core. */
  constructor (workers: Readonly<Record<string, number>>, overrides: Partial<WorkerEntry> = {}, maxReservedShare?: number, delays?: DelayScheduling) {
    this.scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: LEASE_MS }, brand<Instant>(0), new SilentJobSchedulerObserver(), { maxReservedShare, delays })
    this.scheduler.replaceWorkers(Object.entries(workers).map(([id, processors]) => workerEntryOf(id, { processors, ...overrides })), this.now)
    this.#report()
  }

  get now (): Instant {
    return brand<Instant>(this.#now)
  }

  submit (id: string, steps: readonly JobStep[], { runMs = Infinity, ...overrides }: Partial<Job> & { runMs?: number } = {}): void {
    const job = jobOf(id, steps, { acceptedAt: this.#now, ...overrides })
    this.#runMs.set(job.id, runMs)
    this.scheduler.addJob(job, this.now)
  }

  cancel (id: string): void {
    this.scheduler.cancel(brand<JobId>(id), this.now)
  }

  /** Ends the runs of a task as failed, on one worker or on all. */
  fail (task: string, on?: WorkerId): void {
    for (const [worker, runs] of this.#running) {
      if (on !== undefined && worker !== on) continue
      for (const run of runs.filter(({ order }) => order.task === task)) this.#end(run, 'failed')
    }
  }

  /** Number of starts of a job's tasks. */
  startsOf (id: string): number {
    return this.starts.filter(({ task }) => task.startsWith(`${id}.`)).length
  }

  /** Milliseconds until the last task of a job first started; infinite unless `taskCount` of them have. */
  startedAllAfter (id: string, taskCount: number, submittedAt: number): number {
    const first = new Map<TaskName, number>()
    for (const { task, at } of this.starts) if (task.startsWith(`${id}.`) && !first.has(task)) first.set(task, at)
    return first.size < taskCount ? Infinity : Math.max(...first.values()) - submittedAt
  }

  /** Advances the time; `onPass` runs before each scheduling pass. */
  advance (ms: number, onPass: (now: number) => void = () => {}): void {
    for (const until = this.#now + ms; this.#now < until;) {
      this.#now += PASS_INTERVAL_MS
      this.#report()
      onPass(this.#now)
      this.#pass()
      if (!this.isStoreUp) continue
      this.scheduler.markStored(this.scheduler.takeDirty(Infinity))
      this.#pass()
    }
  }

  /** Advances the time by one interval and applies the reports of all workers, without a scheduling pass. */
  report (ms: number): void {
    this.#now += ms
    this.#report()
  }

  #pass (): void {
    for (const order of this.scheduler.decide(this.now, this.#now)) this.#execute(order)
  }

  #execute (order: RunOrder): void {
    if (order.kind === 'start') {
      const jobId = brand<JobId>(order.task.slice(0, order.task.indexOf('.')))
      this.starts.push({ task: order.task, worker: order.worker, at: this.#now })
      this.#runsOn(order.worker).push({ order, endsAt: this.#now + (this.#runMs.get(jobId) ?? Infinity) })
      this.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', this.now)
    } else if (order.kind === 'stop') {
      this.scheduler.recordStopAccepted(order.worker, order.task, order.attempt, this.now)
      const run = this.#runsOn(order.worker).find(one => one.order.task === order.task && one.order.attempt === order.attempt)
      if (run !== undefined) this.#end(run, 'stopped')
    } else {
      this.paces.set(order.task, order.percent)
    }
  }

  #runsOn (worker: WorkerId): Run[] {
    const runs = this.#running.get(worker) ?? []
    this.#running.set(worker, runs)
    return runs
  }

  #end (run: Run, ending: ReportedEnd['ending']): void {
    const { worker, task, attempt } = run.order
    const runs = this.#runsOn(worker)
    runs.splice(runs.indexOf(run), 1)
    const ends = this.#ends.get(worker) ?? []
    ends.push({ sequence: ends.length + 1, task, attempt, ending, checkpoint: '' })
    this.#ends.set(worker, ends)
  }

  #report (): void {
    for (const { entry: { id, incarnation } } of this.scheduler.workers.values()) {
      for (const run of this.#runsOn(id).filter(({ endsAt }) => endsAt <= this.#now)) this.#end(run, 'done')
      const running = this.#runsOn(id).map(({ order: { task, attempt } }) => ({ task, attempt, checkpoint: '', progressPercent: (this.#now / PASS_INTERVAL_MS) % 100, reading: 0, ...this.reportOf(task) }))
      this.scheduler.applyReport(id, { incarnation, clockMs: this.#now, running, ended: this.#ends.get(id) ?? [] }, this.now, this.now)
    }
  }
}
