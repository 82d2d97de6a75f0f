import test from 'ava'
import type { WorkerEntry } from '@auburnpin/core'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000b1'
const RUN_MS = 1_000
const NEAR_DATA = stepOf({ taskCount: 2, processors: 8_000, estimateMs: RUN_MS, dataRack: 'r1' })
/** Workers of the rack r1; the others are in r2. */
const NEAR = ['w1', 'w2']
/** Longer than the longest wait that pays, a takeover and a run; the worker's end must be acknowledged too. */
const ALL_ENDED_MS = 15_000

/** A job fills the rack of its data, and another one needs the same rack while another rack is idle. */
const startWait = async (remoteFactor?: number): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(4, () => ({ runMs: RUN_MS, ending: 'done' }))
  simulation.remoteFactor = remoteFactor
  simulation.mutateEntry = (entry: WorkerEntry) => {
    const rack = NEAR.includes(entry.id) ? 'r1' : 'r2'
    return { ...entry, rack, labels: ['kind', rack] }
  }
  const node = simulation.addNode('n1')
  simulation.addNode('n2')
  await simulation.advance(1_500)
  for (const id of [FIRST, SECOND]) {
    await simulation.settle(node.jobs.submit(jobOf(id, [NEAR_DATA], { acceptedAt: simulation.clock.wallTime() }), 2_000))
    await simulation.advance(200)
  }
  return simulation
}

const workersOf = (simulation: JobsSimulation, job: string): string[] =>
  simulation.events.filter(({ kind, task }) => kind === 'started' && task.startsWith(job)).map(({ worker }) => worker as string).sort()

const countDone = (simulation: JobsSimulation): number => simulation.events.filter(({ kind, how }) => kind === 'ended' && how === 'done').length

test('without the setting tasks start at once, away from their data', async t => {
  const simulation = await startWait()
  t.deepEqual(workersOf(simulation, SECOND), ['w3', 'w4'])
})

test('tasks wait for the rack of their data while that is faster than to run elsewhere', async t => {
  const simulation = await startWait(3)
  t.deepEqual(workersOf(simulation, SECOND), [])
  await simulation.advance(RUN_MS)
  t.deepEqual(workersOf(simulation, SECOND), NEAR)
  await simulation.advance(RUN_MS + 500)
  t.is(countDone(simulation), 4)
})

test('the owner is killed while tasks wait: the next owner starts each of them once', async t => {
  const simulation = await startWait(3)
  simulation.owner?.kill()
  await simulation.advance(ALL_ENDED_MS)
  t.is(countDone(simulation), 4)
  t.is(workersOf(simulation, SECOND).length, 2)
  t.deepEqual(simulation.breaches, [])
})

test('the store is unavailable while tasks wait: they start in their rack meanwhile', async t => {
  const simulation = await startWait(3)
  simulation.rows.faultModes.set('all', 'silent')
  await simulation.advance(RUN_MS)
  t.deepEqual(workersOf(simulation, SECOND), NEAR)
  simulation.rows.faultModes.clear()
  await simulation.advance(ALL_ENDED_MS)
  t.is(countDone(simulation), 4)
  t.deepEqual(simulation.breaches, [])
})

test('the links to a rack lose everything while tasks wait for it: they start elsewhere before its leases are over', async t => {
  const simulation = await startWait(3)
  for (const id of NEAR) simulation.links.set(id, 'mute')
  await simulation.advance(3_500)
  t.deepEqual(workersOf(simulation, SECOND), ['w3', 'w4'])
  await simulation.advance(ALL_ENDED_MS)
  t.deepEqual(simulation.breaches, [])
})

test('the workers of a rack are withdrawn from the list while tasks wait for it: they start elsewhere at once', async t => {
  const simulation = await startWait(3)
  for (const id of NEAR) simulation.listed.delete(id)
  await simulation.advance(300)
  t.deepEqual(workersOf(simulation, SECOND), ['w3', 'w4'])
  await simulation.advance(ALL_ENDED_MS)
  t.is(countDone(simulation), 4)
  t.deepEqual(simulation.breaches, [])
})
