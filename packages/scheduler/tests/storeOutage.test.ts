import test, { type ExecutionContext } from 'ava'
import { brand, SeededRandom, type AuburnpinError, type Result, type TaskId } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { IMMEDIATE, type FakeTaskBehaviour, type CallDelivery } from '@auburnpin/fakes'
import { MAX_PENDING_STEPS, JOURNAL_STALL_TIMEOUT_MS, type CellRunner } from '../src/index.ts'
import { specOf, World } from './support/World.ts'

const HOUR_MS = 3_600_000
const MINUTE_MS = 60_000
const SMALL = { processors: 0.1, memoryMb: 10, accelerators: 0 }
const WATCH = 'cream-watch'

const behaviourOf = (id: string): FakeTaskBehaviour => {
  if (id.startsWith('short')) return { kind: 'finish', afterMs: 10_000 }
  if (id.startsWith('long')) return { kind: 'finish', afterMs: HOUR_MS / 2 }
  return { kind: 'stay' }
}

const stateOf = (runner: CellRunner | undefined, id: string): string | undefined => runner?.tasks.get(brand<TaskId>(id))?.state

const setStoreDelivery = (world: World, deliveryOf: () => CallDelivery): void =>
  world.link.setDeliveryPolicy((_from, to) => to === 'store' ? deliveryOf() : IMMEDIATE)

const REFUSED: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'refused' }

const startTasks = async (t: ExecutionContext): Promise<Readonly<{ world: World, runner: CellRunner }>> => {
  const world = new World(2, behaviourOf)
  const runner = await world.openWithin('a', MINUTE_MS)
  if (runner === undefined) throw new Error('The cell could not be opened')
  for (const id of ['short-1', 'long-1']) void runner.submit(specOf(id, { resources: SMALL }))
  void runner.submit(specOf(WATCH, { kind: 'watch', resources: SMALL }))
  t.true(await world.until(MINUTE_MS, () => [WATCH, 'short-1', 'long-1'].every(id => world.runningOn(id).length === 1)))
  return { world, runner }
}

test('the store is unavailable for an hour: running tasks continue, no task starts, and only durable states are reported', async t => {
  const { world, runner } = await startTasks(t)
  setStoreDelivery(world, () => REFUSED)
  const results: Array<Result<Task, AuburnpinError>> = []
  let mostBacklog = 0
  for (let minute = 0; minute < 60; minute++) {
    void runner.submit(specOf(`late-${minute}`, { resources: SMALL })).then(result => results.push(result))
    await world.clock.advance(MINUTE_MS)
    mostBacklog = Math.max(mostBacklog, runner.backlog)
    t.is(world.runningOn(WATCH).length, 1)
  }
  t.is(world.finishes('short-1'), 1)
  t.is(stateOf(runner, 'short-1'), 'running')
  t.true(results.every(result => result.err && result.val.kind === 'overloaded'))
  t.is(results.length, 59)
  t.true(mostBacklog < 100, String(mostBacklog))
  t.is(world.starts('late-0') + world.starts('late-59'), 0)
  setStoreDelivery(world, () => IMMEDIATE)
  t.true(await world.until(MINUTE_MS, () => ['short-1', 'long-1'].every(id => stateOf(runner, id) === 'finished')))
  t.true(await world.until(MINUTE_MS, () => world.runningOn('late-0').length === 1))
  t.is(stateOf(runner, 'late-59'), undefined)
  for (const id of ['short-1', 'long-1', WATCH, 'late-0']) t.is(world.starts(id), 1, id)
  t.deepEqual(world.allBreaches(), [])
})

const FLOOD = 5_000

test('excess submissions during an outage are refused early, and memory stays bounded', async t => {
  const { world, runner } = await startTasks(t)
  setStoreDelivery(world, () => REFUSED)
  const kinds: string[] = []
  for (let index = 0; index < FLOOD; index++) {
    void runner.submit(specOf(`flood-${index}`, { resources: SMALL })).then(result => kinds.push(result.err ? result.val.kind : 'accepted'))
    if (index % 100 === 99) await world.clock.advance(20)
  }
  t.true(runner.backlog <= MAX_PENDING_STEPS + 100, String(runner.backlog))
  t.true(kinds.length >= FLOOD - MAX_PENDING_STEPS - 100)
  t.deepEqual([...new Set(kinds)], ['overloaded'])
  setStoreDelivery(world, () => IMMEDIATE)
  await world.clock.advance(MINUTE_MS)
  t.is(kinds.length, FLOOD)
  const accepted = kinds.filter(kind => kind === 'accepted').length
  t.is([...runner.tasks.values()].filter(task => task.spec.id.startsWith('flood')).length, accepted)
})

