import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { readTerm } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('a job that fits no worker of its cell any more runs in another cell that has capacity for it, however little it needs', async t => {
  const simulation = new JobsSimulation(8, () => ({ runMs: 500, ending: 'done' }))
  simulation.workersPerCell = 4
  for (const { capacity } of simulation.workers.values()) capacity.change({ accelerators: 2 })
  for (let index = 1; index <= 3; index++) simulation.addNode(`n${index}`)
  await simulation.advance(4_000)
  t.is(readTerm(simulation.rows.read('terms', 'cell-1', 'term')?.value ?? '')?.workers, 4)
  // New racks go to the two cells in turn, so these are the workers of the first.
  for (const id of ['w1', 'w3', 'w5', 'w7']) simulation.worker(id).capacity.change({ accelerators: 0 })
  await simulation.advance(1_000)
  for (let index = 0; index < 16; index++) {
    const job = jobOf(`${index.toString(16)}`.padStart(16, 'a'), [stepOf({ processors: 100, accelerators: 1 })], { acceptedAt: simulation.clock.wallTime() })
    await simulation.settle(simulation.nodes.get('n1')!.jobs.submit(job, 2_000))
  }
  await simulation.advance(20_000)
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 16)
})
