import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const ID = brand<JobId>('00000000000000a1')

test('the phase of a finished job can be read during the retention time; afterwards all its rows are deleted', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 200, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf()]), 2_000))
  await simulation.advance(121_000)
  const retained = await simulation.settle(node.jobs.phaseOf(ID))
  t.is(retained.ok && retained.val, 'completed')
  await simulation.advance(40_000)
  const expired = await simulation.settle(node.jobs.phaseOf(ID))
  t.is(expired.ok && expired.val, undefined)
  t.is(simulation.rows.list({ table: 'progress', part: 'cell-0', from: '', to: '' }).rows.length, 0)
  t.is(simulation.rows.read('jobs', 'jobs-1', ID), undefined)
})
