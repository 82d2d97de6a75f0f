import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const LASTING = { runMs: 1e9, ending: 'done' } as const
const MIN_WORKER_CLOCK_RATE = 0.98
const JOB = jobOf('00000000000000a1', [stepOf({ isLasting: true })])

test('a task that starts on a worker that was idle for long, with a slow clock, runs once after a takeover', async t => {
  for (const idleMs of [20_000, 90_000, 400_000]) {
    const simulation = new JobsSimulation(2, () => LASTING, MIN_WORKER_CLOCK_RATE)
    for (const name of ['n1', 'n2']) simulation.addNode(name)
    await simulation.advance(idleMs)
    const { owner } = simulation
    const other = [...simulation.nodes.values()].find(node => node !== owner)
    await simulation.settle(other!.jobs.submit(JOB, 2_000))
    await simulation.advance(100)
    const [worker] = [...simulation.workers.values()].filter(({ running }) => running.length > 0)
    t.truthy(worker, `started after ${idleMs} ms`)
    simulation.links.set(`${other?.name}>${worker?.id}`, 'mute')
    void owner?.election.stop()
    await simulation.advance(12_000)
    t.deepEqual(simulation.breaches, [], `idle for ${idleMs} ms`)
    t.is(simulation.startsOf(`${JOB.id}.0.0.0`), 2)
  }
})
