import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { countKeptTasks, JobRecord, mostKeptTasks, type Job } from '../src/index.ts'
import { openableOccurrences } from '../src/jobs/openableOccurrences.ts'

const ID = '00000000000000a1'
const MINUTE_MS = 60_000
const MAX_OPEN_TASKS = 2_000

const repeating = (tasks: number, occurrences: number): Job => jobOf(ID, [stepOf({ taskCount: tasks })], { occurrences, intervalMs: MINUTE_MS })

const openDue = (record: JobRecord, wallTime: number): number[] => {
  record.forgetDoneOccurrences()
  const opened: number[] = []
  for (const occurrence of openableOccurrences(record, wallTime)) {
    record.createOccurrence(occurrence)
    record.openReadySteps(occurrence)
    opened.push(occurrence)
  }
  return opened
}

const finish = (record: JobRecord, occurrence: number): void => {
  for (const step of record.occurrences.get(occurrence) ?? []) for (const task of step.tasks) step.markDone(task)
  record.openReadySteps(occurrence)
}

// Guards against an owner that runs out of memory because it keeps every task of every occurrence that was ever due.
for (const [tasks, occurrences] of [[10, 10_000], [100, 1_000], [1, 10_000]] as const) {
  test(`a job of ${tasks} tasks that runs ${occurrences} times, all of them due, never keeps more than ${MAX_OPEN_TASKS}, and each occurrence opens once`, t => {
    const record = new JobRecord(repeating(tasks, occurrences))
    const opened: number[] = []
    while (!record.isDone) {
      opened.push(...openDue(record, occurrences * MINUTE_MS))
      const kept = countKeptTasks([record])
      if (kept > MAX_OPEN_TASKS) return t.fail(`${kept} tasks`)
      for (const occurrence of [...record.occurrences.keys()].reverse()) finish(record, occurrence)
    }
    t.is(opened.length, occurrences)
    t.is(new Set(opened).size, occurrences)
    t.is(mostKeptTasks(record.job), Math.min(MAX_OPEN_TASKS, tasks * occurrences))
  })
}

test('an occurrence with more tasks than that opens by itself', t => {
  const record = new JobRecord(repeating(5_000, 3))
  t.deepEqual(openDue(record, 10 * MINUTE_MS), [0])
  finish(record, 0)
  t.deepEqual(openDue(record, 10 * MINUTE_MS), [1])
})

test('an occurrence whose result is still useful opens before those whose time is long past, and none before its time', t => {
  const record = new JobRecord(repeating(1_000, 10))
  t.deepEqual(openDue(record, 6 * MINUTE_MS + 100), [6, 0])
  t.deepEqual(openDue(record, 7 * MINUTE_MS + 100), [])
  finish(record, 0)
  t.deepEqual(openDue(record, 7 * MINUTE_MS + 100), [7])
})

test('what was forgotten as done stays in the progress of its segments', t => {
  const record = new JobRecord(repeating(40, 4))
  openDue(record, 10 * MINUTE_MS)
  for (const occurrence of [0, 1, 3]) finish(record, occurrence)
  record.setPhase('active')
  record.forgetDoneOccurrences()
  t.deepEqual([...record.occurrences.keys()], [2])
  t.deepEqual(record.progress.done, { '0.0': 'all', '1.0': 'all', '3.0': 'all' })
  t.deepEqual(record.segmentOf(0).progress.done, { '0.0': 'all', '1.0': 'all' })
  t.deepEqual(record.segmentOf(100).progress.done, { '3.0': 'all' })
  t.deepEqual(record.createOccurrence(1), [])
  t.is(record.done.count, 3)
})
