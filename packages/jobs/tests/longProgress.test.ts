// More progress of one job, or of all jobs together, than a row or a call of the store holds: the owner must go on scheduling.
import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import type { Job } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const SCHEDULE = '00000000000000a1'
const OTHER = '00000000000000b2'
const SHORT_RUN: FakeRunBehaviour = { runMs: 20, ending: 'done' }

const smallTasks = (taskCount: number): ReturnType<typeof stepOf> => stepOf({ taskCount, processors: 10, memoryMb: 1 })

const start = async (workers: number, jobs: readonly Job[], behaviourOf: (task: string) => FakeRunBehaviour): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(workers, behaviourOf)
  const first = simulation.addNode('n1')
  await simulation.advance(400)
  simulation.addNode('n2')
  await simulation.advance(400)
  for (const job of jobs) await simulation.settle(first.jobs.submit(job, 2_000))
  return simulation
}

const phaseOf = async (simulation: JobsSimulation, id: string): Promise<string | undefined> => {
  const [node] = simulation.nodes.values()
  const phase = node === undefined ? undefined : await simulation.settle(node.jobs.phaseOf(brand<JobId>(id)))
  return phase?.unwrapOr(undefined)
}

const ends = (simulation: JobsSimulation, job: string): number => simulation.events.filter(({ kind, how, task }) => kind === 'ended' && how === 'done' && task.startsWith(job)).length

test('a job of thousands of occurrences is done, also across a takeover, and keeps no other job waiting', async t => {
  const simulation = await start(2, [jobOf(SCHEDULE, [smallTasks(1), { ...smallTasks(1), after: [0] }], { occurrences: 5_000, firstRunAt: 0, intervalMs: 1 })], () => SHORT_RUN)
  for (let waitedMs = 0; ends(simulation, SCHEDULE) < 6_000 && waitedMs < 60_000; waitedMs += 100) await simulation.advance(100)
  t.true(ends(simulation, SCHEDULE) >= 6_000)
  simulation.owner?.kill()
  const [node] = simulation.nodes.values()
  await simulation.settle(node?.jobs.submit(jobOf(OTHER, [stepOf()]), 2_000) ?? Promise.resolve(undefined))
  await simulation.advance(15_000)
  t.is(await phaseOf(simulation, OTHER), 'completed')
  for (let waitedMs = 0; await phaseOf(simulation, SCHEDULE) !== 'completed' && waitedMs < 60_000; waitedMs += 1_000) await simulation.advance(1_000)
  t.deepEqual(simulation.breaches, [])
  t.is(await phaseOf(simulation, SCHEDULE), 'completed')
  t.is(ends(simulation, SCHEDULE), 10_000)
})

for (const [checkpointBytes, maxRowBytes] of [[16, 65_536], [16, 16_384], [2_000, 65_536]] as const) {
  test(`the owner keeps its term while 3,000 tasks have checkpoints of ${checkpointBytes} bytes and a row ${maxRowBytes}`, async t => {
    const checkpoint = 'c'.repeat(checkpointBytes)
    // Some tasks end, so that the progress is written again and again.
    const simulation = await start(4, [], task => ({ runMs: Number(task.split('.')[3]) % 10 === 0 ? 2_000 + Number(task.split('.')[3]) : 9_000, ending: 'done', checkpoint }))
    simulation.rows.maxRowBytes = maxRowBytes
    const { owner } = simulation
    await simulation.settle(owner?.jobs.submit(jobOf(SCHEDULE, [{ ...smallTasks(3_000), isCheckpointing: true }]), 2_000) ?? Promise.resolve(undefined))
    await simulation.advance(8_000)
    await simulation.settle(owner?.jobs.submit(jobOf(OTHER, [stepOf()]), 2_000) ?? Promise.resolve(undefined))
    await simulation.advance(12_000)
    t.deepEqual(simulation.breaches, [])
    t.is(simulation.owner, owner)
    t.is(await phaseOf(simulation, OTHER), 'completed')
    await simulation.advance(15_000)
    t.is(await phaseOf(simulation, SCHEDULE), 'completed')
  })
}

test('after an outage of the store, the progress of many jobs is stored although one call does not hold it', async t => {
  const jobs = Array.from({ length: 60 }, (_, index) => jobOf(`00000000000001${String(index).padStart(2, '0')}`, [{ ...smallTasks(60), isCheckpointing: true }]))
  const simulation = await start(4, jobs, task => ({ runMs: Number(task.split('.')[3]) < 10 ? 1_500 : 8_000, ending: 'done', checkpoint: 'c'.repeat(400) }))
  await simulation.advance(700)
  simulation.rows.faultModes.set('all', 'refusing')
  await simulation.advance(1_500)
  simulation.rows.faultModes.clear()
  await simulation.advance(16_000)
  t.deepEqual(simulation.breaches, [])
  for (const { id } of jobs) t.is(await phaseOf(simulation, id), 'completed')
})

test('once a job of many occurrences has been kept for its time, all rows of its progress are deleted', async t => {
  const simulation = await start(1, [jobOf(SCHEDULE, [smallTasks(1)], { occurrences: 350, firstRunAt: 0, intervalMs: 1 })], task => ({ runMs: 10 * Number(task.split('.')[1]), ending: 'done' }))
  await simulation.advance(10_000)
  t.is(await phaseOf(simulation, SCHEDULE), 'completed')
  const rows = (): number => simulation.rows.list({ table: 'progress', part: 'cell-0', from: '', to: '' }).rows.length
  t.true(rows() > 1)
  await simulation.advance(165_000)
  t.is(rows(), 0)
})
