import test, { type ExecutionContext } from 'ava'
import { brand, SeededRandom, type ServiceName, type TaskId } from '@auburnpin/common'
import type { Task, TaskKind } from '@auburnpin/core'
import { IMMEDIATE, type CallDelivery, type FakeTaskBehaviour } from '@auburnpin/fakes'
import type { CellRunner } from '../src/index.ts'
import { specOf, World } from './support/World.ts'

const SIZE = { processors: 0.5, memoryMb: 100, accelerators: 0 }
const CRASHING = 'recipe-import'
const WATCH = 'cream-watch'
const ORDERS = Array.from({ length: 12 }, (_, index) => `order-${index}`)
const VMS = 5
const MAX_CRASHES = 3
const MINUTE_MS = 60_000
const LIST_MS = 1_000
const REQUEST_LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'there' }

const CRASHES_AT_ONCE: FakeTaskBehaviour = { kind: 'crash', afterMs: 10, restartMs: 3_000 }

const behaviourWith = (crashing: FakeTaskBehaviour) => (id: string): FakeTaskBehaviour => {
  if (id === CRASHING) return crashing
  return id === WATCH ? { kind: 'stay' } : { kind: 'finish', afterMs: 4_000 }
}

const taskOf = (runner: CellRunner, id: string): Task | undefined => runner.tasks.get(brand<TaskId>(id))

const openOrThrow = async (world: World, member: string): Promise<CellRunner> => {
  const runner = await world.openWithin(member, MINUTE_MS)
  if (runner === undefined) throw new Error('The cell could not be opened')
  return runner
}

const submitAll = (runner: CellRunner, kind: TaskKind = 'batch'): void => {
  for (const id of ORDERS) void runner.submit(specOf(id, { resources: SIZE }))
  void runner.submit(specOf(WATCH, { kind: 'watch', resources: SIZE }))
  const service = kind === 'replica' ? { service: brand<ServiceName>('stockline') } : {}
  void runner.submit(specOf(CRASHING, { kind, resources: SIZE, ...service }))
}

/** Advances the clock; each second the VMs whose workers are gone for good leave the VM list. */
const advance = async (world: World, runner: CellRunner, durationMs: number): Promise<void> => {
  for (let passed = 0; passed < durationMs; passed += LIST_MS) {
    runner.updateVms(world.listed)
    await world.clock.advance(LIST_MS)
  }
}

const totalCrashes = (world: World): number => [...world.vms.values()].reduce((sum, vm) => sum + vm.crashes, 0)

const assertGivenUp = (t: ExecutionContext, world: World, runner: CellRunner): void => {
  t.deepEqual(world.allBreaches(), [])
  t.deepEqual([world.starts(CRASHING), totalCrashes(world)], [MAX_CRASHES, MAX_CRASHES])
  t.is(taskOf(runner, CRASHING)?.state, 'failed')
  t.is(taskOf(runner, CRASHING)?.reason?.kind, 'crashed-workers')
  for (const id of ORDERS) t.deepEqual([taskOf(runner, id)?.state, world.finishes(id)], ['finished', 1], id)
  t.deepEqual([taskOf(runner, WATCH)?.state, world.runningOn(WATCH).length], ['running', 1])
}

for (const kind of ['batch', 'watch', 'replica'] as const) {
  test(`a ${kind} task that crashes each worker that starts it no longer takes down one after another: it is given up at the third crash`, async t => {
    const world = new World(VMS, behaviourWith(CRASHES_AT_ONCE))
    const runner = await openOrThrow(world, 'a')
    submitAll(runner, kind)
    await advance(world, runner, 5 * MINUTE_MS)
    assertGivenUp(t, world, runner)
  })
}

test('the same with VMs that don\'t come back and leave the VM list', async t => {
  const world = new World(VMS, behaviourWith({ kind: 'crash', afterMs: 10 }))
  const runner = await openOrThrow(world, 'a')
  submitAll(runner)
  const isAlive = (name: string): boolean => world.vms.get(name)?.isDead === false
  for (let passed = 0; passed < 5 * MINUTE_MS; passed += LIST_MS) {
    world.listed = world.listed.filter(({ id }) => isAlive(id))
    await advance(world, runner, LIST_MS)
  }
  assertGivenUp(t, world, runner)
})

test('an owner that takes over between the crashes goes on counting', async t => {
  const world = new World(VMS, behaviourWith(CRASHES_AT_ONCE))
  let runner = await openOrThrow(world, 'a')
  submitAll(runner)
  for (const [count, member] of ['b', 'c', 'd', 'e'].entries()) {
    await world.until(MINUTE_MS, () => totalCrashes(world) > count)
    await advance(world, runner, 2_000)
    runner = await openOrThrow(world, member)
    await advance(world, runner, 2_000)
  }
  await advance(world, runner, MINUTE_MS)
  assertGivenUp(t, world, runner)
})

