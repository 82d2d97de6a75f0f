import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const ID = '00000000000000a1'

test('a cancellation that could not be stored during an outage of the store takes effect after the outage', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf({ isLasting: true })]), 2_000))
  await simulation.advance(500)
  t.is(simulation.worker('w1').running.length, 1)
  simulation.rows.faultModes.set('all', 'silent')
  const cancelled = await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.err)
  simulation.rows.faultModes.clear()
  await simulation.advance(4_000)
  t.is(simulation.worker('w1').running.length, 0)
})

test('a job whose submission is stored only after its cancellation never runs', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.rows.faultModes.set('n1', 'late')
  t.true((await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf()]), 500))).err)
  simulation.rows.faultModes.clear()
  const cancelled = await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.ok && !cancelled.val)
  await simulation.advance(6_000)
  t.is(simulation.startsOf(`${ID}.0.0.0`), 0)
})

test('the next step of a cancelled job does not start when the last task of the previous step finishes after the cancellation', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf(), stepOf({ after: [0] })]), 2_000))
  await simulation.advance(300)
  // No order to stop reaches the worker before the task has ended.
  simulation.links.set('w1', 'mute')
  await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  await simulation.advance(1_000)
  simulation.links.clear()
  await simulation.advance(3_000)
  t.is(simulation.startsOf(`${ID}.0.0.0`), 1)
  t.is(simulation.startsOf(`${ID}.0.1.0`), 0)
})
