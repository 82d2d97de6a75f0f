import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const SHORT = '00000000000000a1'
const LONG_RUNNING = '00000000000000b1'
const SHORT_MS = 2_000

/** Ten workers, each with capacity for one task; twelve short tasks, and a long-running job that would fill all workers. */
const play = async (maxReservedShare?: number): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(10, task => ({ runMs: task.startsWith(SHORT) ? SHORT_MS : 1e9, ending: 'done' }))
  simulation.maxReservedShare = maxReservedShare
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  const policy = { ...jobOf(SHORT, []).policy, objectiveMs: 10_000 }
  await simulation.settle(node.jobs.submit(jobOf(SHORT, [stepOf({ taskCount: 12, processors: 8_000, estimateMs: SHORT_MS })], { policy, acceptedAt: simulation.clock.now() }), 2_000))
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(LONG_RUNNING, [stepOf({ taskCount: 10, processors: 8_000, isLasting: true, latencyTargetMs: 100 })]), 2_000))
  await simulation.advance(10_000)
  return simulation
}

const startsOf = (simulation: JobsSimulation, job: string): number => simulation.events.filter(({ kind, task }) => kind === 'started' && task.startsWith(job)).length

test('an owner keeps long-running tasks from half of the workers only with the setting, and the next owner from a tenth until short tasks wait again', async t => {
  t.is(startsOf(await play(), LONG_RUNNING), 9)
  const simulation = await play(0.5)
  t.is(startsOf(simulation, SHORT), 12)
  t.is(startsOf(simulation, LONG_RUNNING), 5)
  simulation.owner?.kill()
  simulation.addNode('n2')
  await simulation.advance(15_000)
  t.is(startsOf(simulation, LONG_RUNNING), 9)
  t.deepEqual(simulation.breaches, [])
})
