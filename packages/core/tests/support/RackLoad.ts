/**
 * A seeded load of jobs that prefer racks, run by a job scheduler against workers that answer at once.
 */
import { brand, SeededRandom, type Epoch, type Instant, type WorkerId } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { DelayObserver, DelayScheduling, JobScheduler, parseTaskName, type AwayReason, type DelayDecision, type ReportedEnd, type RunOrder, type WaitPolicy } from '../../src/index.ts'

const PASS_INTERVAL_MS = 50
const DRAIN_MS = 15_000

export type RackLoadSettings = Readonly<{
  seed: number
  /** Share of the tasks whose data is in the first rack; that of the others is spread evenly. */
  hotShare: number
  /** Share of the jobs whose steps prefer one rack, whichever it is, instead of the rack of data. */
  oneRackShare?: number
  jobsPerSecond: number
  /** Largest relative error of the clients' estimates. */
  estimateError?: number
  remoteFactor?: number
  seconds?: number
  racks?: number
  /** Priority of the queue; 0 is the most urgent. */
  priority?: number
  /** Changes of the first rack, by second: the share of processors that its workers have from then on; 0: it is lost. */
  hotRackCapacity?: ReadonlyMap<number, number>
}>

/** What the clients got. */
export type RackLoadResult = Readonly<{ jobs: number, inTime: number, useful: number, meanEndMs: number, p95EndMs: number, nearShare: number, delayedTasks: number }>

type Run = { readonly order: RunOrder & { kind: 'start' }, readonly at: number, readonly baseMs: number, readonly step: string, readonly rack: string, readonly isAway: boolean }

const RACK_WORKERS = 6
const WORKER_PROCESSORS = 32_000
/** The urgent queue of the first installation: steps of 10 tasks of 0.64 s on 3.8 cores. */
const TASK = { taskCount: 10, processors: 3_800, estimateMs: 640 }
const POLICY = { ...jobOf('', []).policy, objectiveFactor: 2, objectiveMs: 300 }
const MAX_USEFUL_OBJECTIVES = 3

export class RackLoad {
  readonly scheduler: JobScheduler
  readonly decisions: DelayDecision[] = []
  readonly away: Array<DelayDecision & { reason: AwayReason, at: number }> = []
  readonly #settings: RackLoadSettings
  readonly #random: SeededRandom
  readonly #running = new Map<WorkerId, Run[]>()
  readonly #ends = new Map<WorkerId, ReportedEnd[]>()
  readonly #jobs = new Map<string, { acceptedAt: number, objectiveMs: number, durationsMs: readonly number[], endedAt?: number }>()
  readonly #racksOfStep = new Map<string, Set<string>>()
  readonly startedAt = new Map<string, number>()
  #starts = 0
  #nearStarts = 0
  #delayedTasks = 0
  now = 0
  onPass: (load: RackLoad) => void = () => {}

