import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('while the store does not respond a submission is refused at once, and the job is certainly not stored', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 100, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.rows.faultModes.set('all', 'silent')
  await simulation.advance(3_000)
  const before = simulation.clock.now()
  const refused = await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))
  t.is(refused.err && refused.val.kind, 'unreachable')
  t.true(simulation.clock.now() - before <= 20)
  simulation.rows.faultModes.clear()
  await simulation.advance(6_000)
  t.is(simulation.startsOf('00000000000000a1.0.0.0'), 0)
})

test('a submission whose response is lost is stored once, and the job runs once', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 500, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.rows.faultModes.set('n1', 'lost')
  const first = simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))
  simulation.clock.after(900, () => { simulation.rows.faultModes.clear() })
  t.true((await first).ok)
  t.true((await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf()]), 2_800))).ok)
  await simulation.advance(3_000)
  t.is(simulation.startsOf('00000000000000a1.0.0.0'), 1)
  t.deepEqual(simulation.breaches, [])
})

test('tasks keep running and the next steps start while the store is unavailable for a second', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 600, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf(), stepOf({ after: [0] })]), 2_000))
  await simulation.advance(100)
  simulation.rows.faultModes.set('all', 'refusing')
  await simulation.advance(1_000)
  t.is(simulation.startsOf('00000000000000a1.0.1.0'), 1)
  simulation.rows.faultModes.clear()
  await simulation.advance(3_000)
  t.deepEqual(simulation.breaches, [])
})
