/** Guards against tasks that wait for ever in a full cell while workers of another cell are free (incident 014). */
import test from 'ava'
import type { Job } from '@auburnpin/core'
import { stepOf, type FakeJobWorker } from '@auburnpin/fakes'
import { cancelKey, jobPart } from '../src/rows.ts'
import { ENDLESS_RUN, FullCell, wholeWorkers, WORKER_PROCESSORS } from './support/FullCell.ts'

/** A long-running task may be without a run for 6 s, and 3 s of calm. */
const AWAY_MS = 9_000
const SHORT_RUN = { runMs: 400, ending: 'done' } as const

/** Starts cells whose first one a job fills, and loses one of its workers. */
const loseWorkerOfFullCell = async (cells = 3, step = wholeWorkers(4)): Promise<{ full: FullCell, job: Job, lost: FakeJobWorker }> => {
  const full = new FullCell(cells)
  await full.start()
  const job = full.submit([step])
  await full.simulation.advance(1_000)
  const [lost] = full.workersOf(0)
  full.lose(lost as FakeJobWorker)
  return { full, job, lost: lost as FakeJobWorker }
}

test('an interrupted long-running task whose cell is full runs in another cell within the time that users allow', async t => {
  const { full, job } = await loseWorkerOfFullCell()
  await full.simulation.advance(AWAY_MS)
  t.is(full.runs(job), 4)
  t.is(full.runsByCell(job, 1)[0], 3)
  await full.simulation.advance(20_000)
  t.is(full.simulation.events.filter(({ kind }) => kind === 'started').length, 5)
  t.deepEqual(full.simulation.breaches, [])
})

const OWNERS: readonly (readonly number[])[] = [[0], [1], [2], [0, 1], [1, 2], [0, 1, 2]]
/** From the loss of the worker to just after the other cell has started the task. */
const KILLED_AFTER_MS = [0, 4_550, 4_950, 5_010, 5_030, 5_050, 5_080, 5_300]

for (const cells of OWNERS) {
  test(`whichever moment the owners of cells ${cells.join(', ')} are killed at, a delegated task has one run and comes back`, async t => {
    for (const afterMs of KILLED_AFTER_MS) {
      const { full, job } = await loseWorkerOfFullCell()
      await full.simulation.advance(afterMs)
      const names = cells.map(cell => full.ownerOf(cell))
      for (const name of names) if (name !== undefined) full.simulation.nodes.get(name)?.kill()
      for (const name of new Set(names)) full.simulation.addNode(`${name}-again`)
      await full.simulation.advance(25_000)
      t.is(full.runs(job), 4, `killed after ${afterMs}`)
      t.deepEqual(full.simulation.breaches, [], `killed after ${afterMs}`)
    }
  })
}

test('a task whose owner dies around its delegation has one run, although its own cell has room again', async t => {
  const { full, job } = await loseWorkerOfFullCell()
  while (full.sharedRows(job).length === 0) await full.simulation.advance(1)
  const toldAt = full.simulation.clock.now()
  for (const offsetMs of [-60, -30, -20, -15, -12, -9, -6, -3, -1, 0, 3, 6, 12, 30]) {
    const again = await loseWorkerOfFullCell()
    const { simulation } = again.full
    await simulation.advance(toldAt + offsetMs - simulation.clock.now())
    simulation.nodes.get(again.full.ownerOf(0) ?? '')?.kill()
    again.lost.restart()
    simulation.listed.add(again.lost.id)
    await simulation.advance(15_000)
    t.is(again.full.runs(again.job), 4, `killed ${offsetMs} ms after the other cell was told`)
    t.deepEqual(simulation.breaches, [], `killed ${offsetMs} ms after the other cell was told`)
  }
})

