import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { cancelKey, cellAt, encodeJob, jobPart, readJob, readProgress, readTerm, readUsedWorkers } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN = { runMs: 1_500, ending: 'done' } as const

/** Starts processes and twelve workers, which three cells of four divide among them. */
const startCells = async (processes = 4): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(12, () => RUN)
  simulation.workersPerCell = 4
  for (let index = 1; index <= processes; index++) simulation.addNode(`n${index}`)
  await simulation.advance(4_000)
  return simulation
}

const ownersOf = (simulation: JobsSimulation): Map<string, string[]> => {
  const owners = new Map<string, string[]>()
  for (const { name, election } of simulation.nodes.values()) for (const cell of election.ownedCells) owners.set(cell, [...owners.get(cell) ?? [], name])
  return owners
}

const submitJobs = async (simulation: JobsSimulation, count: number, via = [...simulation.nodes.keys()]): Promise<string[]> => {
  const ids = Array.from({ length: count }, (_, index) => `${index.toString(16)}`.padStart(16, 'a'))
  for (const [index, id] of ids.entries()) {
    const node = simulation.nodes.get(via[index % via.length] as string)
    const job = jobOf(id, [stepOf({ taskCount: 2 }), stepOf({ taskCount: 2, after: [0] })], { acceptedAt: simulation.clock.wallTime() })
    await simulation.settle(node!.jobs.submit(job, 2_000))
  }
  return ids
}

const countDone = (simulation: JobsSimulation): number => simulation.events.filter(event => event.kind === 'ended' && event.how === 'done').length

test('more workers than one owner can carry are divided into cells, each with an owner on another process', async t => {
  const simulation = await startCells()
  const owners = ownersOf(simulation)
  t.deepEqual([...owners.keys()].sort(), ['cell-0', 'cell-1', 'cell-2'])
  t.is(new Set([...owners.values()].flat()).size, 3)
  for (let index = 0; index < 3; index++) t.is(readTerm(simulation.rows.read('terms', cellAt(index), 'term')!.value)?.workers, 4)
})

test('jobs submitted to any process run in several cells, and every process knows their state', async t => {
  const simulation = await startCells()
  const ids = await submitJobs(simulation, 30)
  await simulation.advance(8_000)
  t.deepEqual(simulation.breaches, [])
  t.is(countDone(simulation), 120)
  t.is(new Set(simulation.events.map(({ worker }) => worker)).size, 12)
  for (const node of simulation.nodes.values()) {
    for (const id of ids) t.is((await simulation.settle(node.jobs.phaseOf(jobOf(id, []).id))).unwrap(), 'completed')
  }
})

/** Starts four processes and three racks of four workers, of which one each is listed at first, so that all racks are in one cell. */
const startGrowingDeployment = async (): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(12, () => RUN)
  simulation.workersPerCell = 4
  for (const [index, worker] of [...simulation.workers.values()].entries()) {
    worker.rack = `r${index % 3}`
    if (index >= 3) simulation.listed.delete(worker.id)
  }
  for (let index = 1; index <= 4; index++) simulation.addNode(`n${index}`)
  await simulation.advance(3_000)
  return simulation
}

const workersOf = (simulation: JobsSimulation, index: number): number => {
  const row = simulation.rows.read('terms', cellAt(index), 'term')
  return row === undefined ? 0 : readTerm(row.value)?.workers ?? 0
}

test('workers that join an old rack make its cell too large, and racks move to other cells while tasks run', async t => {
  const simulation = await startGrowingDeployment()
  t.is(workersOf(simulation, 0), 3)
  await submitJobs(simulation, 30)
  for (const id of simulation.workers.keys()) simulation.listed.add(id)
  await simulation.advance(25_000)
  t.deepEqual(simulation.breaches, [])
  t.is(countDone(simulation), 120)
  t.deepEqual([0, 1, 2].map(index => workersOf(simulation, index)), [4, 4, 4])
  // After the moves, the workers take orders of their new owners.
  const before = simulation.events.length
  await simulation.settle(simulation.nodes.get('n1')!.jobs.submit(jobOf('b000000000000000', [stepOf({ taskCount: 24, processors: 4_000, maxPerWorker: 2 })], { acceptedAt: simulation.clock.wallTime() }), 2_000))
  await submitJobs(simulation, 10, ['n2']).catch(() => undefined)
  await simulation.advance(10_000)
  t.true(simulation.events.slice(before).some(event => event.kind === 'started'))
  t.deepEqual(simulation.breaches, [])
})

