import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import type { CellLoad } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour } from '@auburnpin/fakes'
import { cancelKey, cellAt, encodeJob, encodeRow, jobPart, readCellWorkers, readTerm } from '../src/rows.ts'
import { EvacuationScenario, KNOWN_AFTER_MS } from './support/EvacuationScenario.ts'
import type { JobsSimulation } from './support/JobsSimulation.ts'

const SHORT: FakeRunBehaviour = { runMs: 400, ending: 'done' }
const ENDLESS: FakeRunBehaviour = { runMs: 1e9, ending: 'done', startupMs: 100 }
/** Users allow this much after the confirmation; an owner that takes over meanwhile needs most of it. */
const EVACUATE_MS = 5_000
const RESTART_BOUND_MS = 6_000
const RESTORATION_MS = 4_000

/** Submits a job of one task every 20 ms, for `ms`. */
const submitSteadily = async (scenario: EvacuationScenario, ms: number): Promise<void> => {
  for (const until = scenario.now + ms; scenario.now < until;) {
    for (let count = 0; count < 3; count++) await scenario.submit({ taskCount: 2 })
    await scenario.simulation.advance(60)
  }
}

const startScenario = async (dataCentres = ['derby', 'leeds'], behaviourOf: () => FakeRunBehaviour = () => SHORT, workers = 8): Promise<EvacuationScenario> => {
  const scenario = new EvacuationScenario(workers, dataCentres, behaviourOf)
  await scenario.simulation.advance(1_000)
  return scenario
}

/** The data centre of a cell's only rack; empty if it has several. */
const dataCentreOfCell = ({ rows }: JobsSimulation, index: number): string => {
  const [rack = '', ...more] = readCellWorkers(rows.read('terms', cellAt(0), `layout-${index}`)?.value)?.racks ?? []
  return more.length > 0 ? '' : rack.slice(0, rack.indexOf('/'))
}

test('nothing starts in an evacuated data centre until its row is deleted, then it takes work again over some seconds', async t => {
  const scenario = await startScenario()
  await submitSteadily(scenario, 1_000)
  t.true(scenario.startsIn('derby').length > 10)
  scenario.simulation.evacuate('derby')
  const evacuatedAt = scenario.now
  await submitSteadily(scenario, 4_000)
  scenario.simulation.restore('derby')
  const restoredAt = scenario.now
  t.deepEqual(scenario.startsIn('derby', evacuatedAt + KNOWN_AFTER_MS, restoredAt), [])
  t.true(scenario.startsIn('leeds', evacuatedAt, restoredAt).length > 100)
  await submitSteadily(scenario, RESTORATION_MS + 500)
  const firstStarts = scenario.workersIn('derby').map(id => scenario.startsIn('derby', restoredAt).find(({ worker }) => worker === id)?.at ?? Infinity)
  t.true(Math.max(...firstStarts) - Math.min(...firstStarts) > 1_000, firstStarts.join(' '))
  t.true(Math.max(...firstStarts) <= restoredAt + RESTORATION_MS + 500, firstStarts.join(' '))
  t.deepEqual(scenario.simulation.breaches, [])
})

test('what runs in an evacuated data centre continues and is stopped when its job is cancelled', async t => {
  const scenario = await startScenario(['derby'], () => ENDLESS, 2)
  const id = await scenario.submit({ isLasting: true, taskCount: 2 })
  await scenario.simulation.advance(500)
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(20_000)
  t.is(scenario.runningIn('derby'), 2)
  t.is(scenario.simulation.events.length, 2)
  const job = brand<JobId>(id)
  scenario.simulation.rows.put('jobs', jobPart(job), cancelKey(job), encodeRow({ cancelledAt: 0 }))
  await scenario.simulation.advance(1_000)
  t.is(scenario.runningIn('derby'), 0)
})

test('long-running tasks that lose their runs in an evacuated data centre come back elsewhere in time', async t => {
  const scenario = await startScenario(['derby', 'leeds'], () => ENDLESS)
  await scenario.submit({ isLasting: true, taskCount: 6, processors: 2_000, maxPerWorker: 1 })
  await scenario.simulation.advance(1_000)
  const before = scenario.runningIn('derby')
  t.true(before >= 2)
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(KNOWN_AFTER_MS)
  const lostAt = scenario.now
  for (const id of scenario.workersIn('derby')) scenario.simulation.worker(id).failRuns()
  await scenario.simulation.advance(RESTART_BOUND_MS)
  t.deepEqual(scenario.startsIn('derby', lostAt), [])
  t.is(scenario.runningIn('leeds'), 4)
  scenario.simulation.restore('derby')
  await scenario.simulation.advance(1_000)
  t.is(scenario.runningIn('derby') + scenario.runningIn('leeds'), 6)
})

