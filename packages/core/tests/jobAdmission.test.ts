import test from 'ava'
import { brand, type Instant } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobAdmission, type Job, type PublishedWaits } from '../src/index.ts'

const NOW = brand<Instant>(10_000)
const SIZES = [10_000, 20_000, 30_000]
/** A job with a chain of 1 s and a slack of 2 s, of the number of tasks that its size in core-milliseconds needs. */
const jobOfSize = (index: number, size: number): Job => jobOf(index.toString(16).padStart(16, '0'), [stepOf({ taskCount: size / 1_000, estimateMs: 1_000 })], { acceptedAt: 10_000 })
const published = (waits: readonly number[], ageMs = 500): PublishedWaits => ({ cells: [{ drafts: { sizes: SIZES, waits } }], ageMs })
/** The accepted share of the jobs of a size. */
const acceptedShare = (size: number, waits: readonly number[], admission = new JobAdmission()): number => {
  let accepted = 0
  for (let index = 0; index < 500; index++) if (admission.decide(jobOfSize(index, size), published(waits), NOW).kind === 'accept') accepted++
  return accepted / 500
}

// Guards against refusals without a sound reason.
test('in doubt a job is accepted', t => {
  const admission = new JobAdmission()
  const hopeless = published([60_000, 60_000, 60_000, 60_000])
  const job = jobOfSize(1, 5_000)
  t.is(admission.decide(job, hopeless, NOW).kind, 'refuse')
  for (const waits of [undefined, { cells: [], ageMs: 0 }, { cells: [undefined], ageMs: 0 }, { cells: [...hopeless.cells, undefined], ageMs: 0 }, { ...hopeless, ageMs: 2_100 }]) t.is(admission.decide(job, waits, NOW).kind, 'accept')
  t.is(admission.decide({ ...job, queue: brand('constructor') }, hopeless, NOW).kind, 'accept')
  t.is(admission.decide({ ...job, occurrences: 2, intervalMs: 1_000 }, hopeless, NOW).kind, 'accept')
  t.is(admission.decide({ ...job, steps: [stepOf({ isLasting: true })] }, hopeless, NOW).kind, 'accept')
})

// Guards against all processes refusing or accepting everything at the same figures.
test('the refused share rises with the wait, and every process refuses the same jobs', t => {
  const shares = [300, 500, 1_100, 1_700, 2_100].map(waitMs => acceptedShare(5_000, [waitMs, waitMs, waitMs, waitMs]))
  t.deepEqual([shares[0], shares[1]], [1, 1])
  t.true(shares[2]! > 0.5 && shares[2]! < 0.7, String(shares[2]))
  t.true(shares[3]! > 0.1 && shares[3]! < 0.3, String(shares[3]))
  t.is(shares[4], 0)
  const [one, other] = [new JobAdmission(), new JobAdmission()]
  for (let index = 0; index < 50; index++) t.is(one.decide(jobOfSize(index, 5_000), published([1_500, 1_500, 1_500, 1_500]), NOW).kind, other.decide(jobOfSize(index, 5_000), published([1_500, 1_500, 1_500, 1_500]), NOW).kind)
})

// Guards against an overload in which no large job is accepted, although the scheduler would promote some.
test('large jobs are accepted at least at 0.7 of the share of their queue', t => {
  const waits = [0, 0, 30_000, 60_000]
  const shares = [5_000, 15_000, 25_000, 40_000].map(size => acceptedShare(size, waits))
  t.deepEqual(shares.slice(0, 2), [1, 1])
  // Half and a quarter of the jobs are in the two small bands, all of which are accepted.
  for (const share of shares.slice(2)) t.true(share >= 0.7 * 0.75 - 0.05, String(share))
})

// Guards against clients that come back together, or that gain by coming back early.
test('refused clients come back spread over time, and those that come at their time are preferred', t => {
  const admission = new JobAdmission()
  const waits = published([1_700, 1_700, 1_700, 1_700])
  const counts = new Map<number, number>()
  let refused = 0
  const firstTimes: Job[] = []
  for (let index = 0; index < 500; index++) {
    const job = jobOfSize(index, 5_000)
    const decision = admission.decide(job, published([60_000, 60_000, 60_000, 60_000]), NOW)
    if (decision.kind === 'accept') continue
    t.true(decision.retryAfterMs >= 1_000 && decision.retryAfterMs <= 15_000)
    const second = Math.ceil(decision.retryAfterMs / 1_000)
    counts.set(second, (counts.get(second) ?? 0) + 1)
    admission.recordRefusal(job.id, decision.retryAfterMs, NOW)
    firstTimes.push(job)
    refused++
  }
  t.is(refused, 500)
  // A limit of the delay must not bring them back in the same second.
  t.true(counts.size >= 7 && Math.max(...counts.values()) < 100, JSON.stringify([...counts]))
  const later = brand<Instant>(NOW + 30_000)
  const acceptedOf = (jobs: readonly Job[]): number => jobs.filter(job => admission.decide(job, waits, later).kind === 'accept').length
  const newcomers = Array.from({ length: 500 }, (_, index) => jobOfSize(1_000 + index, 5_000))
  t.true(firstTimes.every(job => admission.decide(job, published([6_000, 6_000, 6_000, 6_000]), NOW).kind === 'refuse'))
  const early = firstTimes.filter(job => admission.decide(job, waits, brand<Instant>(NOW + 100)).kind === 'accept').length
  t.true(early <= acceptedOf(newcomers))
  t.true(acceptedOf(firstTimes) > 1.2 * acceptedOf(newcomers), `${acceptedOf(firstTimes)} ${acceptedOf(newcomers)}`)
})

// Guards against refusals that follow each change of the load at once.
test('after the wait has fallen, the refused share falls slowly', t => {
  const admission = new JobAdmission()
  const job = jobOfSize(2, 5_000)
  t.is(admission.decide(job, published([4_000, 4_000, 4_000, 4_000]), NOW).kind, 'refuse')
  const low = published([200, 200, 200, 200])
  const acceptedAt = (afterMs: number): number => Array.from({ length: 200 }, (_, index) => admission.decide(jobOfSize(index, 5_000), low, brand<Instant>(NOW + afterMs)).kind).filter(kind => kind === 'accept').length
  t.true(acceptedAt(800) < 60)
  t.true(acceptedAt(4_000) > 60 && acceptedAt(4_000) < 150)
  t.is(acceptedAt(9_000), 200)
})