for (const mode of ['refusing', 'silent', 'lost', 'late'] as const) {
  test(`a store that is ${mode} at any moment of a delegation leaves one run of the task`, async t => {
    for (const afterMs of [4_600, 4_980, 5_000, 5_010, 5_020, 5_040, 5_060, 5_100]) {
      const { full, job } = await loseWorkerOfFullCell()
      await full.simulation.advance(afterMs)
      full.simulation.rows.faultModes.set('all', mode)
      await full.simulation.advance(700)
      full.simulation.rows.faultModes.clear()
      await full.simulation.advance(15_000)
      t.is(full.runs(job), 4, `from ${afterMs}`)
      t.deepEqual(full.simulation.breaches, [], `from ${afterMs}`)
    }
  })
}

test('whatever the store does to its owners, each task of several full cells has one run: stories', async t => {
  for (let seed = 1; seed <= 6; seed++) {
    const { full, job } = await loseWorkerOfFullCell()
    const second = full.submit([wholeWorkers(3)], 1)
    await full.simulation.advance(3_000)
    full.lose(full.workersOf(1).find(({ running }) => running.length > 0) as FakeJobWorker)
    const victim = full.ownerOf(seed % 3)
    await full.simulation.advance(1_500 + 117 * seed)
    if (victim !== undefined) full.simulation.rows.faultModes.set(victim, seed % 2 === 0 ? 'late' : 'lost')
    await full.simulation.advance(400 * seed)
    if (victim !== undefined) full.simulation.nodes.get(victim)?.kill()
    full.simulation.rows.faultModes.clear()
    full.simulation.addNode('late')
    await full.simulation.advance(30_000)
    t.deepEqual([full.runs(job), full.runs(second)], [4, 3], `seed ${seed}`)
    t.deepEqual(full.simulation.breaches, [], `seed ${seed}`)
  }
})

test('a cancelled job is stopped in every cell, whenever it is cancelled, and leaves nothing in the store of the other cell', async t => {
  for (const afterMs of [4_000, 4_990, 5_010, 5_030, 5_060, 5_200, 8_000]) {
    const { full, job } = await loseWorkerOfFullCell()
    await full.simulation.advance(afterMs)
    full.simulation.rows.put('jobs', jobPart(job.id), cancelKey(job.id), '{"cancelledAt":0}')
    await full.simulation.advance(3_000)
    t.is(full.runs(job), 0, `cancelled after ${afterMs}`)
    const startsBefore = full.simulation.events.length
    await full.simulation.advance(12_000)
    t.is(full.simulation.events.length, startsBefore)
    t.deepEqual(full.sharedRows(job).filter(key => !key.includes('~to-')), [], `cancelled after ${afterMs}`)
  }
})

test('all rows that cells share of a job are deleted with its own', async t => {
  const { full, job } = await loseWorkerOfFullCell(2)
  await full.simulation.advance(8_000)
  t.true(full.sharedRows(job).length >= 3)
  full.simulation.rows.put('jobs', jobPart(job.id), cancelKey(job.id), '{"cancelledAt":0}')
  await full.simulation.advance(165_000)
  t.deepEqual(full.sharedRows(job), [])
})

test('a cell that has no place for a delegated task gives it back, and it runs in a third cell', async t => {
  const full = new FullCell(3)
  // The workers of the last cell alone may run the task, which the layout doesn't tell from those that once could.
  full.simulation.mutateEntry = entry => full.simulation.clock.now() < 5_000 || full.workersOf(1).every(({ id }) => id !== entry.id) ? { ...entry, labels: ['big'] } : entry
  await full.start()
  const job = full.submit([wholeWorkers(4, { requiredLabel: 'big' })])
  await full.simulation.advance(1_500)
  full.lose(full.workersOf(0)[0] as FakeJobWorker)
  await full.simulation.advance(AWAY_MS)
  t.deepEqual(full.runsByCell(job, 3).slice(1), [0, 1])
  t.deepEqual(full.simulation.breaches, [])
})

