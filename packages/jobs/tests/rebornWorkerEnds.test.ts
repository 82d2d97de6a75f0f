import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN_MS = 300

for (const downMs of [0, 300]) {
  test(`an owner that has not noticed yet that a worker is reborn does not make it forget the end of a run, ${downMs} ms after its crash`, async t => {
    for (let phaseMs = 0; phaseMs < 100; phaseMs += 5) {
      const simulation = new JobsSimulation(1, () => ({ runMs: RUN_MS, ending: 'done' }))
      const node = simulation.addNode('n1')
      const submit = async (id: string): Promise<void> => {
        await simulation.settle(node.jobs.submit(jobOf(id, [stepOf({ processors: 500 })], { acceptedAt: simulation.clock.wallTime() }), 2_000))
      }
      await simulation.advance(500)
      // The owner acknowledges these ends, so that the number of the last one is above those of the next incarnation.
      for (let index = 0; index < 5; index++) await submit(`b00000000000000${index}`)
      await simulation.advance(2_000 + phaseMs)
      simulation.worker('w1').crash()
      if (downMs > 0) await submit('c000000000000000')
      await simulation.advance(downMs)
      simulation.worker('w1').restart()
      for (let index = 1; index < 6; index++) {
        await submit(`c00000000000000${index}`)
        await simulation.advance(downMs)
      }
      await simulation.advance(8_000)
      t.deepEqual(simulation.breaches, [], `phase ${phaseMs} ms`)
      t.is(simulation.events.filter(({ kind, how }) => kind === 'ended' && how === 'done').length, downMs > 0 ? 11 : 10, `phase ${phaseMs} ms`)
    }
  })
}

for (const closesConnections of [false, true]) {
  test(`the end of a short task on a VM that was reborn just after a report is not taken for one of its earlier incarnation${closesConnections ? ', whose connections are closed' : ''}`, async t => {
    for (const runMs of [50, 150, 300, 600, 1_000]) {
      const simulation = new JobsSimulation(2, task => ({ runMs: task.startsWith('b') ? 100 : runMs, ending: 'done' }))
      simulation.closesConnections = closesConnections
      simulation.listed.delete('w2')
      const node = simulation.addNode('n1')
      await simulation.advance(20_000)
      await simulation.settle(node.jobs.submit(jobOf('b000000000000000', [stepOf()]), 2_000))
      await simulation.advance(500)
      simulation.restartUnnoticed('w1')
      await simulation.settle(node.jobs.submit(jobOf('c000000000000000', [stepOf()]), 2_000))
      for (let waitedMs = 0; waitedMs < 500 && simulation.worker('w1').running.length === 0; waitedMs++) await simulation.advance(1)
      simulation.listed.add('w2')
      simulation.outdatedEntries.clear()
      await simulation.advance(10_000)
      t.deepEqual(simulation.breaches, [], `runs for ${runMs} ms`)
      t.is(simulation.startsOf('c000000000000000.0.0.0'), 1, `runs for ${runMs} ms`)
    }
  })
}
