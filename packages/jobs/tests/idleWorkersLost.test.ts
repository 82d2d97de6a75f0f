import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { MAX_CLOCK_AGE_MS, SILENCE_WATCH_MS } from '../src/index.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

/** Users allow a long-running task 6 s without a run, and 3 s more, in milliseconds. */
const MAX_AWAY_MS = 9_000
const TASK = '00000000000000a1.0.0.0'

test('a long-running task of a rack that loses power runs elsewhere in time, although its idle VMs are still listed', async t => {
  for (const idleInRack of [1, 2, 4, 8, 16]) {
    for (let lostAfterMs = 0; lostAfterMs < 1_600; lostAfterMs += 200) {
      const simulation = new JobsSimulation(idleInRack + 2, () => ({ runMs: 1e9, ending: 'done' }))
      const node = simulation.addNode('n1')
      for (const { id } of simulation.workers.values()) if (id !== 'w1') simulation.listed.delete(id)
      await simulation.advance(500)
      await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ isLasting: true })]), 2_000))
      for (const { id } of simulation.workers.values()) simulation.listed.add(id)
      await simulation.advance(5_000 + lostAfterMs)
      const lostAt = simulation.clock.now()
      const last = `w${idleInRack + 2}`
      for (const worker of simulation.workers.values()) if (worker.id !== last) worker.crash()
      await simulation.advance(30_000)
      const restart = simulation.events.find(({ kind, at }) => kind === 'started' && at > lostAt)
      const awayMs = (restart?.at ?? Infinity) - lostAt
      t.true(awayMs <= MAX_AWAY_MS, `${idleInRack} idle VMs in the rack, lost after ${lostAfterMs} ms: ${TASK} away for ${Math.round(awayMs)} ms`)
      t.deepEqual(simulation.breaches, [])
    }
  }
})

test('a task of a job that is cancelled while an idle VM is asked is not sent there', async t => {
  for (const cancelledAfterMs of [50, 150, 300, 500]) {
    const simulation = new JobsSimulation(1, () => ({ runMs: 1e9, ending: 'done' }))
    const node = simulation.addNode('n1')
    await simulation.advance(20_000)
    node.processor.messageMs = 300
    await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ isLasting: true })]), 2_000))
    await simulation.advance(cancelledAfterMs)
    t.is(simulation.startsOf(TASK), 0)
    await simulation.settle(node.jobs.cancel(brand<JobId>('00000000000000a1'), 2_000))
    await simulation.advance(10_000)
    t.is(simulation.startsOf(TASK), 0, `cancelled after ${cancelledAfterMs} ms`)
  }
})

test('idle VMs are asked no more often once a VM that is still listed has been silent for some time', async t => {
  const simulation = new JobsSimulation(50, () => ({ runMs: 100, ending: 'done' }))
  simulation.addNode('n1')
  await simulation.advance(70_000)
  simulation.worker('w1').crash()
  // By then the owner has asked the VM, and its lease is over.
  await simulation.advance(MAX_CLOCK_AGE_MS + SILENCE_WATCH_MS + 5_000)
  simulation.reportCounts.clear()
  await simulation.advance(MAX_CLOCK_AGE_MS)
  simulation.reportCounts.delete('w1')
  t.true(simulation.reportCounts.size > 0)
  t.true(Math.max(...simulation.reportCounts.values()) <= 2, `${Math.max(...simulation.reportCounts.values())} reports of one idle VM`)
})