test('a task that is given back has one run, although the owner that gave it back dies and both cells have room again', async t => {
  // The workers of the other cell don't have the label between the start of the job and the end of the owner.
  const play = async (): Promise<{ full: FullCell, job: Job, lost: FakeJobWorker, restoreLabel: () => void }> => {
    const full = new FullCell(2)
    let hasLabel = true
    full.simulation.mutateEntry = entry => hasLabel || full.workersOf(1).every(({ id }) => id !== entry.id) ? { ...entry, labels: ['big'] } : entry
    await full.start()
    const job = full.submit([wholeWorkers(4, { requiredLabel: 'big' })])
    await full.simulation.advance(1_000)
    hasLabel = false
    const [lost] = full.workersOf(0)
    full.lose(lost as FakeJobWorker)
    return { full, job, lost: lost as FakeJobWorker, restoreLabel: () => { hasLabel = true } }
  }
  const { full, job } = await play()
  const isGivenBack = (): boolean => full.simulation.rows.read('jobs', jobPart(job.id), `${job.id}~by-cell-1`)?.value.includes('"cell":"cell-0"') === true
  while (!isGivenBack()) await full.simulation.advance(1)
  const givenBackAt = full.simulation.clock.now()
  for (const offsetMs of [-40, -20, -12, -8, -4, -1, 0, 2, 5, 8, 12, 20, 40]) {
    const again = await play()
    const { simulation } = again.full
    await simulation.advance(givenBackAt + offsetMs - simulation.clock.now())
    simulation.nodes.get(again.full.ownerOf(1) ?? '')?.kill()
    again.restoreLabel()
    again.lost.restart()
    simulation.listed.add(again.lost.id)
    await simulation.advance(15_000)
    t.is(again.full.runs(again.job), 4, `killed ${offsetMs} ms after the task was given back`)
    t.deepEqual(simulation.breaches, [], `killed ${offsetMs} ms after the task was given back`)
  }
})

test('a task that no cell can hold runs within 3 s once one can, however long it has waited', async t => {
  for (const waitedMs of [11_000, 14_300, 27_700]) {
    const full = new FullCell(2)
    let hasLabel = true
    full.simulation.mutateEntry = entry => hasLabel || full.workersOf(1).every(({ id }) => id !== entry.id) ? { ...entry, labels: ['big'] } : entry
    await full.start()
    const job = full.submit([wholeWorkers(4, { requiredLabel: 'big' })])
    await full.simulation.advance(1_000)
    hasLabel = false
    full.lose(full.workersOf(0)[0] as FakeJobWorker)
    await full.simulation.advance(waitedMs)
    t.is(full.runs(job), 3)
    hasLabel = true
    await full.simulation.advance(3_000)
    t.is(full.runs(job), 4, `after ${waitedMs}`)
    t.deepEqual(full.simulation.breaches, [])
  }
})

test('a delegated task that loses its worker in a cell that is full by then comes back wherever a worker is free', async t => {
  const { full, job, lost } = await loseWorkerOfFullCell(2)
  await full.simulation.advance(AWAY_MS)
  t.deepEqual(full.runsByCell(job, 2), [3, 1])
  full.submit([wholeWorkers(3)], 1)
  await full.simulation.advance(2_000)
  const host = full.workersOf(1).find(({ running }) => running.some(task => task.startsWith(job.id)))
  full.lose(host as FakeJobWorker)
  lost.restart()
  full.simulation.listed.add(lost.id)
  await full.simulation.advance(AWAY_MS)
  t.deepEqual(full.runsByCell(job, 2), [4, 0])
  t.deepEqual(full.simulation.breaches, [])
})

test('a task goes to and fro between two cells with rising attempts, also if their owners change in between', async t => {
  const { full, job, lost } = await loseWorkerOfFullCell(2)
  await full.simulation.advance(AWAY_MS)
  full.submit([wholeWorkers(3)], 1)
  for (let round = 0; round < 4; round++) {
    await full.simulation.advance(2_000)
    const away = [...full.simulation.workers.values()].filter(({ hasCrashed, running }) => !hasCrashed && running.some(task => task === `${job.id}.0.0.0`))
    t.is(away.length, 1, `round ${round}`)
    const [used] = away
    const idle = round === 0 ? lost : [...full.simulation.workers.values()].find(({ hasCrashed }) => hasCrashed)
    full.lose(used as FakeJobWorker)
    idle?.restart()
    if (idle !== undefined) full.simulation.listed.add(idle.id)
    await full.simulation.advance(round % 2 === 0 ? 5_000 : 3_000)
    const owner = full.ownerOf(round % 2)
    if (owner !== undefined) full.simulation.nodes.get(owner)?.kill()
    full.simulation.addNode(`later-${round}`)
    await full.simulation.advance(20_000)
    t.is(full.runs(job), 4, `round ${round}`)
  }
  const attempts = full.simulation.events.filter(({ kind, task }) => kind === 'started' && task === `${job.id}.0.0.0`).map(({ attempt }) => attempt)
  t.deepEqual(attempts, [...attempts].sort((one, other) => one - other))
  t.is(new Set(attempts).size, attempts.length)
  t.deepEqual(full.simulation.breaches, [])
})

