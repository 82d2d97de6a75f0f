import test from 'ava'
import { JobsSimulation } from './support/JobsSimulation.ts'
import { readTerm } from '../src/rows.ts'

test('a process whose claim is stored although the answer is lost claims the cell again at once', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const first = simulation.addNode('n1')
  await simulation.advance(400)
  const second = simulation.addNode('n2')
  await simulation.advance(400)
  first.kill()
  simulation.rows.faultModes.set('n2', 'lost')
  const holder = (): string | undefined => readTerm(simulation.rows.read('terms', 'cell-0', 'term')?.value ?? '')?.holder
  for (let waitedMs = 0; waitedMs < 5_000 && holder() !== 'n2'; waitedMs += 10) await simulation.advance(10)
  t.is(holder(), 'n2')
  simulation.rows.faultModes.clear()
  // The answer is waited for during 0.8 s, and the term is read twice a second.
  await simulation.advance(1_500)
  t.true(second.election.isOwner)
})