test('whichever owner is killed while racks move and tasks run, every task still runs once', async t => {
  for (const cell of ['cell-0', 'cell-1', 'cell-2']) {
    for (const killedAfterMs of [200, 1_400, 4_100, 5_300, 5_800, 6_700]) {
      const simulation = await startGrowingDeployment()
      for (const id of simulation.workers.keys()) simulation.listed.add(id)
      await submitJobs(simulation, 12)
      await simulation.advance(killedAfterMs)
      for (const node of simulation.nodes.values()) if (node.election.ownedCells.some(owned => owned === cell)) node.kill()
      await simulation.advance(30_000)
      t.deepEqual(simulation.breaches, [], `${cell} after ${killedAfterMs} ms`)
      t.is(new Set(simulation.events.filter(event => event.kind === 'ended' && event.how === 'done').map(({ task }) => task)).size, 48, `${cell} after ${killedAfterMs} ms`)
    }
  }
})

test('when all processes are killed, every cell has an owner again and every task still runs once', async t => {
  const simulation = await startCells()
  await submitJobs(simulation, 24)
  await simulation.advance(900)
  for (const node of [...simulation.nodes.values()]) node.kill()
  for (let index = 1; index <= 4; index++) simulation.addNode(`n${index}`, `n${index}-2`)
  await simulation.advance(20_000)
  t.deepEqual([...ownersOf(simulation).keys()].sort(), ['cell-0', 'cell-1', 'cell-2'])
  t.deepEqual(simulation.breaches, [])
  t.is(new Set(simulation.events.filter(event => event.how === 'done').map(({ task }) => task)).size, 96)
})

test('one process owns all cells if it is the only one left, and gives them up to others when it stops', async t => {
  const simulation = await startCells()
  for (const node of [...simulation.nodes.values()].slice(1)) node.kill()
  await simulation.advance(12_000)
  t.deepEqual([...ownersOf(simulation).keys()].sort(), ['cell-0', 'cell-1', 'cell-2'])
  const [last] = simulation.nodes.values()
  simulation.addNode('n8')
  simulation.addNode('n9')
  await simulation.advance(1_000)
  void last?.election.stop()
  await simulation.advance(4_000)
  const owners = ownersOf(simulation)
  t.deepEqual([...owners.keys()].sort(), ['cell-0', 'cell-1', 'cell-2'])
  t.false([...owners.values()].flat().includes(last!.name))
})

test('a cancellation reaches the job whatever its cell, also if it comes before the job', async t => {
  const simulation = await startCells()
  const ids = await submitJobs(simulation, 12)
  for (const [index, id] of ids.entries()) {
    const node = [...simulation.nodes.values()][index % 4]
    t.true((await simulation.settle(node!.jobs.cancel(jobOf(id, []).id, 2_000))).unwrap())
  }
  const early = jobOf('e000000000000000', [stepOf({ taskCount: 8 })])
  const [first] = simulation.nodes.values()
  t.false((await simulation.settle(first!.jobs.cancel(early.id, 2_000))).unwrap())
  await simulation.settle(first!.jobs.submit(early, 2_000))
  await simulation.advance(6_000)
  for (const id of [...ids, early.id]) t.is((await simulation.settle(first!.jobs.phaseOf(jobOf(id, []).id))).unwrap(), 'cancelled')
  t.false(simulation.events.some(({ task }) => task.startsWith(early.id)))
  t.deepEqual(simulation.breaches, [])
})

