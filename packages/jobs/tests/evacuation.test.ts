import test from 'ava'
import type { CellLoad } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour, type WorkerEvent } from '@auburnpin/fakes'
import { cancelKey, cellAt, encodeJob, encodeRow, jobPart, readTerm } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const SHORT: FakeRunBehaviour = { runMs: 400, ending: 'done' }
const ENDLESS: FakeRunBehaviour = { runMs: 1e9, ending: 'done', startupMs: 100 }
/** Users allow 5 s; here a feed takes 18 ms, and a pass follows within 110 ms. */
const KNOWN_AFTER_MS = 150
const RESTORATION_MS = 4_000
const RESTART_BOUND_MS = 6_000

/** Three workers in each data centre, and two processes. */
class Scenario {
  readonly simulation: JobsSimulation
  #jobs = 0

  constructor (behaviour = SHORT, dataCentres = ['derby', 'leeds', 'hull'], workersPerCell = 250) {
    this.simulation = new JobsSimulation(3 * dataCentres.length, () => behaviour)
    this.simulation.workersPerCell = workersPerCell
    for (const [index, worker] of [...this.simulation.workers.values()].entries()) Object.assign(worker, { zone: dataCentres[index % dataCentres.length], rack: 'r1' })
    for (const name of ['n1', 'n2']) this.simulation.addNode(name)
  }

  get now (): number {
    return this.simulation.clock.now()
  }