test('a crash that only the next owner learns of counts as well', async t => {
  const world = new World(VMS, behaviourWith(CRASHES_AT_ONCE))
  const first = await openOrThrow(world, 'a')
  submitAll(first)
  await world.until(MINUTE_MS, () => totalCrashes(world) > 0)
  world.link.setDeliveryPolicy(from => from === 'a' ? REQUEST_LOST : IMMEDIATE)
  const runner = await openOrThrow(world, 'b')
  await advance(world, runner, 2 * MINUTE_MS)
  assertGivenUp(t, world, runner)
})

// Each worker crashes about once a minute; the target is 290 of 19,000 VMs a day.
test('days with crashes and without such a task give nothing up', async t => {
  for (let seed = 1; seed <= 10; seed++) {
    const random = new SeededRandom(seed)
    const world = new World(VMS, behaviourWith({ kind: 'stay' }))
    const runner = await openOrThrow(world, 'a')
    submitAll(runner, 'watch')
    const vms = [...world.vms.values()]
    for (let round = 0; round < 50; round++) {
      await advance(world, runner, 7_000)
      await world.clock.advance(random.below(10_000))
      const vm = vms[random.below(vms.length)]
      if (vm === undefined || vm.isDead) continue
      vm.kill()
      world.clock.after(random.below(8_000), () => vm.restart())
    }
    await advance(world, runner, 2 * MINUTE_MS)
    t.deepEqual(world.allBreaches(), [], `seed ${seed}`)
    for (const id of ORDERS) t.is(taskOf(runner, id)?.state, 'finished', `seed ${seed}: ${id}`)
    for (const id of [WATCH, CRASHING]) t.is(taskOf(runner, id)?.state, 'running', `seed ${seed}: ${id}`)
  }
})

test('several such tasks among others are given up, and nothing that was lost beside them', async t => {
  const crashing = [CRASHING, 'price-import', 'label-import']
  for (let seed = 1; seed <= 20; seed++) {
    const random = new SeededRandom(seed)
    const world = new World(VMS, id => crashing.includes(id) ? CRASHES_AT_ONCE : behaviourWith(CRASHES_AT_ONCE)(id))
    const runner = await openOrThrow(world, 'a')
    submitAll(runner)
    for (let round = 0; round < 40; round++) {
      void runner.submit(specOf(`late-order-${round}`, { resources: SIZE }))
      if (round % 5 === 1) void runner.submit(specOf(crashing[(round - 1) / 5] ?? `late-order-${round}b`, { resources: SIZE }))
      runner.updateVms(world.listed)
      await world.clock.advance(random.below(2_000))
    }
    await advance(world, runner, 2 * MINUTE_MS)
    t.deepEqual(world.allBreaches(), [], `seed ${seed}`)
    const failed = [...runner.tasks.values()].filter(({ state }) => state === 'failed').map(({ spec }) => spec.id)
    t.deepEqual(failed.sort(), crashing.map(id => brand<TaskId>(id)).sort(), `seed ${seed}`)
    for (const id of crashing) t.true(world.starts(id) <= MAX_CRASHES, `seed ${seed}: ${id}`)
    t.is(taskOf(runner, WATCH)?.state, 'running', `seed ${seed}`)
  }
})

test('a task that was seen alive for a time is not given up, however many of its workers crash later', async t => {
  const world = new World(VMS, behaviourWith({ kind: 'stay' }))
  const runner = await openOrThrow(world, 'a')
  submitAll(runner, 'watch')
  for (let count = 0; count < 2 * MAX_CRASHES; count++) {
    await advance(world, runner, 10_000)
    const [name] = world.runningOn(CRASHING)
    const vm = world.vms.get(name ?? '')
    vm?.kill()
    world.clock.after(2_000, () => vm?.restart())
  }
  await advance(world, runner, MINUTE_MS)
  t.is(taskOf(runner, CRASHING)?.state, 'running')
  t.is(totalCrashes(world), 2 * MAX_CRASHES)
})

test('workers that are cut off right after a start and come back in the same incarnation don\'t count', async t => {
  const cutOff = new Set<string>()
  const started: string[] = []
  const world = new World(VMS, id => {
    if (id === CRASHING) {
      for (const name of world.runningOn(CRASHING)) if (!cutOff.has(name) && started.length < 2 * MAX_CRASHES) cutOff.add(name)
      started.push(id)
    }
    return { kind: 'stay' }
  })
  world.link.setDeliveryPolicy((_from, to) => cutOff.has(to) ? REQUEST_LOST : IMMEDIATE)
  const runner = await openOrThrow(world, 'a')
  void runner.submit(specOf(CRASHING, { kind: 'watch', resources: SIZE }))
  for (let count = 0; count < 2 * MAX_CRASHES; count++) {
    await advance(world, runner, 40_000)
    cutOff.clear()
    await advance(world, runner, 5_000)
  }
  await advance(world, runner, MINUTE_MS)
  t.true(world.starts(CRASHING) > MAX_CRASHES)
  t.is(taskOf(runner, CRASHING)?.state, 'running')
})
