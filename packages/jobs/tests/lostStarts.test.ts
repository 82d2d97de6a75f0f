import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

test('a task whose order to start was lost is started again, although no other run ends on its VM', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 500, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.links.set('w1', 'mute')
  await world.settle(node.intake.submit(jobOf('00000000000000c1', [stepOf()]), 2_000))
  await world.advance(1_000)
  world.links.set('w1', 'well')
  await world.advance(8_000)
  t.is(world.startsOf('00000000000000c1.0.0.0'), 1)
  t.deepEqual(world.breaches, [])
  t.is(world.events.filter(({ how }) => how === 'done').length, 1)
})

test('an order to start that reaches a later incarnation of its VM does not run the task twice', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 6_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.links.set('w1', 'late')
  world.links.set('w2', 'refused')
  await world.settle(node.intake.submit(jobOf('00000000000000c2', [stepOf()]), 2_000))
  await world.advance(200)
  world.worker('w1').crash()
  await world.advance(50)
  world.worker('w1').revive()
  world.links.clear()
  await world.advance(20_000)
  t.deepEqual(world.breaches, [])
  t.is(world.events.filter(({ how }) => how === 'done').length, 1)
})
