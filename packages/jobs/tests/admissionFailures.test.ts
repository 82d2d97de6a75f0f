import test from 'ava'
import { brand, Log, SilentLog, SilentMetrics, type Instant, type LogLevel } from '@auburnpin/common'
import type { PublishedWaits } from '@auburnpin/core'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { AdmissionControl } from '../src/index.ts'
import { MAX_UNCERTAIN_SUBMISSIONS } from '../src/constants.ts'
import { UncertainSubmissions } from '../src/UncertainSubmissions.ts'
import { AdmissionLoad } from './support/AdmissionLoad.ts'
import { JobsSimulation, type Node } from './support/JobsSimulation.ts'

const SECOND_MS = 1_000
const PLAN = { seed: 3, workers: 6, durationMs: 24_000, factorAt: () => 3, isAdmissionOn: true, estimateError: 0.35, fillerShare: 0.5 }
const HOPELESS: PublishedWaits = { cells: [{ drafts: { sizes: [1, 2, 3], waits: [60_000, 60_000, 60_000, 60_000] } }], ageMs: 0 }
const JOB = jobOf('00000000000000a1', [stepOf({ taskCount: 3 })])

/** Admission control of a process that sees a hopeless forecast. */
const hopelessControl = ({ jobs, clock }: Node): AdmissionControl => new AdmissionControl({ jobs, waitsFor: () => HOPELESS, backlogsFor: () => undefined, keptTasksFor: () => undefined, clock, log: new SilentLog(), metrics: new SilentMetrics() })

const startNodes = async (): Promise<[JobsSimulation, Node, Node]> => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 300, ending: 'done' }))
  const nodes = ['n1', 'n2'].map(name => simulation.addNode(name))
  await simulation.advance(2 * SECOND_MS)
  return [simulation, nodes[0]!, nodes[1]!]
}

/** Collects the messages of warnings. */
class WarningLog extends Log {
  readonly warnings: string[] = []

  write (level: LogLevel, message: string): void {
    if (level === 'warn') this.warnings.push(message)
  }

  forComponent (): Log {
    return this
  }
}

test('failure: the owner dies. Old forecasts refuse nothing, and the next owner forecasts anew', async t => {
  const load = new AdmissionLoad(PLAN)
  const { simulation } = load
  let killedAt = Infinity
  let ownedAt = Infinity
  await load.run(atMs => {
    if (atMs === 10 * SECOND_MS) {
      simulation.owner?.kill()
      killedAt = simulation.clock.now()
    } else if (atMs > 10 * SECOND_MS && simulation.owner !== undefined) ownedAt = Math.min(ownedAt, simulation.clock.now())
  })
  t.true(load.refusals.some(({ at }) => at < killedAt))
  t.deepEqual(load.refusals.filter(({ at }) => at > killedAt + 2_600 && at < ownedAt), [])
  t.true(load.refusals.some(({ at }) => at > ownedAt))
  t.deepEqual(simulation.breaches, [])
})

test('failure: the store is unavailable. Admission control refuses nothing then, and submissions fail as without it', async t => {
  const load = new AdmissionLoad(PLAN)
  const { simulation } = load
  await load.run(atMs => {
    if (atMs === 10 * SECOND_MS) simulation.rows.faultModes.set('all', 'refusing')
    if (atMs === 14 * SECOND_MS) simulation.rows.faultModes.delete('all')
  })
  const startedAt = load.submissions.values().next().value!.sentAt
  t.true(load.refusals.some(({ at }) => at < startedAt + 10 * SECOND_MS))
  t.deepEqual(load.refusals.filter(({ at }) => at > startedAt + 10.2 * SECOND_MS && at < startedAt + 14 * SECOND_MS), [])
  t.true([...load.submissions.values()].some(({ acceptedAt, refusals }) => acceptedAt === undefined && refusals === 0))
  t.deepEqual(simulation.breaches, [])
})

test('failure: a submission has an unknown outcome. The job is not refused by the process that knows, while it may still be stored', async t => {
  const [simulation, node] = await startNodes()
  const control = hopelessControl(node)
  simulation.rows.faultModes.set('n1', 'late')
  const submitted = await simulation.settle(node.jobs.submit(JOB, 1_000))
  t.true(submitted.err && submitted.val.kind === 'unknown-outcome')
  simulation.rows.faultModes.delete('n1')
  await simulation.advance(500)
  t.is(await simulation.settle(control.refusalOf(JOB)), undefined)
  t.not(await simulation.settle(control.refusalOf({ ...JOB, id: brand('00000000000000a2') })), undefined)
})

test('failure: a submission is still in progress at another request. The job is not refused', async t => {
  const [simulation, node] = await startNodes()
  simulation.rows.faultModes.set('n1', 'silent')
  const submitting = node.jobs.submit(JOB, 3_000)
  t.is(await simulation.settle(hopelessControl(node).refusalOf(JOB)), undefined)
  t.true((await simulation.settle(submitting)).err)
})

test('failure: another process has stored the job and its response was lost. The job is not refused', async t => {
  const [simulation, first, second] = await startNodes()
  await simulation.settle(first.jobs.submit(JOB, 2_000))
  t.is(await simulation.settle(hopelessControl(second).refusalOf(JOB)), undefined)
})

test('failure: the store does not answer the question for the row. The job is not refused', async t => {
  const [simulation, node] = await startNodes()
  simulation.rows.faultModes.set('n1', 'silent')
  const askedAt = simulation.clock.now()
  t.is(await simulation.settle(hopelessControl(node).refusalOf(JOB)), undefined)
  t.true(simulation.clock.now() - askedAt < 500)
})

