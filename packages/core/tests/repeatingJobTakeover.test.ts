import test from 'ava'
import { brand, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type JobProgress, type JobStep, type RunEnding, type TaskName } from '../src/index.ts'

const REPEATING = '00000000000000a1'

const at = (ms: number): Instant => brand<Instant>(ms)

const schedulerOf = (epoch: number, steps: readonly JobStep[], progress?: JobProgress): JobScheduler => {
  const scheduler = new JobScheduler(brand<Epoch>(epoch), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver())
  const worker = workerEntryOf('w1')
  scheduler.replaceWorkers([worker], at(0))
  scheduler.addJob(jobOf(REPEATING, steps, { occurrences: 2, firstRunAt: 0, intervalMs: 1_000 }), at(0), progress)
  scheduler.applyReport(worker.id, { incarnation: worker.incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  return scheduler
}

/** Starts the tasks of the first occurrence and returns the progress for the next owner after some of the runs have ended. */
const progressAfter = (steps: readonly JobStep[], endings: Readonly<Record<string, RunEnding>>): JobProgress => {
  const scheduler = schedulerOf(1, steps)
  const { id, incarnation } = workerEntryOf('w1')
  const orders = scheduler.decide(at(10), 500).filter(order => order.kind === 'start')
  for (const { worker, task, attempt } of orders) scheduler.recordStartOutcome(worker, task, attempt, 'started', at(20))
  const running = orders.filter(({ task }) => endings[task] === undefined).map(({ task, attempt }) => ({ task, attempt, checkpoint: '', progressPercent: 0, reading: 0 }))
  const ended = orders.filter(({ task }) => endings[task] !== undefined)
    .map(({ task, attempt }, index) => ({ sequence: index + 1, task, attempt, ending: endings[task] as RunEnding, checkpoint: 'c1' }))
  scheduler.applyReport(id, { incarnation, clockMs: 100, running, ended }, at(100), at(100))
  return scheduler.jobs.get(brand(REPEATING))?.progress as JobProgress
}

/** Tasks of the first occurrence that the next owner starts. */
const startsAfterTakeover = (steps: readonly JobStep[], progress: JobProgress): TaskName[] =>
  schedulerOf(2, steps, progress).decide(at(10), 500).flatMap(order => order.kind === 'start' ? [order.task] : [])

test('after a takeover a task of a repeating job that is done does not run again, whatever its step', t => {
  const steps = [stepOf(), stepOf()]
  const progress = progressAfter(steps, { [`${REPEATING}.0.1.0`]: 'done' })
  t.deepEqual(progress.done, Object.fromEntries([['0.1', 'all']]))
  t.deepEqual(startsAfterTakeover(steps, progress).map(String), [`${REPEATING}.0.0.0`])
})

test('after a takeover the failures of a repeating job still count', t => {
  const steps = [stepOf()]
  const progress = progressAfter(steps, { [`${REPEATING}.0.0.0`]: 'failed' })
  t.deepEqual(progress.failed, { '0.0.0': [1] })
  const next = schedulerOf(2, steps, progress)
  next.decide(at(10), 500)
  t.deepEqual(next.jobs.get(brand(REPEATING))?.progress.failed, { '0.0.0': [1] })
})

test('after a takeover the tasks of a repeating job continue from their checkpoints', t => {
  const steps = [stepOf({ isCheckpointing: true })]
  const [order] = schedulerOf(2, steps, progressAfter(steps, { [`${REPEATING}.0.0.0`]: 'failed' })).decide(at(10), 500)
  t.is(order?.kind === 'start' ? order.checkpoint : undefined, 'c1')
})

test('after a takeover a long-running task of a repeating job counts as interrupted if it has run', t => {
  const steps = [stepOf({ isLasting: true })]
  const progress = progressAfter(steps, {})
  t.deepEqual(progress.started, { '0.0': 'all' })
  const next = schedulerOf(2, steps, progress)
  next.decide(at(10), 500, 0)
  t.deepEqual(next.interruptedTasks(0, at(20)).map(({ task }) => String(task.name)), [`${REPEATING}.0.0.0`])
})
