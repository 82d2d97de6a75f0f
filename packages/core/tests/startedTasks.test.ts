import test from 'ava'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, nameTask, type JobProgress, type WorkerReport } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const WATCH = '00000000000000a1'
const STEP = stepOf({ taskCount: 2, processors: 5_000, isLasting: true })
const TASK = nameTask({ job: brand(WATCH), occurrence: 0, step: 0, index: 1 })
const RUN = { task: TASK, attempt: brand<Attempt>(7), checkpoint: '' }

const at = (ms: number): Instant => brand<Instant>(ms)

/** Applies one report to an owner that took over a started job of which no task is known to have run. */
const reportAfterTakeover = ({ running = [], ended = [] }: Partial<WorkerReport>): JobScheduler => {
  const progress: JobProgress = { phase: 'active', done: {}, started: { '0.0': [] }, failed: {}, checkpoints: {} }
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver())
  const worker = workerEntryOf('w1')
  scheduler.replaceWorkers([worker], at(0))
  scheduler.addJob(jobOf(WATCH, [STEP]), at(0), progress)
  scheduler.applyReport(worker.id, { incarnation: worker.incarnation, clockMs: 0, running, ended }, at(10), at(10))
  return scheduler
}

const storedStarts = (scheduler: JobScheduler): unknown => scheduler.takeDirty(1)[0]?.progress.started?.['0.0']

test('each start of a long-running task is written, also those after the first of its job', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.isStoreUp = false
  scenario.submit(WATCH, [STEP])
  scenario.advance(500)
  t.deepEqual(storedStarts(scenario.scheduler), [0])
  scenario.scheduler.replaceWorkers([workerEntryOf('w1'), workerEntryOf('w2')], scenario.now)
  scenario.advance(500)
  t.is(storedStarts(scenario.scheduler), 'all')
})

test('a run that a worker reports to a new owner is a start that is written', t => {
  t.deepEqual(storedStarts(reportAfterTakeover({ running: [{ ...RUN, progressPercent: 100, reading: 0 }] })), [1])
})

test('a task whose end a worker reports to a new owner is interrupted, and its start is written', t => {
  const scheduler = reportAfterTakeover({ ended: [{ ...RUN, sequence: 1, ending: 'lapsed' }] })
  t.deepEqual(scheduler.interruptedTasks(0, at(20)).map(({ task }) => task.name), [TASK])
  t.deepEqual(storedStarts(scheduler), [1])
})
