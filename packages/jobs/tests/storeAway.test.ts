import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

test('while the store does not respond a submission is refused at once, and the job is certainly not stored', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 100, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.rows.moods.set('all', 'silent')
  await world.advance(3_000)
  const before = world.clock.now()
  const refused = await world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))
  t.is(refused.err && refused.val.kind, 'unreachable')
  t.true(world.clock.now() - before <= 20)
  world.rows.moods.clear()
  await world.advance(6_000)
  t.is(world.startsOf('00000000000000a1.0.0.0'), 0)
})

test('a submission whose response is lost is stored once, and the job runs once', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 500, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  world.rows.moods.set('n1', 'lost')
  const first = world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))
  world.clock.after(900, () => { world.rows.moods.clear() })
  t.true((await first).ok)
  t.true((await world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))).ok)
  await world.advance(3_000)
  t.is(world.startsOf('00000000000000a1.0.0.0'), 1)
  t.deepEqual(world.breaches, [])
})

test('tasks keep running and the next steps start while the store is unavailable for a second', async t => {
  const world = new JobsWorld(2, () => ({ runMs: 600, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf('00000000000000a1', [stepOf(), stepOf({ after: [0] })]), 2_000))
  await world.advance(100)
  world.rows.moods.set('all', 'refusing')
  await world.advance(1_000)
  t.is(world.startsOf('00000000000000a1.0.1.0'), 1)
  world.rows.moods.clear()
  await world.advance(3_000)
  t.deepEqual(world.breaches, [])
})
