import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('a worker that is listed again after its entry had expired is used again, however long that was', async t => {
  for (const absentMs of [200, 1_000, 2_000, 5_000, 20_000]) {
    const simulation = new JobsSimulation(1, () => ({ runMs: 300, ending: 'done' }))
    const node = simulation.addNode('n1')
    await simulation.advance(10_000)
    simulation.listed.delete('w1')
    await simulation.advance(absentMs)
    simulation.listed.add('w1')
    await simulation.advance(500)
    await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf()], { acceptedAt: simulation.clock.wallTime() }), 2_000))
    await simulation.advance(1_500)
    t.is(simulation.startsOf('00000000000000a1.0.0.0'), 1, `absent for ${absentMs} ms`)
  }
})
