import test from 'ava'
import fc from 'fast-check'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import type { TaskName } from '@auburnpin/core'
import type { StoreTime } from '../src/RowStore.ts'
import { StoreClock } from '../src/StoreClock.ts'
import { encodeJob, jobPart } from '../src/rows.ts'
import { FIRST_CELL } from '../src/constants.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const LASTING = { runMs: 1e9, ending: 'done' } as const
const JOB = jobOf('00000000000000a1', [stepOf({ isLasting: true })])
const TASK = brand<TaskName>(`${JOB.id}.0.0.0`)
const OTHER_JOB = jobOf('00000000000000b2', []).id
const EARLIER_EPOCH = 2
const LEASE_MS = 4_500
/** A process starts, claims the cell and restores it well within this time. */
const START_MS = 1_000
/** No lease of an earlier owner lasts longer from the claim of the next one. */
const LONGEST_WAIT_MS = 5_000

/** The rows of an owner that used `w1`, with what it recorded about the end of its lease. */
const recordEarlierTerm = (simulation: JobsSimulation, leaseOverAt: unknown, areLeaseEndsRecorded: boolean | undefined): void => {
  const { id, incarnation, address, service } = simulation.worker('w1').entry
  const term = { holder: '', life: 'earlier', epoch: EARLIER_EPOCH, commit: 7, pending: {}, workers: 1, areLeaseEndsRecorded }
  simulation.rows.put('jobs', jobPart(JOB.id), JOB.id, encodeJob({ job: JOB, cell: FIRST_CELL }))
  simulation.rows.put('terms', FIRST_CELL, 'workers-0', JSON.stringify([{ id, incarnation, address, service, leaseOverAt }]))
  simulation.rows.put('terms', FIRST_CELL, 'term', JSON.stringify(term))
}

const startOnSilentWorker = (simulation: JobsSimulation): void => {
  simulation.links.set('w1', 'mute')
  simulation.worker('w1').start({ task: TASK, attempt: brand<Attempt>(1), spec: JOB.spec, checkpoint: '', leaseEndMs: LEASE_MS, epoch: brand<Epoch>(EARLIER_EPOCH) })
}

test('the end of a lease that an owner of an earlier version wrote back is not believed', async t => {
  for (const areLeaseEndsRecorded of [undefined, false]) {
    const simulation = new JobsSimulation(2, () => LASTING)
    recordEarlierTerm(simulation, 1, areLeaseEndsRecorded)
    startOnSilentWorker(simulation)
    simulation.addNode('n1')
    await simulation.advance(START_MS + LONGEST_WAIT_MS)
    t.deepEqual(simulation.breaches, [])
    t.is(simulation.startsOf(TASK), 2)
  }
})

test('the end of a lease is believed after a term that records it, also if the next owner was killed at once', async t => {
  const simulation = new JobsSimulation(2, () => LASTING)
  recordEarlierTerm(simulation, 1, true)
  simulation.links.set('w1', 'mute')
  simulation.addNode('n1')
  for (let waitedMs = 0; waitedMs < START_MS && simulation.owner === undefined; waitedMs++) await simulation.advance(1)
  simulation.owner?.kill()
  simulation.addNode('n1', 'n1-2')
  await simulation.advance(START_MS)
  t.is(simulation.startsOf(TASK), 1)
})

test('the end of a lease that cannot be read counts as unknown, and no task waits longer than without it', async t => {
  for (const leaseOverAt of ['1', -1, 0.5, 1e300, null, {}, Number.MAX_SAFE_INTEGER]) {
    const simulation = new JobsSimulation(2, () => LASTING)
    recordEarlierTerm(simulation, leaseOverAt, true)
    startOnSilentWorker(simulation)
    simulation.addNode('n1')
    await simulation.advance(START_MS + LONGEST_WAIT_MS)
    t.deepEqual(simulation.breaches, [], String(leaseOverAt))
    t.is(simulation.startsOf(TASK), 2, String(leaseOverAt))
  }
})

