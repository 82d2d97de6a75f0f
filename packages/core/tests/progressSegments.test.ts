// The progress of a job outgrows a row of the store unless it is divided: what the segments hold together must be all of it.
import test from 'ava'
import fc from 'fast-check'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf } from '@auburnpin/fakes'
import { CRASHES_TO_GIVE_UP, JobRecord, JobScheduler, TASKS_PER_SEGMENT, type JobProgress } from '../src/index.ts'

const ID = '00000000000000a1'

/** Bytes of a row's value. */
const MAX_ROW_BYTES = 49_152
/** Failed runs of a task, one fewer than may fail. */
const FAILED_RUNS = 9
/** Workers lost under a task by the time its job has failed. */
const MAX_LOSSES = CRASHES_TO_GIVE_UP + 1

const fullRecord = (stepSizes: readonly number[], occurrences: number, checkpoint: string): JobRecord => {
  const record = new JobRecord(jobOf(ID, stepSizes.map(taskCount => stepOf({ taskCount })), { occurrences, firstRunAt: 0, intervalMs: 1 }))
  record.setPhase('active')
  for (let occurrence = 0; occurrence < Math.max(1, occurrences); occurrence++) {
    for (const step of record.createOccurrence(occurrence)) {
      for (const task of step.tasks) {
        if (task.ordinal % 3 === 0) step.markDone(task)
        for (let attempt = 1; attempt <= FAILED_RUNS; attempt++) task.addFailedAttempt(9_000_000 + attempt)
        for (let loss = 1; loss <= MAX_LOSSES; loss++) task.crashes.add(brand<Attempt>(9_000_020 + loss), { id: brand('i-0123456789abcdef'), incarnation: brand(1_796_686_540_785) })
        task.checkpoint = checkpoint
        task.knownRun = { attempt: brand<Attempt>(9_000_030), worker: { id: brand('i-0123456789abcdef'), incarnation: brand(1_796_686_540_785) }, epoch: brand(900), isListed: false }
      }
    }
  }
  return record
}

const segmentsOf = (record: JobRecord): JobProgress[] => Array.from({ length: record.segmentCount }, (_, number) => record.segmentOf(number * TASKS_PER_SEGMENT).progress)

test('each segment fits into a row, and together they hold the progress of every task once, whatever the steps and occurrences', t => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 450 }), { minLength: 1, maxLength: 5 }), fc.integer({ min: 0, max: 12 }), (stepSizes, occurrences) => {
    const record = fullRecord(stepSizes, occurrences, 'c'.repeat(16))
    const whole = record.progress
    const segments = segmentsOf(record)
    for (const segment of segments) if (Buffer.byteLength(JSON.stringify(segment)) > MAX_ROW_BYTES) return false
    for (const field of ['failed', 'checkpoints', 'crashed', 'crashedOn', 'knownRuns'] as const) {
      const entries = segments.flatMap(segment => Object.entries(segment[field] ?? {}))
      t.is(entries.length, Object.keys(whole[field] ?? {}).length)
      t.deepEqual(Object.fromEntries(entries), whole[field])
    }
    for (const [step, indexes] of Object.entries(whole.done)) {
      const divided = segments.flatMap<unknown>(({ done }) => done[step] ?? [])
      t.deepEqual(indexes === 'all' ? [...new Set(divided)] : divided, indexes === 'all' ? ['all'] : [...indexes])
    }
    return true
  }), { numRuns: 20, seed: 7 })
  t.pass()
})

const schedulerOf = (job: Parameters<JobScheduler['addJob']>[0], progress: JobProgress): JobScheduler => {
  const now = brand<Instant>(0)
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_000 }, now, new SilentJobSchedulerObserver())
  scheduler.addJob(job, now, progress)
  return scheduler
}

test('the progress of a job that an earlier version stored in one row is divided before that row is replaced, also after failed writes', t => {
  const { job, progress } = fullRecord([150, 150], 0, '')
  const scheduler = schedulerOf(job, progress)
  const first = scheduler.takeDirty(1)
  t.deepEqual(first.map(({ number }) => number), [1])
  scheduler.markDirty(first)
  t.deepEqual(scheduler.takeDirty(10).map(({ number }) => number), [1, 2, 0])
})

test('a job whose progress is divided already is not written anew by the next owner', t => {
  const { job, progress } = fullRecord([150, 150], 0, '')
  t.is(schedulerOf(job, { ...progress, isDivided: true }).dirtyCount, 0)
})

test('of a job that ends only the first segment is written', t => {
  const { job, progress } = fullRecord([300], 0, '')
  const scheduler = schedulerOf(job, progress)
  const segments = scheduler.takeDirty(10)
  scheduler.cancel(job.id, brand<Instant>(10))
  scheduler.markDirty(segments)
  t.deepEqual(scheduler.takeDirty(10).map(({ number, progress: { phase } }) => [number, phase]), [[0, 'cancelled']])
})
