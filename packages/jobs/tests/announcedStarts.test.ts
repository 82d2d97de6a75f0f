/** Starts that were stored before their order, by owners that end before they send it. */
import test, { type ExecutionContext } from 'ava'
import { parseTaskName, type Job } from '@auburnpin/core'
import { stepOf } from '@auburnpin/fakes'
import { FIRST_CELL } from '../src/index.ts'
import { PROGRESS_TABLE, readProgress } from '../src/rows.ts'
import { CrashingCluster } from './support/CrashingCluster.ts'

const TASK_KEY = '0.0.0'
const LASTING_MS = 1e9

/** What happens as soon as a start is stored: the owner is killed or stopped; with `cut`, the worker is cut off as well. */
type Trouble = 'kill' | 'stop' | 'kill and cut'

const storedAttempts = ({ simulation }: CrashingCluster, { id }: Job): readonly number[] => {
  const row = simulation.rows.read(PROGRESS_TABLE, FIRST_CELL, id)
  return row === undefined ? [] : readProgress(row.value)?.crashed?.[TASK_KEY] ?? []
}

const play = async (t: ExecutionContext, trouble: Trouble, isLasting: boolean, times: number): Promise<void> => {
  const story = `${trouble}, ${isLasting ? 'long-running' : 'ordinary'}`
  const cluster = new CrashingCluster(8)
  const { simulation } = cluster
  await cluster.start(4)
  const job = cluster.submit([stepOf({ isLasting })], () => ({ runMs: isLasting ? LASTING_MS : 8_000, ending: 'done' }))
  const first = await cluster.advanceToStart(job)
  if (first === undefined) return t.fail(story)
  await simulation.advance(4_000)
  simulation.worker(first.worker).crash()
  simulation.listed.delete(first.worker)
  cluster.killOwner(3_500)
  const announced = new Set<number>()
  for (let waitedMs = 0; waitedMs < 60_000 && announced.size < times; waitedMs++) {
    await simulation.advance(1)
    const stored = storedAttempts(cluster, job).filter(attempt => !announced.has(attempt))
    if (stored.length === 0 || simulation.owner === undefined) continue
    for (const attempt of stored) announced.add(attempt)
    if (trouble === 'kill and cut') {
      const row = simulation.rows.read(PROGRESS_TABLE, FIRST_CELL, job.id)
      const worker = readProgress(row?.value ?? '')?.crashedOn?.[TASK_KEY]?.at(-1)?.worker.id
      if (worker !== undefined) {
        simulation.links.set(worker, 'mute')
        simulation.clock.after(5_500, () => simulation.links.delete(worker))
      }
    }
    if (trouble === 'stop') cluster.stopOwner(3_500)
    else cluster.killOwner(3_500)
  }
  await simulation.advance(40_000)
  t.deepEqual(await cluster.findHarmlessUndone(), [], story)
  t.deepEqual(simulation.breaches, [], story)
  t.true(simulation.events.some(({ kind, task, at }) => kind === 'started' && parseTaskName(task)?.job === job.id && at > first.at), story)
}

// Guards against starts that were stored and never ordered, which counted as lost workers over takeovers and failed the job (incident 026).
for (const trouble of ['kill', 'stop', 'kill and cut'] as const) {
  for (const isLasting of [false, true]) {
    test(`a harmless ${isLasting ? 'long-running' : 'ordinary'} task whose starts are stored and not ordered does not fail its job: ${trouble}`, async t => {
      await play(t, trouble, isLasting, 6)
    })
  }
}
