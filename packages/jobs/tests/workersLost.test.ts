import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

const ID = '00000000000000a1'

test('a long-running task on a lost VM is restarted on another VM once the lease has expired', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 1_000_000, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf(ID, [stepOf({ isLasting: true })]), 2_000))
  await world.advance(500)
  const [first] = [...world.workers.values()].filter(worker => worker.running.length > 0)
  t.truthy(first)
  first?.crash()
  world.listed.delete(first?.id as string)
  await world.advance(6_000)
  t.is([...world.workers.values()].filter(worker => worker.running.length > 0).length, 1)
  t.deepEqual(world.breaches, [])
})
