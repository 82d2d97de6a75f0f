import test from 'ava'
import { brand, type Epoch, type Incarnation, type Instant, type WorkerId } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, TASKS_PER_SEGMENT, type Job, type JobPhase, type JobProgress, type JobRecord, type RunOrder, type TaskName } from '../src/index.ts'

const CRASHING = '00000000000000d1'
const CRASHING_TASK = `${CRASHING}.0.0.0`
const OTHER = '00000000000000a1'
const LEASE_MS = 4_000
/** More than the longest time for which a lease of a silent worker is waited for. */
const LEASE_OVER_MS = 5_000

type Start = RunOrder & { kind: 'start' }

/** A scheduler whose workers do nothing by themselves. */
class CrashScenario {
  readonly scheduler: JobScheduler
  readonly workers: readonly string[]
  now = 0
  readonly #incarnations = new Map<string, number>()

  constructor (workers: readonly string[], jobs: readonly Job[], progress?: JobProgress) {
    this.workers = workers
    this.scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: LEASE_MS }, this.#instant, new SilentJobSchedulerObserver())
    this.scheduler.replaceWorkers(workers.map(id => workerEntryOf(id)), this.#instant)
    for (const id of workers) this.report(id)
    for (const job of jobs) this.scheduler.addJob(job, this.#instant, progress)
  }

  get #instant (): Instant {
    return brand<Instant>(this.now)
  }

  phaseOf (id: string): JobPhase | undefined {
    return [...this.scheduler.jobs.values()].find(({ job }) => job.id === id)?.phase
  }

  /** Runs a scheduling pass and lets the workers start what was ordered. */
  start (): Start[] {
    const starts = this.scheduler.decide(this.#instant, this.now).filter((order): order is Start => order.kind === 'start')
    for (const { worker, task, attempt } of starts) this.scheduler.recordStartOutcome(worker, task, attempt, 'started', this.#instant, this.now)
    return starts
  }

  /** Starts a task on a worker and returns which. */
  startOf (task: string): WorkerId | undefined {
    const starts = this.start()
    this.store()
    return [...starts, ...this.start()].find(order => order.task as string === task)?.worker
  }

  /** A report of a worker that lists all runs there, or none. */
  report (id: string, listsRuns = true): void {
    const runs = listsRuns ? [...this.scheduler.workers.get(brand<WorkerId>(id))?.runs.values() ?? []] : []
    const running = runs.map(({ task, attempt }) => ({ task: task.name, attempt, checkpoint: '', progressPercent: 1, reading: 0 }))
    this.scheduler.applyReport(brand<WorkerId>(id), { incarnation: this.#incarnation(id), clockMs: this.now, running, ended: [] }, this.#instant, this.#instant)
  }

  /** A worker no longer responds until its lease is over; its entry is removed from the list. */
  lose (id: string, isUnlisted = true): void {
    const worker = this.scheduler.workers.get(brand<WorkerId>(id))
    worker?.extendLease(this.now + LEASE_MS)
    worker?.markUnresponsive()
    if (isUnlisted) this.scheduler.unlistWorker(brand<WorkerId>(id))
    this.now += LEASE_OVER_MS
  }

  /** A worker comes back in a new incarnation and reports. */
  restart (id: string): void {
    this.#incarnations.set(id, this.#incarnation(id) + 1)
    this.report(id, false)
  }

  /** Runs a scheduling pass that starts nothing. */
  detect (): void {
    this.scheduler.decide(this.#instant, this.now, 0)
  }

  store (): void {
    const jobs = this.scheduler.takeDirty(100)
    this.scheduler.markStored(jobs)
  }

  #incarnation (id: string): Incarnation {
    return brand<Incarnation>(this.#incarnations.get(id) ?? 1)
  }
}

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']

test('a job whose task is lost with three workers just after its start fails, and the task starts on no fourth', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(CRASHING, [stepOf()])])
  for (let crash = 1; crash <= 3; crash++) {
    const worker = scenario.startOf(CRASHING_TASK)
    t.truthy(worker, `start ${crash}`)
    scenario.lose(worker as string)
    scenario.detect()
    scenario.store()
  }
  t.is(scenario.startOf(CRASHING_TASK), undefined)
  t.is(scenario.phaseOf(CRASHING), 'failed')
})

test('a run that no report has ever listed counts when its worker comes back without it', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(CRASHING, [stepOf()])])
  for (let crash = 1; crash <= 3; crash++) {
    const worker = scenario.startOf(CRASHING_TASK) as string
    t.truthy(worker, `start ${crash}`)
    scenario.now += 10
    scenario.restart(worker)
    scenario.scheduler.recordStopAccepted(brand(worker), CRASHING_TASK as TaskName, [...scenario.scheduler.workers.get(brand<WorkerId>(worker))?.runs.values() ?? []][0]?.attempt ?? 0, brand<Instant>(scenario.now))
    scenario.now += 10
    scenario.report(worker, false)
    scenario.store()
  }
  scenario.start()
  t.is(scenario.phaseOf(CRASHING), 'failed')
})