test('an order that is decided before the evacuation and not sent yet is dropped', async t => {
  for (const afterMs of [0, 20, 40, 60, 80, 100, 120, 140, 160, 200]) {
    const scenario = await startScenario(['derby'], () => SHORT, 1)
    // The idle worker is asked before the order is sent, which takes as long as the owner is slow.
    await scenario.simulation.advance(5_000)
    for (const { processor } of scenario.simulation.nodes.values()) processor.messageMs = 120
    await scenario.submit()
    await scenario.simulation.advance(afterMs)
    scenario.simulation.evacuate('derby')
    const evacuatedAt = scenario.now
    await scenario.simulation.advance(2_000)
    // The feed has 18 ms; a start after that was sent before, and is on its way for 121 ms.
    t.deepEqual(scenario.startsIn('derby', evacuatedAt + 18 + 122), [], `evacuated after ${afterMs} ms`)
    scenario.simulation.restore('derby')
    await scenario.simulation.advance(RESTORATION_MS + 2_000)
    t.is(scenario.startsIn('derby').length, 1, `evacuated after ${afterMs} ms`)
  }
})

test('failure: the owner is killed between the row and its first pass, and the next one starts nothing in the data centre', async t => {
  for (const killedAfterMs of [0, 5, 10, 15, 20, 30, 60, 100]) {
    const scenario = await startScenario()
    await submitSteadily(scenario, 500)
    scenario.simulation.evacuate('derby')
    const evacuatedAt = scenario.now
    await scenario.simulation.advance(killedAfterMs)
    scenario.simulation.owner?.kill()
    await submitSteadily(scenario, 8_000)
    t.deepEqual(scenario.startsIn('derby', evacuatedAt + KNOWN_AFTER_MS), [], `killed after ${killedAfterMs} ms`)
    t.true(scenario.startsIn('leeds', evacuatedAt + EVACUATE_MS).length > 50)
    t.deepEqual(scenario.simulation.breaches, [])
  }
})

test('failure: an owner that does not know the evacuations starts nothing until it has read them', async t => {
  const scenario = await startScenario()
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(500)
  const [first] = scenario.simulation.nodes.values()
  for (const node of [...scenario.simulation.nodes.values()].slice(1)) node.kill()
  await scenario.submit({ taskCount: 20 }, first)
  first?.kill()
  scenario.simulation.followsEvacuations = false
  const successor = scenario.simulation.addNode('n3')
  const before = scenario.now
  await scenario.simulation.advance(8_000)
  t.is(scenario.simulation.owner, successor)
  t.is(scenario.startsIn('derby', before + KNOWN_AFTER_MS).length + scenario.startsIn('leeds', before + KNOWN_AFTER_MS).length, 0)
  successor.followEvacuations()
  await scenario.simulation.advance(3_000)
  t.deepEqual(scenario.startsIn('derby'), [])
  t.is(new Set(scenario.startsIn('leeds').map(({ task }) => task)).size, 20)
})

test('failure: the row is written, deleted and written again in quick succession, and the last state counts', async t => {
  for (const gapMs of [0, 3, 10, 50, 300]) {
    for (const isEvacuatedLast of [true, false]) {
      const scenario = await startScenario()
      const changes = isEvacuatedLast ? [true, false, true] : [true, false, true, false]
      for (const isEvacuating of changes) {
        if (isEvacuating) scenario.simulation.evacuate('derby')
        else scenario.simulation.restore('derby')
        await scenario.simulation.advance(gapMs)
      }
      const changedAt = scenario.now
      await submitSteadily(scenario, RESTORATION_MS + 1_000)
      t.is(scenario.startsIn('derby', changedAt + KNOWN_AFTER_MS).length > 0, !isEvacuatedLast, `changes every ${gapMs} ms`)
    }
  }
})

test('failure: while the store is unavailable the last known list stays in effect', async t => {
  const scenario = await startScenario()
  await scenario.submit({ taskCount: 200, processors: 4_000 })
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(KNOWN_AFTER_MS)
  const evacuatedAt = scenario.now
  scenario.simulation.rows.faultModes.set('all', 'refusing')
  // A feed that was requested before still responds, within a second; the owner holds its term for 1.6 s.
  await scenario.simulation.advance(1_010)
  scenario.simulation.restore('derby')
  await scenario.simulation.advance(400)
  t.true(scenario.startsIn('leeds', evacuatedAt).length > 0)
  t.deepEqual(scenario.startsIn('derby', evacuatedAt), [])
  scenario.simulation.rows.faultModes.clear()
  await scenario.simulation.advance(8_000)
  t.true(scenario.startsIn('derby', evacuatedAt).length > 0)
})

test('failure: the store trims the changes that tell of an evacuation and of a restoration, and the table is read again', async t => {
  const scenario = await startScenario()
  for (const isEvacuating of [true, false]) {
    scenario.simulation.rows.faultModes.set('all', 'silent')
    await scenario.simulation.advance(100)
    if (isEvacuating) scenario.simulation.evacuate('derby')
    else scenario.simulation.restore('derby')
    scenario.simulation.rows.trim()
    scenario.simulation.rows.faultModes.clear()
    await scenario.simulation.advance(2_000)
    const changedAt = scenario.now
    await submitSteadily(scenario, RESTORATION_MS)
    t.is(scenario.startsIn('derby', changedAt).length === 0, isEvacuating)
  }
})

