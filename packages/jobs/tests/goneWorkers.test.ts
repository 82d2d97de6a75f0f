/** What tasks wait for after a takeover while a worker stays silent. */
import test, { type ExecutionContext } from 'ava'
import { brand, type Epoch, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { FIRST_CELL } from '../src/index.ts'
import { readTerm, TERM_KEY, TERMS_TABLE } from '../src/rows.ts'
import { StoredProgress } from '../src/StoredProgress.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const JOB = '00000000000000a1'
const LASTING_MS = 1e9
/** How long users allow a long-running task to be away, and the 3 s in which they look for a run. */
const MAX_AWAY_MS = 9_000
/** A worker that is reborn is gone again before another process owns the cell. */
const DOWN_MS = 400
const UP_MS = 400

/** What happens to a worker as the owner ends. */
type Fate = 'reborn, then gone' | 'reborn twice, then gone' | 'reborn and cut off' | 'gone'

type Story = Readonly<{ fate: Fate, workers?: number, isStopped?: boolean, hasSecondTakeover?: boolean }>

const play = async (t: ExecutionContext, { fate, workers = 1, isStopped = false, hasSecondTakeover = false }: Story): Promise<void> => {
  const simulation = new JobsSimulation(8, () => ({ runMs: LASTING_MS, ending: 'done' }))
  simulation.closesConnections = true
  for (const name of ['n1', 'n2', 'n3', 'n4']) simulation.addNode(name)
  await simulation.advance(1_000)
  await simulation.settle([...simulation.nodes.values()][0]!.jobs.submit(jobOf(JOB, [stepOf({ taskCount: 6, isLasting: true, maxPerWorker: 1 })]), 2_000))
  await simulation.advance(5_000)
  const endOwner = (): void => {
    const { owner } = simulation
    if (owner === undefined) return
    if (isStopped) void owner.election.stop()
    simulation.clock.after(isStopped ? 300 : 0, () => {
      owner.kill()
      simulation.clock.after(3_500, () => simulation.addNode(owner.name, `${owner.name}-again`))
    })
  }
  const lost = [...simulation.workers.values()].filter(({ running }) => running.length > 0).slice(0, workers)
  endOwner()
  for (const worker of lost) worker.crash()
  for (let life = 0; life < (fate === 'gone' ? 0 : fate === 'reborn twice, then gone' ? 2 : 1); life++) {
    await simulation.advance(DOWN_MS)
    for (const worker of lost) worker.restart()
    await simulation.advance(UP_MS)
    if (fate === 'reborn and cut off') for (const { id } of lost) simulation.links.set(id, 'mute')
    else for (const worker of lost) worker.crash()
  }
  const goneAt = simulation.clock.now()
  simulation.clock.after(4_500, () => { for (const { id } of lost) simulation.listed.delete(id) })
  if (hasSecondTakeover) {
    await simulation.advance(3_000)
    endOwner()
  }
  const disturbedAt = simulation.clock.now()
  await simulation.advance(30_000)
  for (const { id } of lost) t.true(simulation.events.some(({ worker, kind }) => worker === id && kind === 'ended'), fate)
  const running = new Set([...simulation.workers.values()].flatMap(({ running }) => running))
  t.is(running.size, 6, fate)
  const lastStart = Math.max(...simulation.events.filter(({ kind }) => kind === 'started').map(({ at }) => at))
  t.true(lastStart - disturbedAt <= MAX_AWAY_MS, `${fate}: started ${lastStart - goneAt} ms after the worker was gone`)
  t.deepEqual(simulation.breaches, [], fate)
  // Each owner takes over that known runs have been kept since the first term.
  t.is(readTerm(simulation.rows.read(TERMS_TABLE, FIRST_CELL, TERM_KEY)?.value ?? '')?.knownRunsSince as number | undefined, 1)
}

// Guards against waiting for the longest lease of a worker that was reborn and is gone, and can't run the task (incident 027).
test('a long-running task whose worker is reborn and lost as the owner is killed runs again in time', async t => {
  await play(t, { fate: 'reborn, then gone' })
})

test('so do those of several workers, and of one that is reborn twice, cut off or just lost', async t => {
  await play(t, { fate: 'reborn, then gone', workers: 2 })
  await play(t, { fate: 'reborn twice, then gone' })
  await play(t, { fate: 'reborn and cut off' })
  await play(t, { fate: 'gone' })
})

test('so do they if the owner is stopped in place of killed, or if the next owner is lost while it waits', async t => {
  await play(t, { fate: 'reborn, then gone', isStopped: true })
  await play(t, { fate: 'reborn, then gone', hasSecondTakeover: true })
})

test('a known run that was stored before a term of an earlier version, which may have ordered another, does not count', t => {
  const knownRuns = { '0.0.0': { attempt: 3, worker: { id: 'w1', incarnation: 1 }, epoch: 4, isListed: true } }
  const row = { key: JOB, value: JSON.stringify({ phase: 'active', done: {}, failed: {}, checkpoints: {}, knownRuns }) }
  const knownSince = (epoch: number): unknown => {
    const stored = new StoredProgress()
    stored.add(row as never, brand<Epoch>(epoch))
    return stored.of(brand<JobId>(JOB))?.knownRuns
  }
  t.deepEqual(knownSince(4), knownRuns)
  t.deepEqual(knownSince(6), {})
})
