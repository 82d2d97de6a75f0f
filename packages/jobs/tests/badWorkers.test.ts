import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

test('a task that failed on a VM is retried on other VMs, so that one faulty VM fails no job', async t => {
  // The faulty worker has the most free capacity, so that it would be chosen again.
  const world = new JobsWorld(3, () => ({ runMs: 200, ending: 'done' }))
  world.worker('w2').failAll()
  const node = world.addNode('n1')
  await world.advance(500)
  for (let index = 0; index < 6; index++) {
    await world.settle(node.intake.submit(jobOf(`00000000000000a${index}`, [stepOf({ taskCount: 4 })]), 2_000))
    await world.advance(1_500)
  }
  await world.advance(3_000)
  for (let index = 0; index < 6; index++) {
    const phase = await world.settle(node.intake.phaseOf(jobOf(`00000000000000a${index}`, []).id))
    t.is(phase.ok && phase.val, 'completed')
  }
})

test('a task that makes no progress on a VM is moved to another VM', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 400, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.worker('w1').stallAll()
  await world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf({ taskCount: 4 })]), 2_000))
  await world.advance(6_000)
  const phase = await world.settle(node.intake.phaseOf(jobOf('00000000000000a1', []).id))
  t.is(phase.ok && phase.val, 'completed')
  t.deepEqual(world.breaches, [])
})

test('a long task that makes progress is not moved', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 9_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf()]), 2_000))
  await world.advance(12_000)
  t.is(world.startsOf('00000000000000a1.0.0.0'), 1)
})
