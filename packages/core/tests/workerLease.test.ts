import test from 'ava'
import { brand, type Incarnation, type Instant } from '@auburnpin/common'
import { workerEntryOf } from '@auburnpin/fakes'
import { WorkerRecord } from '../src/index.ts'

const LEASE_MS = 4_500
/** The longest lease of a worker, on a clock that is 2 % slow, and an allowance for late timers. */
const LONGEST_WAIT_MS = 10_000 / 0.98 + 200
const at = (ms: number): Instant => brand<Instant>(ms)

/** A worker that had been up for an hour when its clock was read, 50 s ago. */
const idleWorker = (): WorkerRecord => {
  const worker = new WorkerRecord(workerEntryOf('w1'), at(0), LEASE_MS)
  worker.recordClock(3_600_000, at(0), at(0))
  return worker
}

test('a worker whose clock has begun anew is waited for no longer than for its longest lease', t => {
  const worker = idleWorker()
  worker.extendLease(worker.leaseEnd(LEASE_MS, at(50_000)) as number)
  worker.recordClock(30, at(50_000), at(50_002))
  t.true(worker.leaseExpiresAt > at(50_002 + 10_000))
  t.true(worker.leaseExpiresAt <= at(50_002 + LONGEST_WAIT_MS))
})

test('a response of an earlier incarnation that comes late does not make the lease of the later one seem over', t => {
  const worker = idleWorker()
  worker.extendLease(worker.leaseEnd(LEASE_MS, at(50_000)) as number)
  worker.recordClock(30, at(50_000), at(50_002))
  worker.recordClock(3_649_000, at(49_000), at(50_010))
  t.true(worker.leaseExpiresAt > at(50_002 + 10_000))
})

test('an overtaken response of the same incarnation still shows that the worker responds', t => {
  const worker = idleWorker()
  worker.recordClock(3_650_000, at(50_000), at(50_002))
  worker.markUnresponsive()
  worker.recordClock(3_649_990, at(49_990), at(50_010))
  t.false(worker.isUnresponsive)
  t.is(worker.clockAgeMs(at(50_010)), 8)
})

test('a reborn worker is waited for until the lease is over that it took from an order for its earlier incarnation', t => {
  const earlier = idleWorker()
  const untilMs = earlier.leaseEnd(LEASE_MS, at(50_000)) as number
  earlier.extendLease(untilMs)
  const reborn = new WorkerRecord(workerEntryOf('w1', { incarnation: brand<Incarnation>(2) }), at(50_001), LEASE_MS)
  reborn.inheritFrom(earlier)
  reborn.inheritLease(untilMs, 30, at(50_002))
  reborn.recordClock(40, at(50_010), at(50_012))
  reborn.extendLease(reborn.leaseEnd(LEASE_MS, at(50_020)) as number)
  t.true(reborn.leaseExpiresAt > at(50_002 + 10_000))
  t.true(reborn.leaseExpiresAt <= at(50_002 + LONGEST_WAIT_MS))
})

test('a lease that an earlier incarnation took does not hold up a reborn worker', t => {
  const earlier = idleWorker()
  const untilMs = earlier.leaseEnd(LEASE_MS, at(50_000)) as number
  earlier.extendLease(untilMs)
  const reborn = new WorkerRecord(workerEntryOf('w1', { incarnation: brand<Incarnation>(2) }), at(50_001), LEASE_MS)
  reborn.inheritLease(untilMs, 3_650_000, at(50_002))
  t.true(reborn.leaseExpiresAt <= at(50_002 + LEASE_MS / 0.98 + 200))
})
