import test, { type ExecutionContext } from 'ava'
import { brand, type TaskId } from '@auburnpin/common'
import type { FakeTaskBehaviour } from '@auburnpin/fakes'
import type { CellRunner } from '../src/index.ts'
import { FaultInjector, type Fault, type FaultKind } from './support/faults.ts'
import { specOf, World } from './support/World.ts'

const SHORT_TASK = 'order-1'
const LONG_TASK = 'order-2'
const CANCELLED_TASK = 'order-3'
const WATCH = 'cream-watch'
const LEAVING_AT_MS = 3_000
const CANCEL_AT_MS = 4_000
const SCENARIO_MS = 9_000
const SETTLE_TIMEOUT_MS = 60_000

const behaviourOf = (id: string): FakeTaskBehaviour => {
  if (id === SHORT_TASK) return { kind: 'finish', afterMs: 2_000 }
  if (id === LONG_TASK) return { kind: 'finish', afterMs: 6_000 }
  return { kind: 'stay' }
}

type Outcome = Readonly<{ world: World, last: CellRunner | undefined, calls: number, hasInjected: boolean }>

const markVmLeaving = (world: World): void => {
  const [leaving] = world.runningOn(LONG_TASK)
  world.listed = world.listed.map(vm => ({ ...vm, isLeaving: vm.address === leaving }))
}

/**
 * Runs two batch tasks, a watch, a cancelled task and a VM that leaves. `fault` is injected into the first owner;
 * a second one takes over after `takeoverDelayMs`.
 */
const runScenario = async (fault: Fault, takeoverDelayMs: number | undefined): Promise<Outcome> => {
  const world = new World(2, behaviourOf)
  const injector = new FaultInjector(world.clock, fault)
  world.link.setDeliveryPolicy(injector.deliveryPolicy)
  const first = await world.openWithin('a', SCENARIO_MS)
  for (const id of [SHORT_TASK, LONG_TASK, CANCELLED_TASK]) void first?.submit(specOf(id, { resources: { processors: 1, memoryMb: 100, accelerators: 0 } }))
  void first?.submit(specOf(WATCH, { kind: 'watch' }))
  await world.clock.advance(LEAVING_AT_MS)
  markVmLeaving(world)
  first?.updateVms(world.listed)
  await world.clock.advance(CANCEL_AT_MS - LEAVING_AT_MS)
  void first?.cancel(brand<TaskId>(CANCELLED_TASK))
  await world.clock.advance(SCENARIO_MS - CANCEL_AT_MS)
  if (takeoverDelayMs === undefined) return { world, last: first, calls: injector.calls, hasInjected: injector.hasInjected }
  await world.clock.advance(takeoverDelayMs)
  const second = await world.openWithin('b', SCENARIO_MS)
  // The callers repeat their requests, since some got no response; accepted tasks must not be accepted twice.
  for (const id of [SHORT_TASK, LONG_TASK, CANCELLED_TASK]) void second?.submit(specOf(id, { resources: { processors: 1, memoryMb: 100, accelerators: 0 } }))
  void second?.submit(specOf(WATCH, { kind: 'watch' }))
  void second?.cancel(brand<TaskId>(CANCELLED_TASK))
  await world.until(SETTLE_TIMEOUT_MS, () => isSettled(world, second))
  return { world, last: second, calls: injector.calls, hasInjected: injector.hasInjected }
}

const isSettled = (world: World, runner: CellRunner | undefined): boolean =>
  stateOf(runner, SHORT_TASK) === 'finished' && stateOf(runner, LONG_TASK) === 'finished' &&
  stateOf(runner, CANCELLED_TASK) === 'cancelled' && stateOf(runner, WATCH) === 'running' &&
  world.runningOn(CANCELLED_TASK).length === 0

const stateOf = (runner: CellRunner | undefined, id: string): string | undefined => runner?.tasks.get(brand<TaskId>(id))?.state

const assertConsistent = (t: ExecutionContext, { world, last }: Outcome, where: string): void => {
  t.deepEqual(world.allBreaches(), [], where)
  t.is(world.finishes(SHORT_TASK), 1, `${where}: ${SHORT_TASK}`)
  t.is(world.finishes(LONG_TASK), 1, `${where}: ${LONG_TASK}`)
  t.deepEqual(
    [SHORT_TASK, LONG_TASK, CANCELLED_TASK, WATCH].map(id => stateOf(last, id)), ['finished', 'finished', 'cancelled', 'running'], where
  )
  t.is(world.runningOn(WATCH).length, 1, where)
  t.deepEqual(world.runningOn(CANCELLED_TASK), [], where)
}

const NEVER: Fault = { member: 'a', call: Infinity, kind: 'paused', pauseMs: 0 }

test('without a fault all tasks reach their final state, and the evicted task resumes once from its checkpoint', async t => {
  const outcome = await runScenario(NEVER, 0)
  assertConsistent(t, outcome, 'no fault')
  t.is(outcome.world.starts(LONG_TASK), 2)
  t.is(outcome.last?.tasks.get(brand<TaskId>(LONG_TASK))?.checkpoint, 'after attempt 1')
})

/** Runs the scenario once for each call of the first owner, with the fault at that call. */
const injectAtEachCall = async (t: ExecutionContext, kind: FaultKind, takeoverDelayMs: number, pauseMs = 0): Promise<void> => {
  const { calls } = await runScenario(NEVER, undefined)
  let injected = 0
  for (let call = 1; call <= calls; call++) {
    const outcome = await runScenario({ member: 'a', call, kind, pauseMs }, takeoverDelayMs)
    if (outcome.hasInjected) injected++
    assertConsistent(t, outcome, `${kind} at call ${call}, taken over after ${takeoverDelayMs} ms`)
  }
  t.log(`${kind}: injected at ${injected} calls`)
  t.is(injected, calls)
}

const WITHIN_LEASE_MS = 2_000
const PAST_LEASE_MS = 40_000

for (const takeoverDelayMs of [WITHIN_LEASE_MS, PAST_LEASE_MS]) {
  test(`the owner is killed before each of its calls takes effect; taken over ${takeoverDelayMs} ms later`, injectAtEachCall, 'killed-before', takeoverDelayMs)
  test(`the owner is killed after each of its calls took effect; taken over ${takeoverDelayMs} ms later`, injectAtEachCall, 'killed-after', takeoverDelayMs)
  test(`the owner is paused at each of its calls and resumes after it was taken over ${takeoverDelayMs} ms later`, injectAtEachCall, 'paused', takeoverDelayMs, SCENARIO_MS + takeoverDelayMs + 3_000)
}
test('the response to each call of the owner is lost after the call took effect', injectAtEachCall, 'response-lost', WITHIN_LEASE_MS)