const random = new SeededRandom(7)
const FAULTY_STORES: Readonly<Record<string, () => CallDelivery>> = {
  'takes 5 s per call': () => ({ requestDelayMs: 2_500, responseDelayMs: 2_500, loss: 'none' }),
  'fails half of the calls': () => random.fraction() < 0.5 ? (random.fraction() < 0.5 ? REFUSED : { ...IMMEDIATE, loss: 'back' }) : IMMEDIATE
}

for (const [name, deliveryOf] of Object.entries(FAULTY_STORES)) {
  test(`a store that ${name} delays tasks but violates no invariant`, async t => {
    const { world, runner } = await startTasks(t)
    setStoreDelivery(world, deliveryOf)
    const ids = Array.from({ length: 10 }, (_, index) => `short-${index + 2}`)
    for (const id of ids) void runner.submit(specOf(id, { resources: SMALL }))
    t.true(await world.until(5 * MINUTE_MS, () => ids.every(id => stateOf(runner, id) === 'finished')))
    for (const id of ids) t.deepEqual([world.starts(id), world.finishes(id)], [1, 1], id)
    t.deepEqual(world.allBreaches(), [])
  })
}

test('submissions to a fenced owner get a result: unknown-outcome for the one in flight, fenced for the rest', async t => {
  const { world, runner } = await startTasks(t)
  world.link.setDeliveryPolicy((from, to) => from === 'a' && to === 'store' ? REFUSED : IMMEDIATE)
  const kinds = new Map<string, string>()
  const submit = (id: string): void => {
    void runner.submit(specOf(id, { resources: SMALL })).then(result => kinds.set(id, result.err ? result.val.kind : 'accepted'))
  }
  submit('first')
  await world.clock.advance(100)
  submit('second')
  await world.clock.advance(JOURNAL_STALL_TIMEOUT_MS / 4)
  const second = await world.openWithin('b', MINUTE_MS)
  t.truthy(second)
  world.link.setDeliveryPolicy(() => IMMEDIATE)
  await world.clock.advance(MINUTE_MS)
  t.deepEqual([...kinds], [['second', 'fenced'], ['first', 'unknown-outcome']])
  submit('third')
  await world.clock.advance(100)
  t.is(kinds.get('third'), 'fenced')
  t.is(stateOf(second, 'first'), undefined)
})

test('an owner that has nothing to write is notified by a worker that it has been taken over', async t => {
  const world = new World(1, behaviourOf)
  let isLost = false
  await world.openWithin('a', MINUTE_MS, () => { isLost = true })
  await world.openWithin('b', MINUTE_MS)
  t.true(await world.until(MINUTE_MS, () => isLost))
})

test('a step that throws stops the runner; the cell is recovered from its journal', async t => {
  const world = new World(2, behaviourOf)
  let isLost = false
  const runner = await world.openWithin('a', MINUTE_MS, () => { isLost = true })
  void runner?.submit(specOf(WATCH, { kind: 'watch', resources: SMALL }))
  t.true(await world.until(MINUTE_MS, () => world.runningOn(WATCH).length === 1))
  runner?.updateVms([{ ...world.listed[0], resources: undefined } as never, ...world.listed.slice(1)])
  void runner?.submit(specOf('short-1', { resources: SMALL }))
  t.true(await world.until(MINUTE_MS, () => isLost))
  const result = await runner?.submit(specOf('short-1', { resources: SMALL }))
  t.is(result?.err && result.val.kind, 'fenced')
  const again = await world.openWithin('a', MINUTE_MS)
  void again?.submit(specOf('short-1', { resources: SMALL }))
  t.true(await world.until(MINUTE_MS, () => stateOf(again, 'short-1') === 'finished'))
  t.is(stateOf(again, WATCH), 'running')
  t.is(world.starts(WATCH), 1)
})