  async submit (step: Partial<ReturnType<typeof stepOf>> = {}): Promise<string> {
    const job = jobOf((++this.#jobs).toString(16).padStart(16, '0'), [stepOf(step)], { acceptedAt: this.simulation.clock.wallTime() })
    await this.simulation.settle([...this.simulation.nodes.values()].at(-1)!.jobs.submit(job, 2_000))
    return job.id
  }

  /** Submits some 50 jobs of two tasks each second, as long as there is an owner. */
  async load (ms: number): Promise<void> {
    for (const until = this.now + ms; this.now < until;) {
      for (let count = 0; count < 3; count++) await this.submit({ taskCount: 2 })
      await this.simulation.advance(60)
    }
  }

  startsIn (dataCentre: string, from = 0, to = Infinity): readonly WorkerEvent[] {
    return this.simulation.events.filter(({ kind, worker, at }) => kind === 'started' && at >= from && at < to && this.simulation.worker(worker).zone === dataCentre)
  }

  workersIn (dataCentre: string): readonly string[] {
    return [...this.simulation.workers.values()].filter(({ zone }) => zone === dataCentre).map(({ id }) => id)
  }

  runningIn (...dataCentres: readonly string[]): number {
    return dataCentres.flatMap(one => this.workersIn(one)).reduce((sum, id) => sum + this.simulation.worker(id).running.length, 0)
  }
}

test('nothing starts in an evacuated data centre until its row is deleted, then its workers return over some seconds', async t => {
  const scenario = new Scenario()
  await scenario.load(2_000)
  t.true(scenario.startsIn('derby').length > 10)
  scenario.simulation.evacuate('derby')
  const evacuatedAt = scenario.now
  await scenario.load(4_000)
  const restoredAt = scenario.now
  scenario.simulation.restore('derby')
  t.deepEqual(scenario.startsIn('derby', evacuatedAt + KNOWN_AFTER_MS, restoredAt), [])
  await scenario.load(RESTORATION_MS + 500)
  const firstStarts = scenario.workersIn('derby').map(id => scenario.startsIn('derby', restoredAt).find(({ worker }) => worker === id)?.at ?? Infinity)
  t.true(Math.max(...firstStarts) - Math.min(...firstStarts) > 1_000, firstStarts.join(' '))
  t.true(Math.max(...firstStarts) <= restoredAt + RESTORATION_MS + 500, firstStarts.join(' '))
  t.deepEqual(scenario.simulation.breaches, [])
})

test('what runs in an evacuated data centre continues, is stopped with its job, and comes back elsewhere if it fails', async t => {
  const scenario = new Scenario(ENDLESS, ['derby', 'leeds'])
  const { simulation } = scenario
  await simulation.advance(1_000)
  const cancelled = jobOf(await scenario.submit({ isLasting: true, taskCount: 6, processors: 1_000, maxPerWorker: 1 }), []).id
  await scenario.submit({ isLasting: true, taskCount: 5, processors: 3_000 })
  await simulation.advance(500)
  simulation.evacuate('derby')
  await simulation.advance(20_000)
  t.is(simulation.events.length, 11)
  simulation.rows.put('jobs', jobPart(cancelled), cancelKey(cancelled), encodeRow({ cancelledAt: 0 }))
  await simulation.advance(1_000)
  t.is(scenario.runningIn('derby', 'leeds'), 5)
  const lostAt = scenario.now
  for (const id of scenario.workersIn('derby')) simulation.worker(id).failRuns()
  await simulation.advance(RESTART_BOUND_MS)
  t.deepEqual(scenario.startsIn('derby', lostAt), [])
  t.is(scenario.runningIn('leeds'), 5)
})

test('an order that is decided before the evacuation and not sent yet is dropped', async t => {
  for (const afterMs of [0, 20, 40, 60, 80, 100, 120, 140, 160, 200]) {
    const scenario = new Scenario(SHORT, ['derby'])
    // An idle worker is asked before an order is sent, which takes as long as the owner is slow.
    await scenario.simulation.advance(6_000)
    for (const { processor } of scenario.simulation.nodes.values()) processor.messageMs = 120
    await scenario.submit()
    await scenario.simulation.advance(afterMs)
    scenario.simulation.evacuate('derby')
    const evacuatedAt = scenario.now
    await scenario.simulation.advance(2_000)
    // The feed takes 18 ms; an order sent until then is on its way for 121 ms.
    t.deepEqual(scenario.startsIn('derby', evacuatedAt + 18 + 122), [], `evacuated after ${afterMs} ms`)
    scenario.simulation.restore('derby')
    await scenario.simulation.advance(RESTORATION_MS + 2_000)
    t.is(scenario.startsIn('derby').length, 1, `evacuated after ${afterMs} ms`)
  }
})

/** What goes wrong around the row of derby, which stands at the end. */
const FAILURES: Record<string, (scenario: Scenario) => Promise<void>> = {
  'the row is written, deleted and written again in quick succession': async ({ simulation }) => {
    for (const gapMs of [0, 3, 10, 50, 300, 0]) {
      simulation.evacuate('derby')
      await simulation.advance(gapMs)
      simulation.restore('derby')
      await simulation.advance(gapMs)
    }
    simulation.evacuate('derby')
  },
  'the store trims the changes that tell of the row': async ({ simulation }) => {
    simulation.rows.faultModes.set('all', 'silent')
    await simulation.advance(1_000)
    simulation.evacuate('derby')
    simulation.rows.trim()
    simulation.rows.faultModes.clear()
    await simulation.advance(2_000)
  },
  'the store is unavailable, and the last known list stays in effect': async ({ simulation }) => {
    simulation.evacuate('derby')
    await simulation.advance(KNOWN_AFTER_MS)
    simulation.rows.faultModes.set('all', 'refusing')
    await simulation.advance(4_000)
    simulation.rows.faultModes.clear()
  },
  'the workers of the data centre crash and return as new incarnations': async ({ simulation }) => {
    simulation.evacuate('derby')
    for (const worker of [...simulation.workers.values()].filter(({ zone }) => zone === 'derby')) {
      worker.crash()
      await simulation.advance(700)
      worker.restart()
    }
  },
  'the owner does not know the evacuations, and starts nothing until it has read them': async scenario => {
    const { simulation } = scenario
    simulation.evacuate('derby')
    for (const { name } of [...simulation.nodes.values()]) simulation.nodes.get(name)?.kill()
    simulation.followsEvacuations = false
    const successor = simulation.addNode('n3')
    const from = scenario.now + KNOWN_AFTER_MS
    await scenario.load(6_000)
    if (simulation.owner !== successor) throw new Error('The successor does not own the cell')
    if (simulation.events.some(({ kind, at }) => kind === 'started' && at >= from)) throw new Error('A task has started')
    successor.followEvacuations()
    await simulation.advance(200)
  },
  'another data centre is evacuated and restored in turn': async ({ simulation }) => {
    for (const change of [() => simulation.evacuate('hull'), () => simulation.evacuate('derby'), () => simulation.restore('hull')]) {
      change()
      await simulation.advance(500)
    }
  },
  'another data centre is lost': async ({ simulation }) => {
    simulation.evacuate('derby')
    for (const worker of [...simulation.workers.values()].filter(({ zone }) => zone === 'hull')) {
      worker.crash()
      simulation.listed.delete(worker.id)
    }
  },
  'another row names an unknown data centre': async ({ simulation }) => {
    simulation.evacuate('Leeds')
    simulation.evacuate('derby')
  }
}
for (const killedAfterMs of [0, 10, 20, 60, 100]) {
  FAILURES[`the owner is killed ${killedAfterMs} ms after the row`] = async ({ simulation }) => {
    simulation.evacuate('derby')
    await simulation.advance(killedAfterMs)
    simulation.owner?.kill()
  }
}

for (const [failure, inject] of Object.entries(FAILURES)) {
  test(`failure: ${failure}`, async t => {
    const scenario = new Scenario()
    await scenario.load(1_000)
    await inject(scenario)
    const evacuatedAt = scenario.now
    await scenario.load(6_000)
    t.deepEqual(scenario.startsIn('derby', evacuatedAt + KNOWN_AFTER_MS), [])
    t.true(scenario.startsIn('leeds', evacuatedAt).length > 100)
    scenario.simulation.restore('derby')
    await scenario.load(RESTORATION_MS + 500)
    t.true(scenario.startsIn('derby', evacuatedAt + KNOWN_AFTER_MS).length > 10)
    t.deepEqual(scenario.simulation.breaches, [])
  })
}

test('a cell whose workers are all evacuated publishes no capacity, and new and untouched jobs go to the other cells', async t => {
  const scenario = new Scenario(SHORT, ['derby', 'leeds'], 3)
  const { simulation } = scenario
  await simulation.advance(6_000)
  const published = (): CellLoad | undefined => readTerm(simulation.rows.read('terms', cellAt(0), 'term')?.value ?? '')?.cells?.loads[1]
  const closed = simulation.rows.read('terms', cellAt(0), 'layout-1')?.value.includes('derby') === true ? 'derby' : 'leeds'
  simulation.evacuate(closed)
  const evacuatedAt = scenario.now
  // A job that no other cell can run waits longest, and must not keep the others there.
  const stuck = jobOf('00000000000000f0', [stepOf({ requiredLabel: 'unknown' })], { acceptedAt: simulation.clock.wallTime() })
  simulation.rows.put('jobs', jobPart(stuck.id), stuck.id, encodeJob({ job: stuck, cell: cellAt(1) }))
  await simulation.advance(200)
  const untouched = jobOf('00000000000000f1', [stepOf({ taskCount: 4 })], { acceptedAt: simulation.clock.wallTime() })
  simulation.rows.put('jobs', jobPart(untouched.id), untouched.id, encodeJob({ job: untouched, cell: cellAt(1) }))
  await simulation.advance(4_000)
  t.deepEqual(published(), { workers: 0, loadPercent: 0, isOwned: true, isEvacuated: true })
  const ids = [untouched.id, await scenario.submit(), await scenario.submit()]
  await simulation.advance(2_000)
  t.deepEqual(scenario.startsIn(closed, evacuatedAt + KNOWN_AFTER_MS), [])
  for (const id of ids) t.true(simulation.events.some(({ how, task }) => how === 'done' && task.startsWith(id)), id)
  simulation.restore(closed)
  await simulation.advance(2_000)
  t.is(published()?.workers, 3)
  t.is(published()?.isEvacuated, undefined)
})
