// More ends of runs than one report lists: a run in neither list of a report may be done, and must not start again.
import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN_MS = 2_200
const TASKS_PER_JOB = 100
const PROCESSORS = 10

/** Starts tasks that all run at the same time on the workers. */
const startTasks = async (workers: number, tasks: number, runMsOf: (job: string) => number = () => RUN_MS): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(workers, task => ({ runMs: runMsOf(task.slice(0, task.indexOf('.'))), ending: 'done' }))
  const first = simulation.addNode('n1')
  await simulation.advance(400)
  simulation.addNode('n2')
  await simulation.advance(400)
  for (let job = 0; job < tasks / TASKS_PER_JOB; job++) {
    await simulation.settle(first.jobs.submit(jobOf(`000000000000a0${String(job).padStart(2, '0')}`, [stepOf({ taskCount: TASKS_PER_JOB, processors: PROCESSORS, memoryMb: 1 })]), 2_000))
  }
  for (let waitedMs = 0; started(simulation) < tasks && waitedMs < 1_500; waitedMs += 20) await simulation.advance(20)
  return simulation
}

const started = ({ events }: JobsSimulation): number => events.filter(({ kind }) => kind === 'started').length

const done = ({ events }: JobsSimulation): number => events.filter(({ kind, how }) => kind === 'ended' && how === 'done').length

for (const [workers, tasks] of [[1, 600], [2, 1_200], [2, 500], [1, 800]] as const) {
  test(`${tasks} tasks that end on ${workers} workers while no process owns the cell are not started again by the next owner`, async t => {
    const simulation = await startTasks(workers, tasks)
    t.is(started(simulation), tasks)
    simulation.owner?.kill()
    await simulation.advance(12_000)
    t.deepEqual(simulation.breaches, [])
    t.is(done(simulation), tasks)
  })
}

test('the next owner waits for the remaining ends also while some tasks still run', async t => {
  const simulation = await startTasks(1, 700, job => job.endsWith('06') ? 9_000 : RUN_MS)
  simulation.owner?.kill()
  await simulation.advance(20_000)
  t.deepEqual(simulation.breaches, [])
  t.is(done(simulation), 700)
})

test('tasks that end while their owner cannot reach the worker are not started again', async t => {
  for (const cutMs of [1_500, 3_000]) {
    const simulation = await startTasks(1, 700)
    await simulation.advance(500)
    simulation.links.set('w1', 'mute')
    await simulation.advance(cutMs)
    simulation.links.clear()
    await simulation.advance(12_000)
    t.deepEqual(simulation.breaches, [], `cut off for ${cutMs} ms`)
    t.is(done(simulation), 700)
  }
})

test('tasks that end while the store is away are not started again', async t => {
  for (const awayMs of [2_000, 4_000]) {
    const simulation = await startTasks(1, 700)
    await simulation.advance(500)
    for (const name of simulation.nodes.keys()) simulation.rows.faultModes.set(name, 'refusing')
    await simulation.advance(awayMs)
    simulation.rows.faultModes.clear()
    await simulation.advance(14_000)
    t.deepEqual(simulation.breaches, [], `away for ${awayMs} ms`)
    t.is(done(simulation), 700)
  }
})

test('a worker that falls silent before it has listed its remaining ends does not keep the tasks waiting for good', async t => {
  const simulation = await startTasks(2, 1_200)
  simulation.owner?.kill()
  let crashed = false
  for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 5) {
    await simulation.advance(5)
    if (crashed || simulation.owner === undefined || done(simulation) < 1_200) continue
    crashed = true
    simulation.worker('w1').crash()
    simulation.listed.delete('w1')
  }
  t.true(crashed)
  await simulation.advance(20_000)
  t.deepEqual(simulation.breaches, [])
  t.true(done(simulation) >= 1_200)
  for (const node of simulation.nodes.values()) if (node.election.isOwner) t.is((await simulation.settle(node.jobs.phaseOf(jobOf('000000000000a000', []).id))).unwrap(), 'completed')
})
