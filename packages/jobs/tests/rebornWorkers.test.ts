import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('an order that reaches a VM just after its restart, before the owner knows of it, does not run a task twice', async t => {
  for (let restartedAfterMs = 0; restartedAfterMs < 100; restartedAfterMs += 5) {
    const simulation = new JobsSimulation(2, () => ({ runMs: 3_000, ending: 'done' }))
    const node = simulation.addNode('n1')
    await simulation.advance(500 + restartedAfterMs)
    simulation.worker('w1').crash()
    simulation.worker('w1').restart()
    await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ taskCount: 2, processors: 4_000 })]), 2_000))
    await simulation.advance(8_000)
    t.deepEqual(simulation.breaches, [], `restarted after ${restartedAfterMs} ms`)
  }
})

test('a VM that takes a lease meant for its earlier incarnation is waited for until that lease is over', async t => {
  const simulation = new JobsSimulation(3, () => ({ runMs: 1_000_000, ending: 'done' }))
  simulation.listed.delete('w3')
  const node = simulation.addNode('n1')
  // By now a lease on the old incarnation's clock is longer than any on the new one's.
  await simulation.advance(20_000)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ isLasting: true, taskCount: 2, maxPerWorker: 1 })]), 2_000))
  await simulation.advance(2_000)
  simulation.worker('w1').crash()
  simulation.worker('w1').restart()
  await simulation.advance(1_800)
  t.is(simulation.worker('w1').running.length, 1)
  simulation.links.set('w1', 'mute')
  simulation.listed.add('w3')
  await simulation.advance(20_000)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.worker('w3').running.length, 1)
})