test('without the clock of the store each owner waits for silent workers, and no task runs twice', async t => {
  const simulation = new JobsSimulation(2, () => LASTING)
  simulation.rows.hasClock = false
  recordEarlierTerm(simulation, 1, true)
  startOnSilentWorker(simulation)
  simulation.addNode('n1')
  await simulation.advance(START_MS + LONGEST_WAIT_MS)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.startsOf(TASK), 2)
})

/** What the record says about the end of the lease of a worker. */
const recordedLeaseEnd = (simulation: JobsSimulation, worker = 'w1'): number | undefined => {
  const workers = JSON.parse(simulation.rows.read('terms', FIRST_CELL, 'workers-0')?.value ?? '[]') as { id: string, leaseOverAt?: number }[]
  return workers.find(({ id }) => id === worker)?.leaseOverAt
}

/** A process and its only worker, which falls silent before it can take a first job; a second job waits. */
const startWithSilentWorker = async (): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(1, () => LASTING)
  const node = simulation.addNode('n1')
  await simulation.advance(START_MS)
  simulation.links.set('w1', 'mute')
  await simulation.settle(node.jobs.submit(JOB, 2_000))
  await simulation.advance(800)
  await simulation.settle(node.jobs.submit({ ...JOB, id: OTHER_JOB }, 2_000))
  return simulation
}

test('a worker that was silent gets no start before the record no longer names the end of its lease', async t => {
  const simulation = await startWithSilentWorker()
  t.is(recordedLeaseEnd(simulation), undefined)
  await simulation.advance(3_000)
  t.is(typeof recordedLeaseEnd(simulation), 'number')
  simulation.rows.faultModes.set('n1', 'silent')
  simulation.links.delete('w1')
  await simulation.advance(1_550)
  t.deepEqual(simulation.events, [])
  simulation.rows.faultModes.clear()
  await simulation.advance(6_000)
  t.is(simulation.startsOf(`${OTHER_JOB}.0.0.0`), 1)
  t.is(recordedLeaseEnd(simulation), undefined)
  t.deepEqual(simulation.breaches, [])
})

test('a worker gets no start while the record names the end of its lease, also if the commits lose their responses', async t => {
  for (const lostAfterMs of [0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1_000, 1_100]) {
    const simulation = await startWithSilentWorker()
    await simulation.advance(lostAfterMs)
    simulation.rows.faultModes.set('n1', 'lost')
    simulation.links.delete('w1')
    for (let waitedMs = 0; waitedMs < 6_000; waitedMs++) {
      const earlier = simulation.events.length
      if (waitedMs === 3_000) simulation.rows.faultModes.clear()
      await simulation.advance(1)
      if (simulation.events.length > earlier) t.is(recordedLeaseEnd(simulation), undefined, `lost after ${lostAfterMs} ms`)
    }
    t.true(simulation.startsOf(`${OTHER_JOB}.0.0.0`) >= 1)
    t.deepEqual(simulation.breaches, [])
  }
})

test('the lease of a worker that was silent is not extended before the record no longer names its end', async t => {
  const simulation = new JobsSimulation(1, task => task.startsWith(OTHER_JOB) ? { runMs: 2_000, ending: 'done' } : LASTING)
  const node = simulation.addNode('n1')
  await simulation.advance(START_MS)
  await simulation.settle(node.jobs.submit(JOB, 2_000))
  await simulation.advance(START_MS)
  // Its start extends the lease, and its end is listed when the worker is back, so that reports come at once.
  await simulation.settle(node.jobs.submit({ ...JOB, id: OTHER_JOB, steps: [stepOf()] }, 2_000))
  await simulation.advance(30)
  t.is(simulation.startsOf(`${OTHER_JOB}.0.0.0`), 1)
  simulation.links.set('w1', 'mute')
  const silentAt = simulation.clock.now()
  while (recordedLeaseEnd(simulation) === undefined && simulation.clock.now() < silentAt + LEASE_MS) await simulation.advance(10)
  simulation.rows.faultModes.set('n1', 'silent')
  simulation.links.delete('w1')
  await simulation.advance(2 * LEASE_MS)
  const ended = simulation.events.find(({ kind, task }) => kind === 'ended' && task === TASK)
  t.is(ended?.how, 'lapsed')
  t.true((ended?.at ?? Infinity) <= silentAt + LEASE_MS)
})