test('a refused job is not stored and never runs', async t => {
  const [simulation, node] = await startNodes()
  const refusal = await simulation.settle(hopelessControl(node).refusalOf(JOB))
  t.true(refusal!.retryAfterMs >= SECOND_MS)
  await simulation.advance(5 * SECOND_MS)
  t.is((await simulation.settle(node.jobs.phaseOf(JOB.id))).unwrap(), undefined)
  t.deepEqual(simulation.events, [])
})

test('failure: more outcomes are unknown than are remembered. Every job counts as uncertain until the forgotten ones are certain', t => {
  const submissions = new UncertainSubmissions()
  const now = brand<Instant>(1_000)
  const idOf = (index: number): typeof JOB.id => brand(index.toString(16).padStart(16, '0'))
  for (let index = 0; index <= MAX_UNCERTAIN_SUBMISSIONS; index++) {
    submissions.begin(idOf(index))
    submissions.end(idOf(index), true, now)
  }
  t.true(submissions.has(idOf(0), now))
  t.true(submissions.has(JOB.id, brand<Instant>(now + 59_000)))
  t.false(submissions.has(JOB.id, brand<Instant>(now + 60_000)))
})

test('failure: a row has unreadable forecasts. Nothing is refused by it, and it is logged once', async t => {
  const term = { holder: 'other', life: 'x', epoch: 1, commit: 1, pending: {}, workers: 2 }
  for (const waits of ['soon', { drafts: { sizes: [1], waits: [5] } }, { drafts: { sizes: [], waits: [-1] } }, { drafts: null }, []]) {
    const simulation = new JobsSimulation(2, () => ({ runMs: 300, ending: 'done' }))
    const log = new WarningLog()
    simulation.log = log
    simulation.rows.put('terms', 'cell-0', 'term', JSON.stringify({ ...term, waits }))
    const node = simulation.addNode('n1')
    await simulation.advance(1_200)
    t.deepEqual(node.election.waitsFor(JOB)?.cells, [undefined], JSON.stringify(waits))
    t.is(log.warnings.filter(message => message.startsWith('The forecast of waits')).length, 1, JSON.stringify(waits))
  }
})

test('failure: an owner stops renewing. The age of its forecast counts from when a process first saw it', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 300, ending: 'done' }))
  const waits = { drafts: { sizes: [1], waits: [0, 5_000] } }
  simulation.rows.put('terms', 'cell-0', 'term', JSON.stringify({ holder: 'other', life: 'x', epoch: 1, commit: 1, pending: {}, workers: 2, waits }))
  const node = simulation.addNode('n1')
  await simulation.advance(300)
  const first = node.election.waitsFor(JOB)
  t.deepEqual(first?.cells, [waits])
  await simulation.advance(1_000)
  t.is(node.election.waitsFor(JOB)?.ageMs, (first?.ageMs ?? 0) + 1_000)
})

test('failure: the owner of one of several cells dies. Its forecast no longer counts for jobs that it could run', async t => {
  const simulation = new JobsSimulation(12, () => ({ runMs: 1_500, ending: 'done' }))
  simulation.workersPerCell = 4
  simulation.admission = 'waits'
  for (let index = 1; index <= 4; index++) simulation.addNode(`n${index}`)
  await simulation.advance(4 * SECOND_MS)
  const jobs = Array.from({ length: 60 }, (_, index) => jobOf(index.toString(16).padStart(16, '0'), [stepOf({ taskCount: 20, estimateMs: 1_500 })], { acceptedAt: simulation.clock.wallTime(), policy: { ...JOB.policy, objectiveMs: 60_000 } }))
  await simulation.settle(Promise.all(jobs.map((job, index) => [...simulation.nodes.values()][index % 4]!.jobs.submit(job, 2_000))))
  await simulation.advance(3 * SECOND_MS)
  const waitsOf = ({ election }: Node): PublishedWaits | undefined => election.waitsFor(JOB)
  for (const node of simulation.nodes.values()) t.is(waitsOf(node)?.cells.filter(waits => waits?.drafts !== undefined).length, 3)
  const victim = [...simulation.nodes.values()].find(({ election }) => election.ownedCells.includes(brand('cell-1')) && !election.ownedCells.includes(brand('cell-0')))
  t.truthy(victim)
  victim?.kill()
  await simulation.advance(2_400)
  for (const node of simulation.nodes.values()) t.true((waitsOf(node)?.cells.filter(waits => waits?.drafts !== undefined).length ?? 0) < 3)
})

const BACKLOG = { 'filler desk': [{ priority: 0, drainMs: 40_000, limitMs: 10_000, typicalSize: 1_000 }] }

// Guards against jobs that are accepted without a limit while the owner changes, and against a value that outlives what it measures.
for (const admission of ['backlog', 'off'] as const) {
  test(`failure: the owner dies. The next one ${admission === 'off' ? 'that measures no backlog publishes none' : 'publishes its backlog until it has measured its own'}`, async t => {
    const simulation = new JobsSimulation(2, () => ({ runMs: 300, ending: 'done' }))
    simulation.admission = admission
    simulation.rows.put('terms', 'cell-0', 'term', JSON.stringify({ holder: 'other', life: 'x', epoch: 1, commit: 1, pending: {}, workers: 2, backlog: BACKLOG }))
    simulation.addNode('n1')
    const published: unknown[] = []
    for (let ms = 0; ms < 12_000; ms += 100) {
      await simulation.advance(100)
      const term = JSON.parse(simulation.rows.read('terms', 'cell-0', 'term')!.value)
      if (term.holder === 'n1') published.push(term.backlog)
    }
    if (admission === 'backlog') t.deepEqual(published[0], BACKLOG)
    t.true(published.length > 0)
    t.is(published.at(-1), undefined)
  })
}
