import test from 'ava'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { SilentJobSchedulerObserver, workerEntryOf } from '@auburnpin/fakes'
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