test('a long-running task that survives its start is not given up, however many workers are lost under it later', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(OTHER, [stepOf({ isLasting: true })])])
  for (let crash = 1; crash <= 5; crash++) {
    const worker = scenario.startOf(`${OTHER}.0.0.0`) as string
    t.truthy(worker, `start ${crash}`)
    scenario.now += 600
    scenario.report(worker)
    scenario.lose(worker)
    scenario.store()
  }
  t.is(scenario.phaseOf(OTHER), 'active')
})

test('workers that drain, or report again in the same incarnation, don\'t count as crashed', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(OTHER, [stepOf()])])
  for (let loss = 1; loss <= 6; loss++) {
    const worker = scenario.startOf(`${OTHER}.0.0.0`) as string
    t.truthy(worker, `start ${loss}`)
    if (loss % 2 === 0) scenario.scheduler.upsertWorker(workerEntryOf(worker, { isDraining: true }), brand<Instant>(scenario.now))
    scenario.lose(worker, false)
    scenario.detect()
    if (loss % 2 === 1) scenario.report(worker, false)
    scenario.store()
  }
  t.is(scenario.phaseOf(OTHER), 'active')
})

test('while it is uncertain whether the last worker was lost, its task waits and its job does not fail', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(OTHER, [stepOf()])])
  for (let loss = 1; loss <= 3; loss++) {
    scenario.lose(scenario.startOf(`${OTHER}.0.0.0`) as string, loss < 3)
    scenario.detect()
    scenario.store()
  }
  t.is(scenario.startOf(`${OTHER}.0.0.0`), undefined)
  t.is(scenario.phaseOf(OTHER), 'active')
  // Still listed long after, so the worker is alive.
  scenario.now += 10_000
  scenario.start()
  scenario.store()
  t.truthy(scenario.startOf(`${OTHER}.0.0.0`) ?? [...scenario.scheduler.workers.values()].find(({ runs }) => runs.size > 0))
})

test('a task that workers were lost under starts only once its attempt is stored, and after two of them neither beside another such task nor others beside it', t => {
  const jobs = [jobOf(CRASHING, [stepOf()]), jobOf(OTHER, [stepOf()])]
  const scenario = new CrashScenario(['w1', 'w2', 'w3', 'w4', 'w5'], jobs)
  for (let crash = 1; crash <= 2; crash++) {
    const starts = scenario.start()
    if (crash === 2) {
      t.deepEqual(starts, [], 'the second attempts are not stored')
      scenario.store()
      starts.push(...scenario.start())
    }
    t.is(starts.length, 2)
    for (const { worker } of starts) {
      const { scheduler, now } = scenario
      scheduler.workers.get(worker)?.extendLease(now + LEASE_MS)
      scheduler.workers.get(worker)?.markUnresponsive()
      scheduler.unlistWorker(worker)
    }
    scenario.now += LEASE_OVER_MS
    scenario.detect()
  }
  t.deepEqual(scenario.start(), [], 'the third attempt is not stored')
  scenario.store()
  scenario.scheduler.addJob(jobOf('00000000000000a2', [stepOf()]), brand<Instant>(scenario.now))
  // Only one worker is left.
  for (let start = 1; start <= 3; start++) {
    const [{ worker } = { worker: '' }, ...others] = scenario.start()
    t.deepEqual(others, [])
    scenario.now += 600
    scenario.report(worker)
  }
})