test('an owner whose epoch has risen while racks were moved still fences the old owner', async t => {
  const simulation = await startGrowingDeployment()
  // Takeovers of the first cell before racks leave it.
  for (const name of ['n1', 'n2', 'n3']) {
    simulation.owner?.kill()
    await simulation.advance(6_000)
    simulation.addNode(`${name}b`)
  }
  for (const id of simulation.workers.keys()) simulation.listed.add(id)
  await simulation.advance(20_000)
  const epochs = [1, 2].map(index => readTerm(simulation.rows.read('terms', cellAt(index), 'term')!.value)?.epoch ?? Infinity)
  t.true(Math.max(...epochs) <= 2, `no cell has lost its owner: ${epochs.join(' ')}`)
  await submitJobs(simulation, 20)
  await simulation.advance(10_000)
  t.is(countDone(simulation), 80)
  t.deepEqual(simulation.breaches, [])
})

/** Stores long-running and other jobs that all belong to the first cell, more than its four workers can run at once. */
const fillFirstCell = (simulation: JobsSimulation): string[] => {
  const ids = Array.from({ length: 12 }, (_, index) => index.toString(16).padStart(16, 'f'))
  for (const id of ids) {
    const job = jobOf(id, [stepOf({ taskCount: 4, processors: 4_000 })], { acceptedAt: simulation.clock.wallTime() })
    simulation.rows.put('jobs', jobPart(job.id), id, encodeJob({ job, cell: cellAt(0) }))
  }
  return ids
}

const cellOf = (simulation: JobsSimulation, id: string): string | undefined => {
  const row = simulation.rows.read('jobs', jobPart(jobOf(id, []).id), id)
  return row === undefined ? undefined : readJob(row)?.cell
}

test('jobs that wait in a full cell are given to cells with free workers, and every process finds them there', async t => {
  const simulation = await startCells()
  const ids = fillFirstCell(simulation)
  const startedAt = simulation.clock.now()
  await simulation.advance(9_000)
  t.is(countDone(simulation), 48)
  t.true(new Set(ids.map(id => cellOf(simulation, id))).size > 1)
  t.true(new Set(simulation.events.map(({ worker }) => worker)).size > 4)
  // The four workers of the first cell alone would take six rounds of 1.5 s.
  const lastEnd = Math.max(...simulation.events.filter(({ how }) => how === 'done').map(({ at }) => at))
  t.true(lastEnd - startedAt < 6 * 1_500, `${lastEnd - startedAt} ms`)
  for (const node of simulation.nodes.values()) {
    for (const id of ids) t.is((await simulation.settle(node.jobs.phaseOf(jobOf(id, []).id))).unwrap(), 'completed')
  }
  t.deepEqual(simulation.breaches, [])
})

test('whichever owners die while jobs move, exactly one cell runs each task', async t => {
  for (const cells of [['cell-0'], ['cell-1'], ['cell-0', 'cell-1', 'cell-2']]) {
    for (let killedAfterMs = 1_300; killedAfterMs <= 2_300; killedAfterMs += 100) {
      const simulation = await startCells(6)
      fillFirstCell(simulation)
      await simulation.advance(killedAfterMs)
      for (const node of simulation.nodes.values()) if (node.election.ownedCells.some(cell => cells.includes(cell))) node.kill()
      await simulation.advance(30_000)
      t.deepEqual(simulation.breaches, [], `${cells.join(' ')} after ${killedAfterMs} ms`)
      t.is(new Set(simulation.events.filter(({ how }) => how === 'done').map(({ task }) => task)).size, 48, `${cells.join(' ')} after ${killedAfterMs} ms`)
    }
  }
})

test('an owner that is suspended while it moves jobs, or whose transactions are applied late, moves none that another owner has started', async t => {
  for (const mode of ['late', 'lost', 'silent'] as const) {
    for (let faultAfterMs = 1_000; faultAfterMs <= 2_200; faultAfterMs += 200) {
      const simulation = await startCells(6)
      fillFirstCell(simulation)
      await simulation.advance(faultAfterMs)
      const owner = simulation.owner
      simulation.rows.faultModes.set(owner?.name as string, mode)
      await simulation.advance(150)
      owner?.suspend()
      await simulation.advance(4_000)
      owner?.resume()
      simulation.rows.faultModes.clear()
      await simulation.advance(30_000)
      t.deepEqual(simulation.breaches, [], `${mode} after ${faultAfterMs} ms`)
      t.is(new Set(simulation.events.filter(({ how }) => how === 'done').map(({ task }) => task)).size, 48, `${mode} after ${faultAfterMs} ms`)
    }
  }
})

