import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

const ID = brand<JobId>('00000000000000a1')

test('an ended job is told for as long as it was promised, and then leaves nothing behind', async t => {
  const world = new JobsWorld(1, () => ({ runMs: 200, ending: 'done' }))
  const node = world.addNode('n1')
  await world.advance(500)
  await world.settle(node.intake.submit(jobOf(ID, [stepOf()]), 2_000))
  await world.advance(121_000)
  const told = await world.settle(node.intake.phaseOf(ID))
  t.is(told.ok && told.val, 'completed')
  await world.advance(40_000)
  const gone = await world.settle(node.intake.phaseOf(ID))
  t.is(gone.ok && gone.val, undefined)
  t.is(world.rows.list({ table: 'progress', part: 'cell-0', from: '', to: '' }).rows.length, 0)
  t.is(world.rows.read('jobs', 'jobs-1', ID), undefined)
})