test('an owner continues the count of the owner before it', t => {
  const progress = { phase: 'active', done: {}, failed: {}, checkpoints: {}, crashed: { '0.0.0': [1, 2] } } as const
  const scenario = new CrashScenario(WORKERS, [jobOf(CRASHING, [stepOf()])], progress)
  scenario.lose(scenario.startOf(CRASHING_TASK) as string)
  scenario.start()
  t.is(scenario.phaseOf(CRASHING), 'failed')
})

test('tasks of other jobs that were lost with the same workers start again at once, and their job goes on', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(CRASHING, [stepOf()]), jobOf(OTHER, [stepOf({ taskCount: 20, processors: 200 })])])
  for (let crash = 1; crash <= 3; crash++) {
    const worker = scenario.startOf(CRASHING_TASK) as string
    t.truthy(worker, `start ${crash}`)
    scenario.now += 600
    for (const id of scenario.workers) if (id !== worker) scenario.report(id)
    scenario.lose(worker)
    scenario.detect()
    scenario.store()
  }
  scenario.start()
  t.is(scenario.phaseOf(CRASHING), 'failed')
  t.is(scenario.phaseOf(OTHER), 'active')
  t.is([...scenario.scheduler.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0), 20)
})

test('the rows of a job with thousands of tasks name all that crashed workers, and each can be stored', t => {
  const scenario = new CrashScenario(WORKERS, [jobOf(OTHER, [stepOf({ taskCount: 10_000, processors: 1 })])])
  const job = [...scenario.scheduler.jobs.values()][0] as JobRecord
  for (const task of job.tasks()) {
    task.crashes.add(brand(1))
    if (task.index >= 9_990) task.crashes.add(brand(2))
  }
  const crashed: Record<string, readonly number[]> = {}
  for (let segment = 0; segment < job.segmentCount; segment++) {
    const ofSegment = job.segmentOf(segment * TASKS_PER_SEGMENT).progress.crashed ?? {}
    // A row may have 65,536 bytes in base64, and the tasks that are done or have failed need most of them.
    t.true(JSON.stringify(ofSegment).length <= 10_000)
    Object.assign(crashed, ofSegment)
  }
  t.is(Object.keys(crashed).length, 10_000)
  for (let index = 9_990; index < 10_000; index++) t.deepEqual(crashed[`0.0.${index}`], [1, 2])
})

test('a task that may crash its worker and fits nowhere now keeps no worker from others', t => {
  const progress = { phase: 'active', done: {}, failed: {}, checkpoints: {}, crashed: { '0.0.0': [1, 2] } } as const
  const scenario = new CrashScenario(['w1'], [])
  scenario.scheduler.addJob(jobOf(OTHER, [stepOf({ processors: 4_000 })]), brand<Instant>(0))
  t.is(scenario.startOf(`${OTHER}.0.0.0`), brand<WorkerId>('w1'))
  scenario.scheduler.addJob(jobOf(CRASHING, [stepOf({ processors: 8_000 })]), brand<Instant>(0), progress)
  scenario.scheduler.addJob(jobOf('00000000000000a2', [stepOf()]), brand<Instant>(0))
  t.is(scenario.startOf('00000000000000a2.0.0.0'), brand<WorkerId>('w1'))
})

test('a task that has survived a start elsewhere no longer waits for certainty about an earlier loss', t => {
  const scenario = new CrashScenario(['w1'], [jobOf(OTHER, [stepOf()])])
  const [task] = [...scenario.scheduler.jobs.values()].flatMap(job => [...job.tasks()])
  if (task === undefined) return t.fail()
  task.crashes.areUncertain = true
  t.is(scenario.startOf(`${OTHER}.0.0.0`), undefined)
  task.crashes.clear()
  t.is(scenario.startOf(`${OTHER}.0.0.0`), brand<WorkerId>('w1'))
})
