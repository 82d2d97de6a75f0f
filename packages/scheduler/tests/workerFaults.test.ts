import test, { type ExecutionContext } from 'ava'
import { brand, SeededRandom, type TaskId } from '@auburnpin/common'
import { IMMEDIATE, type CallDelivery, type FakeTaskBehaviour } from '@auburnpin/fakes'
import type { CellRunner } from '../src/index.ts'
import { specOf, World } from './support/World.ts'

const SIZE = { processors: 1, memoryMb: 100, accelerators: 0 }
const ORDERS = ['order-1', 'order-2', 'order-3']
const WATCH = 'cream-watch'
const REQUEST_LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'there' }
const RESPONSE_LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'back' }
const MINUTE_MS = 60_000
const SCENARIO_MS = 8_000
const LIST_MS = 1_000

const behaviourOf = (id: string): FakeTaskBehaviour => id === WATCH ? { kind: 'stay' } : { kind: 'finish', afterMs: 2_000 + 2_000 * ORDERS.indexOf(id) }

const stateOf = (runner: CellRunner, id: string): string | undefined => runner.tasks.get(brand<TaskId>(id))?.state

const openWithTasks = async (): Promise<Readonly<{ world: World, runner: CellRunner }>> => {
  const world = new World(2, behaviourOf)
  const runner = await world.openWithin('a', MINUTE_MS)
  if (runner === undefined) throw new Error('The cell could not be opened')
  for (const id of ORDERS) void runner.submit(specOf(id, { resources: SIZE }))
  void runner.submit(specOf(WATCH, { kind: 'watch', resources: SIZE }))
  return { world, runner }
}

/** Advances the clock, updating the VM list each second as the scheduler does. */
const advanceWithVmList = async (world: World, runner: CellRunner, durationMs: number, list: () => World['listed'] = () => world.listed): Promise<void> => {
  for (let passed = 0; passed < durationMs; passed += LIST_MS) {
    runner.updateVms(list())
    await world.clock.advance(LIST_MS)
  }
}

const assertConsistent = (t: ExecutionContext, world: World, runner: CellRunner, where: string): void => {
  t.deepEqual(world.allBreaches(), [], where)
  for (const id of ORDERS) t.deepEqual([stateOf(runner, id), world.finishes(id)], ['finished', 1], `${where}: ${id}`)
  t.is(stateOf(runner, WATCH), 'running', where)
  t.is(world.runningOn(WATCH).length, 1, where)
}

for (const [name, delivery] of [['calls to it are lost', REQUEST_LOST], ['its responses are lost', RESPONSE_LOST]] as const) {
  test(`a worker is disconnected at each second of the scenario, for less and for more than its lease: ${name}`, async t => {
    for (const outageMs of [5_000, 40_000]) {
      for (let atMs = 0; atMs <= SCENARIO_MS; atMs += 1_000) {
        const { world, runner } = await openWithTasks()
        await advanceWithVmList(world, runner, atMs)
        world.link.setDeliveryPolicy((_from, to) => to === 'vm-1' ? delivery : IMMEDIATE)
        await advanceWithVmList(world, runner, outageMs)
        world.link.setDeliveryPolicy(() => IMMEDIATE)
        await advanceWithVmList(world, runner, MINUTE_MS)
        assertConsistent(t, world, runner, `disconnected for ${outageMs} ms at ${atMs} ms`)
      }
    }
  })
}

test('a worker that one member cannot reach keeps its tasks when a member that can reach it takes over', async t => {
  const { world, runner } = await openWithTasks()
  await advanceWithVmList(world, runner, 3_000)
  world.link.setDeliveryPolicy((from, to) => from === 'a' && to === 'vm-1' ? REQUEST_LOST : IMMEDIATE)
  await advanceWithVmList(world, runner, 5_000)
  const second = await world.openWithin('b', MINUTE_MS)
  if (second === undefined) throw new Error('The cell could not be taken over')
  await advanceWithVmList(world, second, MINUTE_MS)
  assertConsistent(t, world, second, 'taken over')
  t.is(world.starts(WATCH), 1)
})

test('responses of workers arrive late, twice because of repeated calls, or not at all', async t => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new SeededRandom(seed)
    const { world, runner } = await openWithTasks()
    const randomDelivery = (): CallDelivery => {
      const chance = random.fraction()
      if (chance < 0.15) return REQUEST_LOST
      if (chance < 0.3) return RESPONSE_LOST
      return { requestDelayMs: random.below(6_000), responseDelayMs: random.below(6_000), loss: 'none' }
    }
    world.link.setDeliveryPolicy((_from, to) => to.startsWith('vm-') ? randomDelivery() : IMMEDIATE)
    await advanceWithVmList(world, runner, 2 * MINUTE_MS)
    t.deepEqual(world.allBreaches(), [], `seed ${seed}`)
    world.link.setDeliveryPolicy(() => IMMEDIATE)
    await advanceWithVmList(world, runner, MINUTE_MS)
    assertConsistent(t, world, runner, `seed ${seed}`)
  }
})

for (const [name, list] of [['empty', []], ['missing a VM that responds', undefined]] as const) {
  test(`a VM list that is ${name} for a while ends no task`, async t => {
    const { world, runner } = await openWithTasks()
    await advanceWithVmList(world, runner, 2_000)
    await advanceWithVmList(world, runner, 40_000, () => list === undefined ? world.listed.slice(1) : [])
    await advanceWithVmList(world, runner, MINUTE_MS)
    assertConsistent(t, world, runner, name)
    for (const id of [...ORDERS, WATCH]) t.is(world.starts(id), 1, id)
  })
}

test('a VM is killed at each second of the scenario: its tasks resume elsewhere, once', async t => {
  for (let atMs = 1_000; atMs <= SCENARIO_MS; atMs += 1_000) {
    const { world, runner } = await openWithTasks()
    await advanceWithVmList(world, runner, atMs)
    world.vms.get('vm-1')?.kill()
    world.listed = world.listed.slice(1)
    await advanceWithVmList(world, runner, MINUTE_MS)
    t.deepEqual(world.allBreaches(), [], `at ${atMs} ms`)
    for (const id of ORDERS) t.is(stateOf(runner, id), 'finished', `at ${atMs} ms: ${id}`)
    t.deepEqual(world.runningOn(WATCH), ['vm-2'], `at ${atMs} ms`)
  }
})
