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

const rowsOfTable = (simulation: JobsSimulation, table: string): number => {
  const parts = Array.from({ length: 16 }, (_, index) => `jobs-${index}`)
  return [...parts, 'cell-0'].reduce((sum, part) => sum + simulation.rows.list({ table, part, from: '', to: '' }).rows.length, 0)
}

// Guards against takeovers that take ever longer, and memory that fills, because ended jobs stay where open ones are.
test('what a new owner reads follows from the open jobs, not from those that have ended within the retention time', async t => {
  const simulation = new JobsSimulation(4, task => ({ runMs: task.startsWith('f') ? 1e9 : 200, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  const open = jobOf('f00000000000000f', [stepOf()])
  await simulation.settle(node.jobs.submit(open, 2_000))
  for (let index = 0; index < 200; index++) {
    await simulation.settle(node.jobs.submit(jobOf(index.toString(16).padStart(16, '0'), [stepOf({ processors: 100 })]), 2_000))
    await simulation.advance(100)
  }
  await simulation.advance(30_000)
  t.is(rowsOfTable(simulation, 'jobs'), 1)
  t.is(rowsOfTable(simulation, 'progress'), 1)
  t.is(rowsOfTable(simulation, 'ended-jobs'), 200)
  t.deepEqual(simulation.breaches, [])
})

test('an ended job whose rows have left the jobs table is still known: a submission or cancellation under its id changes nothing', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 200, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  const job = jobOf(ID, [stepOf()])
  await simulation.settle(node.jobs.submit(job, 2_000))
  await simulation.advance(30_000)
  t.is(simulation.rows.read('jobs', 'jobs-1', ID), undefined)
  t.true((await simulation.settle(node.jobs.submit(job, 2_000))).ok)
  t.true(await simulation.settle(node.jobs.mayBeStored(ID)))
  const cancelled = await simulation.settle(node.jobs.cancel(ID, 2_000))
  t.true(cancelled.ok && cancelled.val)
  // The next owner knows it as well.
  node.kill()
  const next = simulation.addNode('n2')
  await simulation.advance(10_000)
  const phase = await simulation.settle(next.jobs.phaseOf(ID))
  t.is(phase.ok && phase.val, 'completed')
  t.is(simulation.startsOf(`${ID}.0.0.0`), 1)
  t.is(rowsOfTable(simulation, 'jobs'), 0)
  await simulation.advance(140_000)
  const expired = await simulation.settle(next.jobs.phaseOf(ID))
  t.is(expired.ok && expired.val, undefined)
  t.is(rowsOfTable(simulation, 'ended-jobs'), 0)
})

for (const fault of ['lost', 'late'] as const) {
  test(`jobs end once, and their rows are deleted, although the store's answers are ${fault} while they are moved`, async t => {
    const simulation = new JobsSimulation(2, () => ({ runMs: 200, ending: 'done' }))
    const node = simulation.addNode('n1')
    await simulation.advance(500)
    const ids = Array.from({ length: 40 }, (_, index) => index.toString(16).padStart(16, '0'))
    for (const id of ids) await simulation.settle(node.jobs.submit(jobOf(id, [stepOf({ processors: 100 })]), 2_000))
    await simulation.advance(12_000)
    for (let round = 0; round < 6; round++) {
      simulation.rows.faultModes.set('all', fault)
      await simulation.advance(1_000)
      simulation.rows.faultModes.delete('all')
      await simulation.advance(4_000)
    }
    await simulation.advance(40_000)
    t.is(rowsOfTable(simulation, 'jobs'), 0)
    for (const id of ids) t.is(simulation.startsOf(`${id}.0.0.0`), 1)
    await simulation.advance(140_000)
    t.is(rowsOfTable(simulation, 'ended-jobs') + rowsOfTable(simulation, 'progress'), 0)
  })
}