test('a job that is cancelled while it moves is cancelled in its new cell', async t => {
  for (const cancelledAfterMs of [900, 1_100, 1_300, 1_500, 1_700]) {
    const simulation = await startCells()
    const ids = fillFirstCell(simulation)
    await simulation.advance(cancelledAfterMs)
    const [node] = simulation.nodes.values()
    const last = jobOf(ids.at(-1) as string, []).id
    t.true((await simulation.settle(node!.jobs.cancel(last, 2_000))).unwrap())
    await simulation.advance(8_000)
    t.is((await simulation.settle(node!.jobs.phaseOf(last))).unwrap(), 'cancelled', `after ${cancelledAfterMs} ms`)
    t.deepEqual(simulation.breaches, [])
  }
})

/** Advances until the first step of the move of a job is stored while its row can't be changed yet, and returns the job's id. */
const stopBetweenSteps = async (simulation: JobsSimulation): Promise<string> => {
  const ids = fillFirstCell(simulation)
  await simulation.advance(600)
  simulation.rows.slowJobReads = true
  for (let waitedMs = 0; waitedMs < 3_000; waitedMs += 10) {
    await simulation.advance(10)
    const moved = ids.find(id => readProgress(simulation.rows.read('progress', 'cell-0', id)?.value ?? '')?.movedTo !== undefined)
    if (moved !== undefined) return moved
  }
  throw new Error('No job moved')
}

test('an owner that was replaced between the two steps of a move changes the row of no job that its successor has started', async t => {
  const simulation = await startCells(6)
  await stopBetweenSteps(simulation)
  // The change of the row is applied seconds after it was sent.
  simulation.rows.faultModes.set(simulation.owner?.name as string, 'late')
  simulation.rows.slowJobReads = false
  await simulation.advance(4_500)
  simulation.rows.faultModes.clear()
  await simulation.advance(20_000)
  t.deepEqual(simulation.breaches, [])
  t.is(new Set(simulation.events.filter(({ how }) => how === 'done').map(({ task }) => task)).size, 48)
})

test('a job that is cancelled between the two steps of its move is cancelled in its new cell', async t => {
  const simulation = await startCells()
  const id = await stopBetweenSteps(simulation)
  const job = jobOf(id, []).id
  simulation.rows.put('jobs', jobPart(job), cancelKey(job), '{"cancelledAt":1}')
  await simulation.advance(100)
  simulation.rows.slowJobReads = false
  await simulation.advance(9_000)
  t.not(cellOf(simulation, id), 'cell-0')
  t.false(simulation.events.some(({ task }) => task.startsWith(id)))
  t.is((await simulation.settle([...simulation.nodes.values()][0]!.jobs.phaseOf(job))).unwrap(), 'cancelled')
})

test('after a takeover of a cell that racks were moved to, the new owner keeps its term', async t => {
  const simulation = await startGrowingDeployment()
  // Takeovers of the first cell before racks leave it.
  for (const name of ['n1', 'n2', 'n3']) {
    simulation.owner?.kill()
    await simulation.advance(6_000)
    simulation.addNode(`${name}b`)
  }
  for (const id of simulation.workers.keys()) simulation.listed.add(id)
  await simulation.advance(15_000)
  t.deepEqual([0, 1, 2].map(index => workersOf(simulation, index)), [4, 4, 4])
  await submitJobs(simulation, 12)
  await simulation.advance(600)
  const epochOf = (index: number): number => readTerm(simulation.rows.read('terms', cellAt(index), 'term')!.value)?.epoch ?? 0
  const before = epochOf(1)
  const holder = [...simulation.nodes.values()].find(node => node.election.ownedCells.some(cell => cell === 'cell-1'))
  // One worker of the cell is not listed when the new owner starts.
  holder?.kill()
  const [unlisted] = readUsedWorkers(simulation.rows.read('terms', 'cell-1', 'workers-0')!.value) ?? []
  simulation.listed.delete(unlisted!.id)
  await simulation.advance(20_000)
  t.is(epochOf(1), before + 1)
  t.is(countDone(simulation), 48)
  t.deepEqual(simulation.breaches, [])
})