test('failure: the row names an unknown data centre, and all others stay open', async t => {
  const scenario = await startScenario()
  scenario.simulation.evacuate('Derby')
  await submitSteadily(scenario, 2_000)
  t.true(scenario.startsIn('derby').length > 30)
  t.true(scenario.startsIn('leeds').length > 30)
})

test('failure: the workers of an evacuated data centre crash and return as new incarnations, and get no work', async t => {
  const scenario = await startScenario()
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(KNOWN_AFTER_MS)
  const evacuatedAt = scenario.now
  for (const id of scenario.workersIn('derby')) {
    scenario.simulation.worker(id).crash()
    await submitSteadily(scenario, 300)
    scenario.simulation.worker(id).restart()
  }
  await submitSteadily(scenario, 3_000)
  t.deepEqual(scenario.startsIn('derby', evacuatedAt), [])
})

test('failure: two data centres are evacuated in turn, and each is closed exactly while its row exists', async t => {
  const scenario = await startScenario(['derby', 'leeds', 'hull'], () => SHORT, 9)
  const closed = async (dataCentres: readonly string[]): Promise<void> => {
    await submitSteadily(scenario, RESTORATION_MS + 500)
    const from = scenario.now
    await submitSteadily(scenario, 1_000)
    for (const dataCentre of ['derby', 'leeds', 'hull']) t.is(scenario.startsIn(dataCentre, from).length === 0, dataCentres.includes(dataCentre), dataCentre)
  }
  scenario.simulation.evacuate('derby')
  await closed(['derby'])
  scenario.simulation.evacuate('leeds')
  await closed(['derby', 'leeds'])
  scenario.simulation.restore('derby')
  await closed(['leeds'])
  scenario.simulation.restore('leeds')
  await closed([])
})

test('failure: one data centre is lost while another is evacuated, and long-running tasks come back in the third', async t => {
  const scenario = await startScenario(['derby', 'leeds', 'hull'], () => ENDLESS, 9)
  await scenario.submit({ isLasting: true, taskCount: 9, processors: 2_000 })
  await scenario.simulation.advance(1_000)
  scenario.simulation.evacuate('derby')
  await scenario.simulation.advance(KNOWN_AFTER_MS)
  const lostAt = scenario.now
  const inDerby = scenario.runningIn('derby')
  for (const id of scenario.workersIn('leeds')) {
    scenario.simulation.worker(id).crash()
    scenario.simulation.listed.delete(id)
  }
  await scenario.simulation.advance(9_000)
  t.deepEqual(scenario.startsIn('derby', lostAt), [])
  t.is(scenario.runningIn('derby'), inDerby)
  t.is(scenario.runningIn('derby') + scenario.runningIn('hull'), 9)
  t.deepEqual(scenario.simulation.breaches, [])
})

test('a cell whose workers are all evacuated publishes no capacity, and new and untouched jobs go to the other cells', async t => {
  const scenario = new EvacuationScenario(8, ['derby', 'leeds'], () => SHORT, 4)
  const { simulation } = scenario
  simulation.workersPerCell = 4
  for (const worker of simulation.workers.values()) worker.rack = 'r1'
  for (let index = 5; index <= 6; index++) simulation.addNode(`n${index}`)
  await simulation.advance(5_000)
  const loads = (): readonly CellLoad[] => readTerm(simulation.rows.read('terms', cellAt(0), 'term')?.value ?? '')?.cells?.loads ?? []
  const closed = dataCentreOfCell(simulation, 1)
  t.is(loads().length, 2)
  t.not(closed, '')
  simulation.evacuate(closed)
  const evacuatedAt = scenario.now
  const untouched = await Promise.all([1, 2, 3, 4].map(() => scenario.submit({ taskCount: 2 })))
  const job = jobOf('00000000000000f1', [stepOf({ taskCount: 4 })], { acceptedAt: simulation.clock.wallTime() })
  simulation.rows.put('jobs', jobPart(job.id), job.id, encodeJob({ job, cell: cellAt(1) }))
  await simulation.advance(4_000)
  t.deepEqual(loads()[1], { workers: 0, loadPercent: 0, isOwned: true, isEvacuated: true })
  const later = await scenario.submit({ taskCount: 2 })
  await simulation.advance(2_000)
  t.deepEqual(scenario.startsIn(closed, evacuatedAt + KNOWN_AFTER_MS), [])
  for (const id of [...untouched, later, job.id]) t.true(simulation.events.some(({ how, task }) => how === 'done' && task.startsWith(id)), id)
  simulation.restore(closed)
  await simulation.advance(2_000)
  t.is(loads()[1]?.workers, 4)
  t.is(loads()[1]?.isEvacuated, undefined)
  t.deepEqual(simulation.breaches, [])
})
