import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

/** Users allow a long-running task 6 s without a run, and 3 s more, in milliseconds. */
const MAX_AWAY_MS = 9_000
/** Moments from the start until after the first report that names the run, in milliseconds. */
const LOST_AFTER_MS: readonly number[] = [0, 1, 2, 3, 10, 200, 600, 700, 1_400, 1_500, 1_502, 1_504, 1_600, 3_000]
/** Times from the loss until another task is ordered there, in milliseconds; the loss is noticed after 2.3 s at the latest. */
const ORDERED_AFTER_MS: readonly number[] = [0, 300, 700, 1_000, 1_300, 1_500, 1_700, 1_900, 2_100, 2_300]

type PowerLoss = Readonly<{ isServing: boolean, isListed: boolean, lostAfterMs: number, orderedAfterMs?: number }>

/** Time that a long-running task is away whose VM loses power at a moment after a restart. */
const awayMsOf = async ({ isServing, isListed, lostAfterMs, orderedAfterMs }: PowerLoss): Promise<number> => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 1e9, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000a1', [stepOf({ isLasting: true, latencyTargetMs: isServing ? 100 : 0 })]), 2_000))
  await simulation.advance(5_000)
  for (const worker of simulation.workers.values()) worker.failRuns()
  const runningWorker = (): string | undefined => [...simulation.workers.values()].find(({ running }) => running.length > 0)?.id
  for (let waitedMs = 0; waitedMs < 2_000 && runningWorker() === undefined; waitedMs++) await simulation.advance(1)
  const lost = runningWorker() ?? ''
  await simulation.advance(lostAfterMs)
  simulation.worker(lost).crash()
  if (!isListed) simulation.listed.delete(lost)
  const lostAt = simulation.clock.now()
  if (orderedAfterMs !== undefined) {
    simulation.clock.after(orderedAfterMs, () => { void node.jobs.submit(jobOf('00000000000000a2', [stepOf({ taskCount: 2, processors: 6_000 })]), 2_000) })
  }
  await simulation.advance(20_000)
  if (simulation.breaches.length > 0) throw new Error(simulation.breaches.join('; '))
  return (simulation.events.find(({ kind, task, at }) => kind === 'started' && task === '00000000000000a1.0.0.0' && at > lostAt)?.at ?? Infinity) - lostAt
}

test('a long-running task runs elsewhere in time, whenever after the order to start its VM loses power', async t => {
  const all: number[] = []
  for (const isServing of [false, true]) {
    for (const isListed of [false, true]) {
      for (const lostAfterMs of LOST_AFTER_MS) all.push(await awayMsOf({ isServing, isListed, lostAfterMs }))
    }
  }
  t.log(`away for ${Math.round(Math.min(...all))} to ${Math.round(Math.max(...all))} ms`)
  t.true(Math.max(...all) <= MAX_AWAY_MS)
})

test('a long-running task whose VM loses power runs elsewhere in time, although other tasks are sent there until that is noticed', async t => {
  const all: number[] = []
  for (const isServing of [false, true]) {
    for (const lostAfterMs of [2, 700, 1_502]) {
      for (const orderedAfterMs of ORDERED_AFTER_MS) all.push(await awayMsOf({ isServing, isListed: true, lostAfterMs, orderedAfterMs }))
    }
  }
  t.log(`away for ${Math.round(Math.min(...all))} to ${Math.round(Math.max(...all))} ms`)
  t.true(Math.max(...all) <= MAX_AWAY_MS)
})
