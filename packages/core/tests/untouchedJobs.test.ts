import test from 'ava'
import { brand, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf } from '@auburnpin/fakes'
import { JobScheduler } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)

test('a job with a task that is done stays in its cell, also if its former owner never recorded that it had begun', t => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_500 }, at(0), new SilentJobSchedulerObserver())
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ taskCount: 2 })]), at(0), { phase: 'queued', done: { '0.0': [0] }, failed: {}, checkpoints: {} })
  scheduler.decide(at(0), 0)
  scheduler.decide(at(5_000), 5_000)
  t.deepEqual(scheduler.untouchedJobs(at(4_000)), [])
})

test('a job with a task that has failed stays in its cell, so that the failures count', t => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_500 }, at(0), new SilentJobSchedulerObserver())
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ taskCount: 2 })]), at(0), { phase: 'queued', done: {}, failed: { '0.0.0': [1] }, checkpoints: {} })
  scheduler.decide(at(0), 0)
  scheduler.decide(at(5_000), 5_000)
  t.deepEqual(scheduler.untouchedJobs(at(4_000)), [])
})

test('a job with a task under which a worker was lost stays in its cell, so that the losses count', t => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_500 }, at(0), new SilentJobSchedulerObserver())
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ taskCount: 2 })]), at(0), { phase: 'queued', done: {}, failed: {}, checkpoints: {}, crashed: { '0.0.0': [1] } })
  scheduler.decide(at(0), 0)
  scheduler.decide(at(5_000), 5_000)
  t.deepEqual(scheduler.untouchedJobs(at(4_000)), [])
})
