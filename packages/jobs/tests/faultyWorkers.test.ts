import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('a task that failed on a VM is retried on other VMs, so that one faulty VM fails no job', async t => {
  // The faulty worker has the most free capacity, so that it would be chosen again.
  const simulation = new JobsSimulation(3, () => ({ runMs: 200, ending: 'done' }))
  simulation.worker('w2').failNewRuns()
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  for (let index = 0; index < 6; index++) {
    await simulation.settle(node.jobs.submit(jobOf(`00000000000000a${index}`, [stepOf({ taskCount: 4 })]), 2_000))
    await simulation.advance(1_500)
  }
  await simulation.advance(3_000)
  for (let index = 0; index < 6; index++) {
    const phase = await simulation.settle(node.jobs.phaseOf(jobOf(`00000000000000a${index}`, []).id))
    t.is(phase.ok && phase.val, 'completed')
  }
})

test('a task that makes no progress on a VM is moved to another VM', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 400, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.worker('w1').stallNewRuns()
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ taskCount: 4 })]), 2_000))
  await simulation.advance(6_000)
  const phase = await simulation.settle(node.jobs.phaseOf(jobOf('00000000000000a1', []).id))
  t.is(phase.ok && phase.val, 'completed')
  t.deepEqual(simulation.breaches, [])
})

test('a long task that makes progress is not moved', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 9_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf()]), 2_000))
  await simulation.advance(12_000)
  t.is(simulation.startsOf('00000000000000a1.0.0.0'), 1)
})
