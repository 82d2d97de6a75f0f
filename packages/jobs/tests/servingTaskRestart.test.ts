import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('a failed serving task is restarted although other tasks of its step still wait for free capacity', async t => {
  const simulation = new JobsSimulation(3, task => task.endsWith('.3') ? { runMs: 3_000, ending: 'failed' } : { runMs: 1_000_000, ending: 'done' })
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  // The two workers that accept new serving tasks hold four tasks of 4 cores; the third worker is kept free of them.
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ taskCount: 8, processors: 4_000, isLasting: true, latencyTargetMs: 100, image: 'watch' })]), 2_000))
  await simulation.advance(500)
  t.is([...simulation.workers.values()].reduce((sum, worker) => sum + worker.running.length, 0), 4)
  await simulation.advance(4_000)
  t.is(simulation.startsOf('00000000000000a1.0.0.3'), 2)
})
