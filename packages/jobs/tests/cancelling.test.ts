import test from 'ava'
import { AuburnpinError, brand, Err, SeededRandom, SilentLog, SilentMetrics, VirtualClock, type JobId, type Result } from '@auburnpin/common'
import { FakeRows, jobOf, stepOf } from '@auburnpin/fakes'
import { CellChooser, JobRepository, MonitoredStore, RowStore, type RowChanges, type RowPage, type RowTransactionOutcome } from '../src/index.ts'
import { cancelKey, jobPart, JOBS_TABLE } from '../src/rows.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const ID = '00000000000000a1'

test('a cancellation that could not be stored during an outage of the store takes effect after the outage', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf({ isLasting: true })]), 2_000))
  await simulation.advance(500)
  t.is(simulation.worker('w1').running.length, 1)
  simulation.rows.faultModes.set('all', 'silent')
  const cancelled = await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.err)
  simulation.rows.faultModes.clear()
  await simulation.advance(4_000)
  t.is(simulation.worker('w1').running.length, 0)
})

test('a job whose submission is stored only after its cancellation never runs', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  simulation.rows.faultModes.set('n1', 'late')
  t.true((await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf()]), 500))).err)
  simulation.rows.faultModes.clear()
  const cancelled = await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  t.true(cancelled.ok && !cancelled.val)
  await simulation.advance(6_000)
  t.is(simulation.startsOf(`${ID}.0.0.0`), 0)
})

test('the next step of a cancelled job does not start when the last task of the previous step finishes after the cancellation', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: 1_000, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  await simulation.settle(node.jobs.submit(jobOf(ID, [stepOf(), stepOf({ after: [0] })]), 2_000))
  await simulation.advance(300)
  // No order to stop reaches the worker before the task has ended.
  simulation.links.set('w1', 'mute')
  await simulation.settle(node.jobs.cancel(brand<JobId>(ID), 1_000))
  await simulation.advance(1_000)
  simulation.links.clear()
  await simulation.advance(3_000)
  t.is(simulation.startsOf(`${ID}.0.0.0`), 1)
  t.is(simulation.startsOf(`${ID}.0.1.0`), 0)
})

/** A store that is unavailable, or throws, until it is `well`. */
class UnavailableStore extends RowStore {
  readonly #inner: RowStore
  state: 'unavailable' | 'throwing' | 'well' = 'unavailable'
  calls = 0

  constructor (inner: RowStore) {
    super()
    this.#inner = inner
  }

  #call<Value> (call: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    this.calls++
    if (this.state === 'throwing') return Promise.reject(new Error('unexpected'))
    return this.state === 'well' ? call() : Promise.resolve(Err(new AuburnpinError('unreachable', 'The store is unavailable', 'Wait.')))
  }

  transact (...arguments_: Parameters<RowStore['transact']>): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    return this.#call(() => this.#inner.transact(...arguments_))
  }

  range (...arguments_: Parameters<RowStore['range']>): Promise<Result<RowPage, AuburnpinError>> {
    return this.#call(() => this.#inner.range(...arguments_))
  }

  changes (...arguments_: Parameters<RowStore['changes']>): Promise<Result<RowChanges, AuburnpinError>> {
    return this.#call(() => this.#inner.changes(...arguments_))
  }
}

const createRepository = (): Readonly<{ clock: VirtualClock, rows: FakeRows, store: UnavailableStore, jobs: JobRepository }> => {
  const clock = new VirtualClock()
  const rows = new FakeRows(clock)
  const store = new UnavailableStore(rows.clientFor('n1'))
  const monitored = new MonitoredStore(store, clock, new SilentLog(), new SilentMetrics())
  const jobs = new JobRepository(monitored, clock, new SilentLog(), new CellChooser(monitored, clock, new SilentLog(), new SeededRandom(1), () => undefined))
  return { clock, rows, store, jobs }
}

test('a cancellation that is requested again and again while the store is unavailable is retried by one loop', async t => {
  const { clock, store, jobs } = createRepository()
  for (let count = 0; count < 10; count++) await jobs.cancel(brand<JobId>(ID), 1_000)
  store.calls = 0
  await clock.advance(3_000)
  t.true(store.calls > 5 && store.calls <= 11, `${store.calls} calls`)
})

test('a cancellation is stored although its first retry fails unexpectedly', async t => {
  const { clock, rows, store, jobs } = createRepository()
  const id = brand<JobId>(ID)
  t.true((await jobs.cancel(id, 1_000)).err)
  store.state = 'throwing'
  await clock.advance(500)
  store.state = 'well'
  await clock.advance(2_000)
  t.truthy(rows.read(JOBS_TABLE, jobPart(id), cancelKey(id)))
})