  constructor (settings: RackLoadSettings, policy: WaitPolicy) {
    this.#settings = settings
    this.#random = new SeededRandom(settings.seed)
    const delays = new DelayScheduling(settings.remoteFactor ?? 1.5, policy, new RecordingObserver(this))
    this.scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 10_000 }, brand<Instant>(0), new SilentJobSchedulerObserver(), { delays })
    this.setHotRackCapacity(1)
    this.#report()
  }

  get #instant (): Instant {
    return brand<Instant>(this.now)
  }

  /** Gives the workers of the first rack a share of their processors; 0 removes them from the list of workers. */
  setHotRackCapacity (share: number): void {
    const entries = Array.from({ length: (this.#settings.racks ?? 8) * RACK_WORKERS }, (_, index) => {
      const rack = `r${Math.floor(index / RACK_WORKERS)}`
      return workerEntryOf(`w${index}`, { zone: 'derby', rack, labels: ['kind', rack], processors: rack === 'r0' ? WORKER_PROCESSORS * share : WORKER_PROCESSORS })
    })
    this.scheduler.replaceWorkers(entries.filter(({ processors }) => processors > 0), this.#instant)
  }

  /** Submits jobs for some seconds, waits until all have ended, and returns what their clients got. */
  run (): RackLoadResult {
    const { seconds = 30, jobsPerSecond, hotRackCapacity } = this.#settings
    let due = 0
    for (const until = seconds * 1_000; this.now < until + DRAIN_MS;) {
      this.now += PASS_INTERVAL_MS
      const share = hotRackCapacity?.get(this.now / 1_000)
      if (share !== undefined) this.setHotRackCapacity(share)
      this.#report()
      if (this.now <= until) due += jobsPerSecond * PASS_INTERVAL_MS / 1_000 * 2 * this.#random.fraction()
      for (; due >= 1; due--) this.#submit()
      for (const order of this.scheduler.decide(this.#instant, this.now)) this.#execute(order)
      this.#delayedTasks += this.scheduler.delays.delayedTasks
      this.onPass(this)
    }
    return this.#result()
  }

  #submit (): void {
    const { hotShare, oneRackShare = 0, estimateError = 0.5, racks = 8 } = this.#settings
    const id = this.#jobs.size.toString(16).padStart(16, '0')
    const isOneRack = this.#random.fraction() < oneRackShare
    const dataRack = isOneRack ? '' : this.#random.fraction() < hotShare ? 'r0' : `r${1 + Math.floor(this.#random.fraction() * (racks - 1))}`
    const baseMs = TASK.estimateMs * (0.5 + this.#random.fraction())
    const estimateMs = baseMs * (1 + estimateError * (2 * this.#random.fraction() - 1))
    const step = stepOf({ ...TASK, estimateMs, dataRack, isOneRack })
    const steps = this.#random.fraction() < 0.6 ? [step, { ...step, after: [0] }] : [step]
    // Drawn here, so that the load is the same whatever the policy.
    const durationsMs = steps.flatMap(({ taskCount }) => Array.from({ length: taskCount }, () => baseMs * (0.9 + 0.2 * this.#random.fraction())))
    // Clients count their objective by their own estimates.
    this.#jobs.set(id, { acceptedAt: this.now, objectiveMs: POLICY.objectiveFactor * estimateMs * steps.length + POLICY.objectiveMs, durationsMs })
    this.scheduler.addJob(jobOf(id, steps, { acceptedAt: this.now, policy: { ...POLICY, priority: this.#settings.priority ?? 0 } }), this.#instant)
  }

  #execute (order: RunOrder): void {
    if (order.kind !== 'start') return
    const name = parseTaskName(order.task)
    if (name === undefined) throw new Error(`The name ${order.task} is malformed`)
    const { entry } = this.scheduler.workers.get(order.worker) ?? { entry: undefined }
    const step = `${name.job}.${name.step}`
    const shape = this.scheduler.jobs.get(name.job)?.job.steps[name.step]
    const isAway = shape !== undefined && shape.dataRack !== '' && entry?.labels.includes(shape.dataRack) !== true
    if (shape?.isOneRack === true) this.#racksOfStep.set(step, (this.#racksOfStep.get(step) ?? new Set()).add(entry?.rack ?? ''))
    this.#starts++
    this.startedAt.set(order.task, this.now)
    if (!isAway && (this.#racksOfStep.get(step)?.size ?? 1) === 1) this.#nearStarts++
    this.#runsOn(order.worker).push({ order, at: this.now, baseMs: this.#jobs.get(name.job)?.durationsMs[name.step * TASK.taskCount + name.index] ?? 0, step, rack: entry?.rack ?? '', isAway })
    this.scheduler.recordStartSent(order.worker, order.task, order.attempt, this.#instant)
    this.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', this.#instant)
  }

  #durationOf ({ baseMs, isAway, step }: Run): number {
    return baseMs * (isAway || (this.#racksOfStep.get(step)?.size ?? 1) > 1 ? this.#settings.remoteFactor ?? 1.5 : 1)
  }

  #runsOn (worker: WorkerId): Run[] {
    const runs = this.#running.get(worker) ?? []
    this.#running.set(worker, runs)
    return runs
  }

  #report (): void {
    for (const { entry: { id, incarnation } } of this.scheduler.workers.values()) {
      const ends = this.#ends.get(id) ?? []
      this.#ends.set(id, ends)
      const left = this.#runsOn(id).filter(run => run.at + this.#durationOf(run) > this.now)
      for (const run of this.#runsOn(id)) if (!left.includes(run)) ends.push({ sequence: ends.length + 1, task: run.order.task, attempt: run.order.attempt, ending: 'done', checkpoint: '' })
      this.#running.set(id, left)
      const running = left.map(run => ({ task: run.order.task, attempt: run.order.attempt, checkpoint: '', progressPercent: Math.floor(100 * (this.now - run.at) / this.#durationOf(run)), reading: 0 }))
      this.scheduler.applyReport(id, { incarnation, clockMs: this.now, running, ended: ends.slice(-40) }, this.#instant, this.#instant)
    }
    for (const [id, job] of this.#jobs) if (job.endedAt === undefined && this.scheduler.jobs.get(brand(id))?.phase === 'completed') job.endedAt = this.now
  }

  #result (): RackLoadResult {
    const took = [...this.#jobs.values()].map(({ acceptedAt, endedAt = Infinity, objectiveMs }) => ({ ms: endedAt - acceptedAt, objectiveMs }))
    const sorted = took.map(({ ms }) => ms).sort((one, other) => one - other)
    const share = (factor: number): number => took.filter(({ ms, objectiveMs }) => ms <= factor * objectiveMs).length / took.length
    return {
      jobs: took.length,
      inTime: share(1),
      useful: share(MAX_USEFUL_OBJECTIVES),
      meanEndMs: sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length,
      p95EndMs: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      nearShare: this.#nearStarts / Math.max(1, this.#starts),
      delayedTasks: this.#delayedTasks
    }
  }
}

class RecordingObserver extends DelayObserver {
  readonly #load: RackLoad

  constructor (load: RackLoad) {
    super()
    this.#load = load
  }

  delayed (decision: DelayDecision): void {
    this.#load.decisions.push(decision)
  }

  startedAway (decision: DelayDecision, reason: AwayReason): void {
    this.#load.away.push({ ...decision, reason, at: this.#load.now })
  }

  delayEnded (): void {}
}
