import test from 'ava'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, type TaskName, type WorkerReport } from '../src/index.ts'

const ENTRY = workerEntryOf('w')
const UNKNOWN_RUN = { task: 'ffffffffffffffff.0.0.0' as TaskName, attempt: brand<Attempt>(1), checkpoint: '', progressPercent: 0, reading: 0 }
const REPORT: WorkerReport = { incarnation: ENTRY.incarnation, clockMs: 0, running: [UNKNOWN_RUN], ended: [] }

test('a run of an unknown job is stopped, and the order is repeated only after a delay', t => {
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_000 }, brand<Instant>(0), new SilentJobSchedulerObserver())
  scheduler.replaceWorkers([ENTRY], brand<Instant>(0))
  const stopsAt = (ms: number): number => {
    const now = brand<Instant>(ms)
    scheduler.applyReport(ENTRY.id, REPORT, now, now)
    return scheduler.decide(now, ms).filter(({ kind }) => kind === 'stop').length
  }
  t.deepEqual([100, 200, 300, 800].map(stopsAt), [1, 0, 0, 1])
})

test('nothing starts beside a run of an unknown job until it has ended, as nobody knows what it needs', t => {
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_000 }, brand<Instant>(0), new SilentJobSchedulerObserver())
  scheduler.replaceWorkers([ENTRY], brand<Instant>(0))
  scheduler.addJob(jobOf('00000000000000a1', [stepOf()]), brand<Instant>(0))
  const startsAt = (ms: number, running: WorkerReport['running']): number => {
    const now = brand<Instant>(ms)
    scheduler.applyReport(ENTRY.id, { ...REPORT, running }, now, now)
    return scheduler.decide(now, ms).filter(({ kind }) => kind === 'start').length
  }
  t.is(startsAt(100, [UNKNOWN_RUN]), 0)
  t.is(startsAt(500, [UNKNOWN_RUN]), 0)
  t.is(startsAt(600, []), 1)
})
