import test from 'ava'
import { brand, type Epoch, type Incarnation, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type WorkerReport } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)
const OLD = workerEntryOf('w1')
const NEW = workerEntryOf('w1', { incarnation: brand<Incarnation>(2), processors: 2_000, labels: ['small'] })
const REPORT: WorkerReport = { incarnation: NEW.incarnation, clockMs: 0, running: [], ended: [] }

const startsOf = (scheduler: JobScheduler, ms: number): number => scheduler.decide(at(ms), ms).filter(({ kind }) => kind === 'start').length

test('a worker whose report shows a new incarnation gets no work by the capacity of the old one, as it may be of another kind', t => {
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver())
  scheduler.replaceWorkers([OLD], at(0))
  scheduler.applyReport(OLD.id, REPORT, at(100), at(100))
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ processors: 8_000 })]), at(100))
  t.is(startsOf(scheduler, 200), 0)
  scheduler.upsertWorker(NEW, at(300))
  t.is(startsOf(scheduler, 300), 0)
  scheduler.workers.get(NEW.id)?.recordOwnAnswer(at(350))
  scheduler.addJob(jobOf('00000000000000a2', [stepOf({ processors: 1_000, requiredLabel: 'small' })]), at(400))
  t.is(startsOf(scheduler, 400), 1)
})

test('a worker of an earlier owner that is not listed stays so when its report shows a new incarnation', t => {
  const scheduler = new JobScheduler(brand<Epoch>(2), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver())
  scheduler.restoreWorker({ ...OLD, processors: 0, memoryMb: 0 }, at(0))
  scheduler.replaceWorkers([], at(0))
  scheduler.applyReport(OLD.id, REPORT, at(100), at(100))
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ processors: 0, memoryMb: 0 })]), at(100))
  t.is(startsOf(scheduler, 200), 0)
})