test('the remaining tasks of a job that has begun run in another cell while long-running tasks fill its own, and its later steps follow', async t => {
  for (const killed of [undefined, 0, 1]) {
    const full = new FullCell(2, (job, step) => job === 1 ? step === 0 ? { runMs: 3_000, ending: 'done' } : SHORT_RUN : ENDLESS_RUN)
    await full.start()
    const job = full.submit([stepOf(), stepOf({ taskCount: 3, after: [0] }), stepOf({ taskCount: 2, after: [1] })])
    await full.simulation.advance(500)
    full.submit([stepOf({ isLasting: true, taskCount: 4, processors: WORKER_PROCESSORS })])
    await full.simulation.advance(500)
    const filling = full.submit([stepOf({ isLasting: true, taskCount: 8, processors: 1_000 })])
    await full.simulation.advance(3_700)
    const owner = killed === undefined ? undefined : full.ownerOf(killed)
    if (owner !== undefined) full.simulation.nodes.get(owner)?.kill()
    await full.simulation.advance(15_000)
    const [node] = full.simulation.nodes.values()
    t.is((await full.simulation.settle(node!.jobs.phaseOf(job.id))).unwrap(), 'completed', `killed ${killed}`)
    t.true(full.runs(filling) > 0)
    t.deepEqual(full.simulation.breaches, [], `killed ${killed}`)
    t.is(full.simulation.events.filter(({ task, how }) => task.startsWith(job.id) && how === 'done').length, 6)
  }
})

test('a task fails its job after as many failed runs as allowed, in whatever cells they were', async t => {
  const failing = new FullCell(2, job => job === 2 ? { runMs: 200, ending: 'failed' } : ENDLESS_RUN)
  await failing.start()
  failing.submit([wholeWorkers(4)])
  await failing.simulation.advance(600)
  const job = failing.submit([stepOf()])
  await failing.simulation.advance(8_000)
  t.is(failing.simulation.events.filter(({ task, how }) => task.startsWith(job.id) && how === 'failed').length, 3)
  const [node] = failing.simulation.nodes.values()
  t.is((await failing.simulation.settle(node!.jobs.phaseOf(job.id))).unwrap(), 'failed')
})

test('fillers, serving tasks and tasks of which a worker runs only one each leave a cell that has no place for them', async t => {
  const steps = [
    stepOf({ isLasting: true, isFiller: true, taskCount: 4, memoryMb: 20_000 }),
    stepOf({ isLasting: true, latencyTargetMs: 100, taskCount: 4, processors: 5_000 }),
    stepOf({ isLasting: true, maxPerWorker: 1, taskCount: 4, processors: 500 })
  ]
  for (const [index, step] of steps.entries()) {
    const { full, job } = await loseWorkerOfFullCell(2, step)
    await full.simulation.advance(AWAY_MS)
    t.is(full.runs(job), 4, `step ${index}`)
    t.deepEqual(full.simulation.breaches, [])
  }
})

test('as many tasks as lose their workers at once come back, if other cells hold them', async t => {
  const { full, job } = await loseWorkerOfFullCell(4)
  for (const worker of full.workersOf(0)) if (!worker.hasCrashed) full.lose(worker)
  await full.simulation.advance(AWAY_MS)
  t.is(full.runs(job), 4)
  t.is(full.runsByCell(job, 1)[0], 0)
  t.deepEqual(full.simulation.breaches, [])
})

