import test from 'ava'
import { brand, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type JobProgress } from '../src/index.ts'

const WATCH = '00000000000000a1'
const RESTARTS = 1_100

const at = (ms: number): Instant => brand<Instant>(ms)

const schedulerOf = (epoch: number, progress?: JobProgress): JobScheduler => {
  const scheduler = new JobScheduler(brand<Epoch>(epoch), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver())
  const worker = workerEntryOf('w1')
  scheduler.replaceWorkers([worker], at(0))
  scheduler.addJob(jobOf(WATCH, [stepOf({ isLasting: true })]), at(0), progress)
  scheduler.applyReport(worker.id, { incarnation: worker.incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  return scheduler
}

test('a later owner gives runs higher numbers than an earlier one, however often that one restarted a long-running task', t => {
  const scheduler = schedulerOf(1)
  const { id, incarnation } = workerEntryOf('w1')
  let highest = 0
  for (let restart = 1; restart <= RESTARTS; restart++) {
    const now = at(restart * 60_000)
    const [order] = scheduler.decide(now, now)
    if (order?.kind !== 'start') throw new Error('the task was not started')
    highest = order.attempt
    scheduler.recordStartOutcome(id, order.task, order.attempt, 'started', now)
    const ended = [{ sequence: restart, task: order.task, attempt: order.attempt, ending: 'lapsed' as const, checkpoint: '' }]
    scheduler.applyReport(id, { incarnation, clockMs: now, running: [], ended }, at(now + 1), at(now + 1))
  }
  const [order] = schedulerOf(2, scheduler.jobs.get(brand(WATCH))?.progress).decide(at(10), 10)
  t.true(order?.kind === 'start' && order.attempt > highest, `run ${order?.kind === 'start' ? order.attempt : '-'} after run ${highest}`)
})
