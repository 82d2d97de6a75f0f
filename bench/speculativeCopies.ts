/**
 * Time of a scheduling pass with and without speculative copies: 350 workers and 2,000 runs in steps of 10 tasks, of which
 * three in a hundred advance at a seventh of the others' speed. Prints one JSON line for each kind of load.
 *
 * Usage: node --import tsx bench/speculativeCopies.ts
 */
import { brand, type Attempt, type Epoch, type Instant, type WorkerId } from '@auburnpin/common'
import { JobScheduler, type JobStep, type ReportedEnd, type ReportedRun, type RunOrder } from '@auburnpin/core'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'

const WORKERS = 350
const RUNS = 2_000
const TASKS_PER_JOB = 10
const RUN_MS = 1_000
const STRAGGLER_FACTOR = 7
const STRAGGLER_EVERY = 33
const PASSES = 400
const PASS_INTERVAL_MS = 5
const MICROSECONDS_PER_MS = 1_000

/** Workers that start every run at once; a run ends only after `isEnding` has been set. */
class BenchCluster {
  readonly scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 1e9 }, brand<Instant>(0), new SilentJobSchedulerObserver())
  readonly #running = new Map<WorkerId, Map<string, { order: RunOrder & { kind: 'start' }, startedAt: number, runMs: number }>>()
  readonly #sequences = new Map<WorkerId, number>()
  now = 0
  starts = 0

  constructor () {
    const entries = Array.from({ length: WORKERS }, (_, index) => workerEntryOf(`w${index}`, { processors: 32_000, rack: `r${index % 30}` }))
    this.scheduler.replaceWorkers(entries, this.instant)
    this.report(false)
  }

  get instant (): Instant {
    return brand<Instant>(this.now)
  }

  submit (job: number, step: JobStep): void {
    this.scheduler.addJob(jobOf(job.toString(16).padStart(16, '0'), [step], { acceptedAt: this.now }), this.instant)
  }

  /** Reports of all workers; with `isEnding`, runs end after their time. */
  report (isEnding: boolean): void {
    for (const { entry: { id, incarnation } } of [...this.scheduler.workers.values()]) {
      const running: ReportedRun[] = []
      const ended: ReportedEnd[] = []
      const runs = this.#running.get(id) ?? new Map()
      for (const [key, { order: { task, attempt }, startedAt, runMs }] of runs) {
        const percent = Math.floor(100 * (this.now - startedAt) / runMs)
        if (isEnding && percent >= 100) {
          const sequence = (this.#sequences.get(id) ?? 0) + 1
          this.#sequences.set(id, sequence)
          ended.push({ sequence, task, attempt: brand<Attempt>(attempt), ending: 'done', checkpoint: '' })
          runs.delete(key)
        } else running.push({ task, attempt, checkpoint: '', progressPercent: Math.min(99, percent), reading: 0 })
      }
      this.scheduler.applyReport(id, { incarnation, clockMs: this.now, running, ended }, this.instant, this.instant)
    }
  }

  /** One scheduling pass; returns its time in microseconds. */
  pass (): number {
    const startedAt = performance.now()
    const orders = this.scheduler.decide(this.instant, this.now)
    const elapsed = (performance.now() - startedAt) * MICROSECONDS_PER_MS
    for (const order of orders) {
      if (order.kind !== 'start') continue
      this.starts++
      const runs = this.#running.get(order.worker) ?? new Map()
      this.#running.set(order.worker, runs)
      runs.set(`${order.task}#${order.attempt}`, { order, startedAt: this.now, runMs: this.starts % STRAGGLER_EVERY === 0 ? STRAGGLER_FACTOR * RUN_MS : RUN_MS })
      this.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', this.instant, this.now)
    }
    return elapsed
  }
}

const measure = (isSpeculative: boolean): void => {
  const cluster = new BenchCluster()
  const step = stepOf({ taskCount: TASKS_PER_JOB, processors: 2_500, image: 'a', isSpeculative })
  for (let job = 0; job < 5; job++) cluster.submit(job, step)
  cluster.pass()
  cluster.now += RUN_MS
  cluster.report(true)
  for (let job = 0; job < RUNS / TASKS_PER_JOB; job++) cluster.submit(100 + job, step)
  cluster.pass()
  const startsBefore = cluster.starts
  const times: number[] = []
  for (let pass = 0; pass < PASSES; pass++) {
    cluster.now += PASS_INTERVAL_MS
    // Reports of a part of the workers come between two passes.
    if (pass % 100 === 99) cluster.report(false)
    times.push(cluster.pass())
  }
  times.sort((one, other) => one - other)
  const meanUs = Math.round(times.reduce((sum, time) => sum + time, 0) / times.length)
  const quantile = (share: number): number => Math.round(times[Math.floor(share * times.length)] ?? 0)
  process.stdout.write(`${JSON.stringify({ bench: 'speculativeCopies', isSpeculative, workers: WORKERS, runs: RUNS, copies: cluster.starts - startsBefore, meanUs, medianUs: quantile(0.5), p95Us: quantile(0.95), maxUs: quantile(0.999) })}\n`)
}

for (const isSpeculative of [false, true, false, true]) measure(isSpeculative)
