import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

test('a task whose order to start was lost is started again, although no other run ends on its VM', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 500, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.links.set('w1', 'mute')
  await simulation.settle(node.jobs.submit(jobOf('00000000000000c1', [stepOf()]), 2_000))
  await simulation.advance(1_000)
  simulation.links.set('w1', 'well')
  await simulation.advance(8_000)
  t.is(simulation.startsOf('00000000000000c1.0.0.0'), 1)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 1)
})

test('an order to start that reaches a later incarnation of its VM does not run the task twice', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 6_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.links.set('w1', 'late')
  simulation.links.set('w2', 'refused')
  await simulation.settle(node.jobs.submit(jobOf('00000000000000c2', [stepOf()]), 2_000))
  await simulation.advance(200)
  simulation.worker('w1').crash()
  await simulation.advance(50)
  simulation.worker('w1').restart()
  simulation.links.clear()
  await simulation.advance(20_000)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 1)
})

test('a task whose order to start ended in an unexpected error is neither held for good nor run twice', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.links.set('w1', 'broken')
  for (const id of ['00000000000000c1', '00000000000000c2']) await simulation.settle(node.jobs.submit(jobOf(id, [stepOf()]), 2_000))
  await simulation.advance(300)
  simulation.links.clear()
  await simulation.advance(12_000)
  t.deepEqual(simulation.breaches, [])
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 2)
})

test('a task whose order comes late, to a later incarnation of its VM that is cut off, runs nowhere else meanwhile', async t => {
  const breaches: string[] = []
  for (const rebornAfterMs of [300, 1_000, 2_000, 2_900]) {
    for (const listedAfterMs of [0, 500, 1_500]) {
      for (const cutOffMs of [4_000, 8_000, 20_000]) {
        const simulation = new JobsSimulation(2, () => ({ runMs: 9_000, ending: 'done' }))
        simulation.listed.delete('w2')
        const node = simulation.addNode('n1')
        await simulation.advance(20_000)
        simulation.links.set('w1', 'late')
        await simulation.settle(node.jobs.submit(jobOf('00000000000000c2', [stepOf()]), 2_000))
        await simulation.advance(rebornAfterMs)
        simulation.links.set('w1', 'mute')
        simulation.restartUnnoticed('w1')
        simulation.listed.add('w2')
        simulation.clock.after(listedAfterMs, () => simulation.outdatedEntries.clear())
        simulation.clock.after(cutOffMs, () => simulation.links.clear())
        await simulation.advance(40_000)
        for (const breach of simulation.breaches) breaches.push(`reborn after ${rebornAfterMs} ms, listed ${listedAfterMs} ms later, cut off for ${cutOffMs} ms: ${breach}`)
        t.true(simulation.events.some(({ how }) => how === 'done'))
      }
    }
  }
  t.deepEqual(breaches, [])
})

/** Plays a VM that is reborn while its link is late, with a task whose order its later incarnation carries out. */
const playLateReports = async (runMs: number): Promise<readonly string[]> => {
  const breaches: string[] = []
  for (const rebornAfterMs of [300, 1_000, 2_000, 2_500]) {
    for (const lateMs of [4_500, 5_500, 7_000]) {
      const simulation = new JobsSimulation(1, task => ({ runMs: task.startsWith('00000000000000c0') ? 1e9 : task.startsWith('00000000000000c1') ? 300 : runMs, ending: 'done' }))
      const node = simulation.addNode('n1')
      await simulation.advance(500)
      await simulation.settle(node.jobs.submit(jobOf('00000000000000c0', [stepOf()]), 2_000))
      await simulation.settle(node.jobs.submit(jobOf('00000000000000c1', [stepOf({ taskCount: 6 })]), 2_000))
      await simulation.advance(3_000)
      simulation.links.set('w1', 'late')
      await simulation.settle(node.jobs.submit(jobOf('00000000000000c2', [stepOf()]), 2_000))
      await simulation.advance(rebornAfterMs)
      simulation.worker('w1').crash()
      simulation.worker('w1').restart()
      await simulation.advance(lateMs - rebornAfterMs)
      simulation.links.clear()
      await simulation.advance(20_000)
      for (const breach of simulation.breaches) breaches.push(`reborn after ${rebornAfterMs} ms, late for ${lateMs} ms: ${breach}`)
    }
  }
  return breaches
}

test('reports that a silent VM carries out late, after a rebirth, do not acknowledge the ends of its later incarnation', async t => {
  t.deepEqual(await playLateReports(1_700), [])
})

test('nor does a report that was in flight when the VM fell silent', async t => {
  t.deepEqual(await playLateReports(300), [])
})
