import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

const ID = '00000000000000a1'

test('a cancellation that could not be stored during an outage of the store takes effect after the outage', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 1_000_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf(ID, [stepOf({ isLasting: true })]), 2_000))
  await world.advance(500)
  t.is(world.worker('w1').running.length, 1)
  world.rows.moods.set('all', 'silent')
  const cancelled = await world.settle(node.intake.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.err)
  world.rows.moods.clear()
  await world.advance(4_000)
  t.is(world.worker('w1').running.length, 0)
})

test('a job whose submission is stored only after its cancellation never runs', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.rows.moods.set('n1', 'late')
  t.true((await world.settle(node.intake.submit(jobOf(ID, [stepOf()]), 500))).err)
  world.rows.moods.clear()
  const cancelled = await world.settle(node.intake.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.ok && !cancelled.val)
  await world.advance(6_000)
  t.is(world.startsOf(`${ID}.0.0.0`), 0)
})

test('the next step of a cancelled job does not start when the last task of the previous step finishes after the cancellation', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf(ID, [stepOf(), stepOf({ after: [0] })]), 2_000))
  await world.advance(300)
  // No order to stop reaches the worker before the task has ended.
  world.links.set('w1', 'mute')
  await world.settle(node.intake.cancel(brand<JobId>(ID), 1_000))
  await world.advance(1_000)
  world.links.clear()
  await world.advance(3_000)
  t.is(world.startsOf(`${ID}.0.0.0`), 1)
  t.is(world.startsOf(`${ID}.0.1.0`), 0)
})
