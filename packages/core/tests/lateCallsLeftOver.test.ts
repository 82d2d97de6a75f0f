/** Calls and answers of other incarnations that this scheduler takes for those of the present one. */
import test from 'ava'
import { brand, type Epoch, type Incarnation, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type RunOrder } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)
const isStart = (order: RunOrder): order is RunOrder & { kind: 'start' } => order.kind === 'start'

test('an answer of the next incarnation of a worker that was young itself does not count as one of that worker', t => {
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_500 }, at(0), new SilentJobSchedulerObserver())
  scheduler.replaceWorkers([workerEntryOf('w1'), workerEntryOf('w2')], at(0))
  // The worker has been up for 50 ms.
  for (const id of ['w1', 'w2']) scheduler.applyReport(brand(id), { incarnation: brand(1), clockMs: 50, running: [], ended: [] }, at(10_000), at(10_002))
  scheduler.addJob(jobOf('00000000000000d1', [stepOf({ isLasting: true })]), at(10_002))
  const order = scheduler.decide(at(10_005), 10_005).find(isStart)!
  const worker = scheduler.workers.get(order.worker)!
  // It dies, and its next incarnation, up for 570 ms, carries the order out and answers within 700 ms.
  scheduler.recordStartSent(order.worker, order.task, order.attempt, at(10_006))
  worker.recordClock(570, at(10_006), at(10_690))
  scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', at(10_690), 570)
  scheduler.upsertWorker(workerEntryOf(order.worker, { incarnation: brand<Incarnation>(2) }), at(10_700))
  scheduler.markStored(scheduler.takeDirty(10))
  // A task under which a worker was lost is announced first.
  scheduler.decide(at(10_701), 10_701)
  scheduler.markStored(scheduler.takeDirty(10))
  t.deepEqual(scheduler.decide(at(10_702), 10_702).filter(isStart), [])
})

test('a new owner that can not read which workers were used waits for the leases that reborn ones may have inherited', t => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_500 }, at(0), new SilentJobSchedulerObserver())
  scheduler.waitForEarlierLeases()
  scheduler.replaceWorkers([workerEntryOf('w1')], at(0))
  scheduler.applyReport(brand('w1'), { incarnation: brand(1), clockMs: 50, running: [], ended: [] }, at(10), at(12))
  scheduler.decide(at(5_000), 5_000)
  t.false(scheduler.isReconciled)
})
