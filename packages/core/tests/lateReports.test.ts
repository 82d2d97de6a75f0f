import test from 'ava'
import { brand, type Epoch, type Incarnation, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type RunOrder, type WorkerRecord } from '../src/index.ts'

const LEASE_MS = 4_000
const LATE_MS = 9_000
const at = (ms: number): Instant => brand<Instant>(ms)
const isStart = (order: RunOrder): order is RunOrder & { kind: 'start' } => order.kind === 'start'

/** A scheduler whose only task runs on one of two workers, with a lease that has expired long before `LATE_MS`. */
const startTask = (): Readonly<{ scheduler: JobScheduler, order: RunOrder & { kind: 'start' } }> => {
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: LEASE_MS }, at(0), new SilentJobSchedulerObserver())
  const entries = ['w1', 'w2'].map(id => workerEntryOf(id))
  scheduler.replaceWorkers(entries, at(0))
  for (const { id, incarnation } of entries) scheduler.applyReport(id, { incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  scheduler.addJob(jobOf('00000000000000d1', [stepOf()]), at(0))
  const order = scheduler.decide(at(10), 10).find(isStart)
  if (order === undefined) throw new Error('Nothing was started')
  scheduler.workers.get(order.worker)?.extendLease(10 + LEASE_MS)
  scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'started', at(20))
  return { scheduler, order }
}

test('an owner that reads a report late applies the end in it and does not start the task again', t => {
  const { scheduler, order } = startTask()
  t.deepEqual(scheduler.decide(at(LATE_MS), LATE_MS).filter(isStart), [])
  const ended = [{ sequence: 1, task: order.task, attempt: order.attempt, ending: 'done' as const, checkpoint: '' }]
  scheduler.applyReport(order.worker, { incarnation: brand(1), clockMs: LATE_MS, running: [], ended }, at(LATE_MS), at(LATE_MS))
  t.deepEqual(scheduler.decide(at(LATE_MS + 10), LATE_MS + 10).filter(isStart), [])
  t.is(scheduler.jobs.get(brand('00000000000000d1'))?.phase, 'completed')
})

test('a task on an unresponsive worker starts elsewhere once the lease has expired', t => {
  const { scheduler, order } = startTask()
  scheduler.workers.get(order.worker)?.markUnresponsive()
  t.deepEqual(scheduler.decide(at(1_000), 1_000).filter(isStart), [])
  t.deepEqual(scheduler.decide(at(LATE_MS), LATE_MS).filter(isStart), [], 'the attempt is not stored')
  scheduler.markStored(scheduler.takeDirty(1))
  const [again] = scheduler.decide(at(LATE_MS), LATE_MS).filter(isStart)
  t.is(again?.task, order.task)
  t.not(again?.worker, order.worker)
})

test('a task whose order was sent late, and had no response, starts elsewhere only once the order can no longer come to a reborn worker', t => {
  const ASKED_MS = 800
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: LEASE_MS }, at(0), new SilentJobSchedulerObserver())
  const entries = ['w1', 'w2'].map(id => workerEntryOf(id))
  scheduler.replaceWorkers(entries, at(0))
  for (const { id, incarnation } of entries) scheduler.applyReport(id, { incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  scheduler.addJob(jobOf('00000000000000d1', [stepOf()]), at(0))
  const startsAt = (ms: number): readonly RunOrder[] => {
    const starts = scheduler.decide(at(ms), ms).filter(isStart)
    scheduler.markStored(scheduler.takeDirty(1))
    return [...starts, ...scheduler.decide(at(ms), ms).filter(isStart)]
  }
  const order = scheduler.decide(at(10), 10).find(isStart)
  if (order === undefined) throw new Error('Nothing was started')
  const sentMs = 10 + ASKED_MS
  const worker = scheduler.workers.get(order.worker) as WorkerRecord
  const call = worker.beginLeaseCall(sentMs + LEASE_MS, at(sentMs))
  scheduler.recordStartSent(order.worker, order.task, order.attempt, at(sentMs))
  worker.leaseCalls.end(call, false)
  scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'unknown', at(sentMs + 700))
  scheduler.upsertWorker(workerEntryOf(order.worker, { incarnation: brand<Incarnation>(2) }), at(sentMs + 800))
  scheduler.workers.get(order.worker)?.markUnresponsive()
  // The order comes within 12 s, and gives the worker a lease of at most 10 s on a clock that may be 2 % slow.
  const overMs = sentMs + 12_000 + 10_000 / 0.98
  t.deepEqual(startsAt(overMs - 1), [])
  const [again] = startsAt(overMs + 201)
  t.not(again?.worker, order.worker)
  t.is(again?.task, order.task)
})
