import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const ID = '00000000000000a1'

test('a long-running task on a lost VM is restarted on another VM once the lease has expired', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 1_000_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf({ isLasting: true })]), 2_000))
  await simulation.advance(500)
  const [first] = [...simulation.workers.values()].filter(worker => worker.running.length > 0)
  t.truthy(first)
  first?.crash()
  simulation.listed.delete(first?.id as string)
  await simulation.advance(6_000)
  t.is([...simulation.workers.values()].filter(worker => worker.running.length > 0).length, 1)
  t.deepEqual(simulation.breaches, [])
})
