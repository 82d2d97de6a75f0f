import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const WORKERS = 1_200
const SHORT = { runMs: 300, ending: 'done' } as const

/** The used workers that the store records. */
const recordedWorkers = (simulation: JobsSimulation): number =>
  simulation.rows.list({ table: 'terms', part: 'cell-0', from: 'workers', to: 'workers~' }).rows.reduce((count, { value }) => count + (JSON.parse(value) as unknown[]).length, 0)

test('an owner of more workers than fit into one row records them all, and the next owner restores them', async t => {
  const simulation = new JobsSimulation(WORKERS, () => SHORT)
  simulation.workersPerCell = WORKERS
  simulation.addNode('n1')
  await simulation.advance(2_500)
  t.is(recordedWorkers(simulation), WORKERS)
  await simulation.settle((simulation.owner ?? simulation.addNode('n1')).jobs.submit(jobOf('00000000000000a1', [stepOf({ taskCount: 50 })]), 2_000))
  simulation.owner?.kill()
  simulation.addNode('n2')
  await simulation.advance(9_000)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 50)
})

test('rows of workers that have left are deleted', async t => {
  const simulation = new JobsSimulation(WORKERS / 4, () => SHORT)
  simulation.workersPerCell = WORKERS
  simulation.listed.delete('w300')
  simulation.addNode('n1')
  await simulation.advance(1_000)
  for (const id of [...simulation.listed].slice(150)) simulation.listed.delete(id)
  // Workers that are no longer listed are recorded until their leases have certainly expired and another worker joins.
  await simulation.advance(8_000)
  simulation.listed.add('w300')
  await simulation.advance(500)
  t.is(recordedWorkers(simulation), 151)
})
