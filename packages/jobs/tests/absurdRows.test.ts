import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { jobPart } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const GOOD = jobOf('00000000000000a1', [stepOf({ taskCount: 3 })])
const BAD = jobOf('0000000000000001', [stepOf()])

test('a job row that no owner could hold concerns no other job, neither when it arrives nor after a takeover', async t => {
  const rows = [
    { ...BAD, steps: [stepOf({ taskCount: 1e12 })] }, { ...BAD, steps: [stepOf({ taskCount: -1 })] }, { ...BAD, steps: [stepOf({ taskCount: 1.5 })] },
    { ...BAD, steps: [stepOf({ after: [7] })] }, { ...BAD, steps: [stepOf({ after: [0] })] }, { ...BAD, steps: [] }
  ]
  for (const row of rows) {
    const simulation = new JobsSimulation(2, () => ({ runMs: 300, ending: 'done' }))
    const first = simulation.addNode('n1')
    await simulation.advance(400)
    simulation.rows.put('jobs', jobPart(BAD.id), BAD.id, JSON.stringify(row))
    await simulation.settle(first.jobs.submit(GOOD, 2_000))
    await simulation.advance(1_500)
    const doneTasks = (): number => simulation.events.filter(({ how, task }) => how === 'done' && !task.startsWith(BAD.id)).length
    t.is(doneTasks(), 3, JSON.stringify(row))
    first.kill()
    const second = simulation.addNode('n2')
    await simulation.advance(300)
    await simulation.settle(second.jobs.submit({ ...GOOD, id: jobOf('00000000000000f6', []).id }, 2_000))
    await simulation.advance(8_000)
    t.is(doneTasks(), 6, JSON.stringify(row))
  }
})
