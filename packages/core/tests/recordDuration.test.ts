import test from 'ava'
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { createRun, JobRecord, LearntDurations, WorkerRecord, type RunRecord, type TaskRecord } from '../src/index.ts'
import { findLateness } from '../src/jobs/findLateness.ts'
import { recordDuration } from '../src/jobs/recordDuration.ts'
import { recordProgress } from '../src/jobs/recordProgress.ts'
import { recordStarted } from '../src/jobs/recordStarted.ts'

const LEARNT = { medianMs: 1_000, highMs: 1_100 }

const at = (ms: number): Instant => brand<Instant>(ms)

/** A run whose start was confirmed at 0 and whose worker reports every second. */
const startRun = (checkpoint = ''): RunRecord => {
  const task = [...new JobRecord(jobOf('00000000000000a1', [stepOf()])).createOccurrence(0)[0]?.tasks ?? []][0] as TaskRecord
  task.checkpoint = checkpoint
  const run = createRun(task, brand<Attempt>(1), new WorkerRecord(workerEntryOf('w1'), at(0), 4_000), 'running', at(0))
  recordStarted(run, at(0), 0)
  return run
}

const reportProgress = (run: RunRecord, percent: number, ms: number, delayMs = 0): void => {
  recordProgress(run, { task: run.task.name, attempt: run.attempt, checkpoint: '', progressPercent: percent, reading: 0 }, ms, at(ms + delayMs))
  run.worker.reportedAt = at(ms + delayMs)
}

/** What is learnt from 20 runs that end after 1,500 ms, the worker's last report being as old as given. */
const learnFrom = (run: RunRecord, reportAgeMs: number): number | undefined => {
  const durations = new LearntDurations()
  run.worker.reportedAt = at(1_500 - reportAgeMs)
  for (let count = 0; count < 20; count++) recordDuration(run, durations, at(1_500))
  return durations.learnt(run.task.step)?.medianMs
}

test('a run is learnt from only if its start and end are known and it ran from its beginning', t => {
  t.true(Math.abs((learnFrom(startRun(), 1_000) ?? 0) - 1_500) < 15)
  t.is(learnFrom(startRun('half done'), 1_000), undefined)
  t.is(learnFrom(startRun(), 2_500), undefined, 'the end may be older than its report')
  const adopted = { ...startRun(), startedAt: undefined }
  t.is(learnFrom(adopted, 1_000), undefined)
})

test('a run is late by its own speed, also if it continues from a checkpoint or its reports come late', t => {
  const slow = startRun()
  reportProgress(slow, 14, 1_000)
  t.is(Math.round(findLateness(slow, LEARNT, at(1_000))?.totalMs ?? 0), 6_667)
  const ordinary = startRun()
  reportProgress(ordinary, 40, 420, 3_000)
  t.is(findLateness(ordinary, LEARNT, at(3_420)), undefined)
  const resumed = startRun('half done')
  reportProgress(resumed, 50, 100)
  t.is(findLateness(resumed, LEARNT, at(100)), undefined)
  reportProgress(resumed, 56, 1_100)
  t.is(Math.round(findLateness(resumed, LEARNT, at(1_100))?.remainingMs ?? 0), 6_286)
})

test('a run is not late for a moment without progress, among others that take as long, or near its end', t => {
  const run = startRun()
  reportProgress(run, 0, 200)
  t.is(findLateness(run, LEARNT, at(200)), undefined)
  reportProgress(run, 14, 1_000)
  t.is(findLateness(run, { medianMs: 1_000, highMs: 8_000 }, at(1_000)), undefined)
  reportProgress(run, 75, 5_000)
  t.is(findLateness(run, LEARNT, at(5_000)), undefined)
})

test('a filler that was slowed down for other tasks is not late', t => {
  const task = [...new JobRecord(jobOf('00000000000000a1', [stepOf({ isFiller: true })])).createOccurrence(0)[0]?.tasks ?? []][0] as TaskRecord
  const run = createRun(task, brand<Attempt>(1), new WorkerRecord(workerEntryOf('w1'), at(0), 4_000), 'running', at(0))
  recordStarted(run, at(0), 0)
  reportProgress(run, 10, 1_000)
  t.not(findLateness(run, LEARNT, at(1_000)), undefined)
  t.is(findLateness({ ...run, pacePercent: 25 }, LEARNT, at(1_000)), undefined)
})
