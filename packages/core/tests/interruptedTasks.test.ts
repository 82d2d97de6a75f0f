import test from 'ava'
import { brand, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf } from '@auburnpin/fakes'
import { JobScheduler, type JobProgress, type StartOutcome } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const WATCH = '00000000000000a1'
const STEP = stepOf({ taskCount: 3, processors: 8_000, isLasting: true, latencyTargetMs: 100 })

const interrupted = (scheduler: JobScheduler, now: number): string[] =>
  scheduler.interruptedTasks(0, brand<Instant>(now)).map(({ task }) => task.name)

const restored = (progress: JobProgress): JobScheduler => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_000 }, brand<Instant>(0), new SilentJobSchedulerObserver())
  scheduler.addJob(jobOf(WATCH, [STEP]), brand<Instant>(0), progress)
  return scheduler
}

test('after a takeover only those long-running tasks of a started job count as interrupted that have run', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  scenario.isStoreUp = false
  scenario.submit(WATCH, [STEP])
  scenario.advance(500)
  // The third worker is reserved for restarts.
  const [record] = scenario.scheduler.takeDirty(1)
  t.deepEqual(record?.progress.started, { '0.0': [0, 1] })
  t.deepEqual(interrupted(restored(record?.progress as JobProgress), 10), [`${WATCH}.0.0.0`, `${WATCH}.0.0.1`])
})

test('progress of an earlier version, which says not which tasks have run, counts all tasks of a started job', t => {
  t.is(interrupted(restored({ phase: 'active', done: {}, failed: {}, checkpoints: {} }), 10).length, 3)
  t.is(interrupted(restored({ phase: 'queued', done: {}, failed: {}, checkpoints: {} }), 10).length, 0)
})

test('a long-running task whose first order was refused does not count as interrupted, one that may have started does', t => {
  const orderFirst = (outcome: StartOutcome): string[] => {
    const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
    scenario.submit(WATCH, [STEP])
    const [order] = scenario.scheduler.decide(scenario.now, 0)
    if (order?.kind !== 'start') throw new Error('no task was started')
    scenario.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, outcome, scenario.now)
    scenario.scheduler.recordStopAccepted(order.worker, order.task, order.attempt, scenario.now)
    scenario.report(10)
    return interrupted(scenario.scheduler, 10)
  }
  t.deepEqual(orderFirst('no-room'), [])
  t.deepEqual(orderFirst('unavailable'), [])
  t.deepEqual(orderFirst('unknown'), [`${WATCH}.0.0.0`])
})
