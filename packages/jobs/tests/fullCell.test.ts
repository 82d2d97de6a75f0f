import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { cellAt, encodeJob, jobPart } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const ID = '00000000000000a1'

test('a long-running task whose VM vanished comes back in another cell if its own is full', async t => {
  const simulation = new JobsSimulation(12, () => ({ runMs: 1_000_000, ending: 'done' }))
  simulation.workersPerCell = 4
  for (const name of ['n1', 'n2', 'n3', 'n4']) simulation.addNode(name)
  await simulation.advance(4_000)
  const job = jobOf(ID, [stepOf({ isLasting: true, taskCount: 4, processors: 8_000 })], { acceptedAt: simulation.clock.wallTime() })
  simulation.rows.put('jobs', jobPart(job.id), ID, encodeJob({ job, cell: cellAt(0) }))
  await simulation.advance(1_000)
  const used = [...simulation.workers.values()].filter(({ running }) => running.length > 0)
  t.is(used.length, 4)
  used[0]?.crash()
  simulation.listed.delete(used[0]?.id as string)
  await simulation.advance(12_000)
  t.is([...simulation.workers.values()].filter(({ running }) => running.length > 0).length, 4)
  t.deepEqual(simulation.breaches, [])
})