test('a worker that is silent for the second time is waited for until its second lease is over', async t => {
  const simulation = new JobsSimulation(2, task => task.startsWith(OTHER_JOB) ? { runMs: 700, ending: 'done' } : LASTING)
  simulation.listed.delete('w2')
  for (const name of ['n1', 'n2']) simulation.addNode(name)
  await simulation.advance(START_MS)
  simulation.links.set('w1', 'mute')
  await simulation.settle(simulation.nodes.get('n1')!.jobs.submit(JOB, 2_000))
  await simulation.advance(3_500)
  t.is(typeof recordedLeaseEnd(simulation), 'number')
  simulation.links.delete('w1')
  simulation.listed.add('w2')
  simulation.worker('w2').isDraining = true
  await simulation.advance(5_000)
  t.deepEqual(simulation.worker('w1').running, [TASK])
  // Its start extends the lease, and its end makes the worker report.
  await simulation.settle(simulation.nodes.get('n1')!.jobs.submit({ ...JOB, id: OTHER_JOB, steps: [stepOf()] }, 2_000))
  await simulation.advance(750)
  simulation.worker('w2').isDraining = false
  simulation.links.set('w1', 'mute')
  await simulation.advance(2_300)
  void simulation.owner?.election.stop()
  await simulation.advance(8_000)
  t.deepEqual(simulation.breaches, [])
  t.deepEqual(simulation.worker('w2').running, [TASK])
})

test('no end of a lease is recorded for a worker that was reborn in this term', async t => {
  const simulation = await startWithSilentWorker()
  simulation.worker('w1').crash()
  simulation.worker('w1').restart()
  for (let waitedMs = 0; waitedMs < 8_000; waitedMs += 100) {
    await simulation.advance(100)
    if (waitedMs > 500) t.is(recordedLeaseEnd(simulation), undefined)
  }
})

/** Time passes for all; the clock of a process stops while it is suspended. */
const SPAN = fc.record({ ms: fc.integer({ min: 0, max: 9_000 }), isSuspended: fc.boolean() })

test('a lease is over by the time of the store that is computed for it, however the process is suspended between', t => {
  fc.assert(fc.property(fc.array(SPAN, { minLength: 2, maxLength: 8 }), fc.nat(7), fc.nat(7), fc.nat(7), fc.integer({ min: 0, max: 6_000 }), (spans, one, other, next, leaseMs) => {
    const world: number[] = [0]
    const own: number[] = [0]
    for (const { ms, isSuspended } of spans) {
      world.push((world.at(-1) ?? 0) + ms)
      own.push((own.at(-1) ?? 0) + (isSuspended ? 0 : ms))
    }
    const [requested, read, knownSince] = [Math.min(one, other), Math.max(one, other), next].map(position => Math.min(position, spans.length)) as [number, number, number]
    const clock = new StoreClock()
    clock.record(brand<StoreTime>(world[read] ?? 0), brand<Instant>(own[requested] ?? 0))
    const over = clock.toStoreTime(brand<Instant>((own[knownSince] ?? 0) + leaseMs), brand<Instant>(own[knownSince] ?? 0))
    if (over !== undefined) t.true(over >= (world[knownSince] ?? 0) + leaseMs)
  }), { numRuns: 2_000, seed: 3 })
  t.pass()
})