test('an interrupted task comes back in a cell whose workers are all in use, once short tasks have ended there', async t => {
  const full = new FullCell(2, job => job === 1 ? { runMs: 1_500, ending: 'done' } : ENDLESS_RUN)
  await full.start()
  full.submit([stepOf({ taskCount: 200, processors: WORKER_PROCESSORS })], 1)
  const job = full.submit([wholeWorkers(4)])
  await full.simulation.advance(2_000)
  t.is(full.runs(job), 4)
  full.lose(full.workersOf(0)[0] as FakeJobWorker)
  await full.simulation.advance(AWAY_MS)
  t.deepEqual(full.runsByCell(job, 2), [3, 1])
  t.deepEqual(full.simulation.breaches, [])
})

test('interrupted tasks for which no worker of their cell is held go elsewhere while another one of their step waits for such a worker', async t => {
  for (const lostAfterMs of [0, 800, 1_600]) {
    const full = new FullCell(2, job => job === 1 ? ENDLESS_RUN : { runMs: 2_200, ending: 'done' })
    await full.start()
    const job = full.submit([wholeWorkers(3)])
    await full.simulation.advance(1_000)
    for (const cell of [0, 1]) full.submit([stepOf({ taskCount: 200, processors: WORKER_PROCESSORS })], cell)
    await full.simulation.advance(2_200 + lostAfterMs)
    for (const worker of full.workersOf(0).filter(({ running }) => running.some(task => task.startsWith(job.id))).slice(0, 2)) full.lose(worker)
    await full.simulation.advance(AWAY_MS)
    t.is(full.runs(job), 3, `lost after ${lostAfterMs}`)
    t.deepEqual(full.simulation.breaches, [])
  }
})

test('an owner that has lost the history of the jobs table still knows what is delegated', async t => {
  const { full, job } = await loseWorkerOfFullCell(2)
  await full.simulation.advance(AWAY_MS)
  full.simulation.rows.trim()
  await full.simulation.advance(5_000)
  t.deepEqual(full.runsByCell(job, 2), [3, 1])
  t.deepEqual(full.simulation.breaches, [])
})

test('a row that two cells share is only ever written over the one that the writer has seen', async t => {
  const { full, job } = await loseWorkerOfFullCell(2)
  const { rows } = full.simulation
  const apply = rows.apply.bind(rows)
  let writes = 0
  rows.apply = transaction => {
    for (const { key } of [...transaction.puts, ...transaction.deletes]) {
      if (!/~(to|by)-/.test(key)) continue
      writes++
      t.true(transaction.checks.some(check => check.key === key), key)
    }
    return apply(transaction)
  }
  await full.simulation.advance(AWAY_MS)
  t.is(full.runs(job), 4)
  t.true(writes >= 2)
})

test('nothing is written for tasks that their own cell can hold, and nothing is delegated while all cells are full', async t => {
  const full = new FullCell(2)
  await full.start()
  const jobs = [full.submit([wholeWorkers(4)]), full.submit([wholeWorkers(4)], 1), full.submit([wholeWorkers(3)])]
  await full.simulation.advance(2_000)
  full.lose(full.workersOf(0)[0] as FakeJobWorker)
  await full.simulation.advance(20_000)
  for (const job of jobs) t.deepEqual(full.sharedRows(job), [])
  t.deepEqual(jobs.map(job => full.runs(job)), [3, 4, 0])
})

test('a cell whose owner publishes no room, as one of an earlier version, gets no task', async t => {
  const { full, job } = await loseWorkerOfFullCell(2)
  const owner = full.ownerOf(1)
  t.truthy(owner)
  await full.simulation.advance(4_000)
  const { rows } = full.simulation
  const list = rows.list.bind(rows)
  rows.list = range => {
    const page = list(range)
    return { ...page, rows: page.rows.map(row => row.part === 'cell-1' && row.key === 'term' ? { ...row, value: JSON.stringify({ ...JSON.parse(row.value), free: undefined }) } : row) }
  }
  await full.simulation.advance(8_000)
  t.is(full.runs(job), 3)
  t.deepEqual(full.sharedRows(job), [])
})
