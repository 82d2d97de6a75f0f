/**
 * Processor time of the scheduling passes of one owner while long-running tasks reserve most processors and bursts of
 * filler and short jobs arrive. Needs no network. Argument: number of workers; prints one JSON line.
 */
import { brand, SeededRandom, type Attempt, type Epoch, type Instant, type JobId, type QueueName } from '@auburnpin/common'
import { JobScheduler, type JobStep, type ReportedRun } from '@auburnpin/core'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'

const WORKERS = Number(process.argv[2] ?? 245)
const WORKER_PROCESSORS = 64_000
const RACK_WORKERS = 20
const PASSES = 100
const PASS_GAP_MS = 50
const REPORT_GAP_PASSES = 10
const TASKS_PER_JOB = 20
/** Filler jobs come in bursts, which leave more tasks waiting than fit. */
const BURST_PERIOD_PASSES = 20
const BURST_PASSES = 8
const SWEEPS_IN_BURST = 5
/** Tasks that end by themselves run for this many passes. */
const RUN_PASSES = 25

const random = new SeededRandom(1)
const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_500 }, brand<Instant>(0), new SilentJobSchedulerObserver())
const entries = Array.from({ length: WORKERS }, (_, index) => workerEntryOf(`w${index}`, { processors: WORKER_PROCESSORS, memoryMb: 250_000, rack: `r${Math.floor(index / RACK_WORKERS)}`, labels: ['a', `r${Math.floor(index / RACK_WORKERS)}`] }))
let now = 10_000
let jobs = 0
const startedAt = new Map<string, number>()
const sequences = new Map<string, number>()

const submit = (queue: string, priority: number, step: Partial<JobStep>): void => {
  const id = (++jobs).toString(16).padStart(16, '0')
  scheduler.addJob(jobOf(id, [stepOf({ memoryMb: 2_000, taskCount: TASKS_PER_JOB, ...step })], { id: brand<JobId>(id), queue: brand<QueueName>(queue), acceptedAt: now, policy: { ...jobOf(id, []).policy, priority } }), brand<Instant>(now))
}

// Each worker lists its runs; those that have run for long enough end.
const report = (pass: number): void => {
  for (const [id, worker] of scheduler.workers) {
    const running: ReportedRun[] = []
    const ended = []
    for (const { task, attempt } of worker.runs.values()) {
      const key = `${task.name}#${attempt}`
      const { shape } = task.step
      const since = startedAt.get(key) ?? pass
      startedAt.set(key, since)
      if (!shape.isLasting && pass - since >= RUN_PASSES) {
        const sequence = (sequences.get(id) ?? 0) + 1
        sequences.set(id, sequence)
        ended.push({ sequence, task: task.name, attempt: brand<Attempt>(attempt), ending: 'done' as const, checkpoint: '' })
      } else running.push({ task: task.name, attempt, checkpoint: '', progressPercent: shape.isLasting ? 100 : 50, reading: shape.latencyTargetMs > 0 ? 40 + Math.floor(random.fraction() * 40) : 3_000 })
    }
    scheduler.applyReport(id, { incarnation: worker.entry.incarnation, clockMs: now, running, ended }, brand<Instant>(now), brand<Instant>(now))
  }
}

const acceptStarts = (): void => {
  for (const order of scheduler.decide(brand<Instant>(now), now)) {
    if (order.kind === 'start') scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', brand<Instant>(now), now)
  }
}

scheduler.replaceWorkers(entries, brand<Instant>(now))
report(0)
for (let job = 0; job < WORKERS / 3; job++) submit('watch', 0, { isLasting: true, latencyTargetMs: 150, image: `watch-${job % 10}`, processors: 13_000, taskCount: 14 })
const durations: number[] = []
for (let pass = 0; pass < PASSES; pass++) {
  now += PASS_GAP_MS
  if (pass % REPORT_GAP_PASSES === 0) report(pass)
  const sweeps = pass % BURST_PERIOD_PASSES < BURST_PASSES ? SWEEPS_IN_BURST : 1
  for (let sweep = 0; sweep < sweeps; sweep++) submit('sweep', 2, { isFiller: true, image: `sweep-${jobs % 18}`, processors: 7_000, estimateMs: 1_400, isCheckpointing: true })
  submit('sign', 0, { processors: 8_000, estimateMs: 850, taskCount: 10 })
  const before = process.cpuUsage()
  acceptStarts()
  const { user, system } = process.cpuUsage(before)
  if (pass > REPORT_GAP_PASSES) durations.push((user + system) / 1_000)
}
durations.sort((one, other) => one - other)
const at = (share: number): number => Math.round(10 * (durations[Math.floor(durations.length * share)] ?? 0)) / 10
let running = 0
for (const { runs } of scheduler.workers.values()) running += runs.size
process.stdout.write(`${JSON.stringify({ workers: WORKERS, running, passMs: { median: at(0.5), p90: at(0.9), longest: at(0.999) } })}\n`)
