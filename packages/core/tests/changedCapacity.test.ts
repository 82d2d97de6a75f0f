import test from 'ava'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import type { JobStep, Obstacle, WorkerEntry } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000a2'
const WATCH = stepOf({ isLasting: true, image: 'watch' })

const changeCapacity = (scenario: SchedulerScenario, id: string, capacity: Partial<WorkerEntry>): void =>
  scenario.scheduler.upsertWorker(workerEntryOf(id, capacity), scenario.now)

/** What keeps the tasks that wait longest from the workers. */
const obstaclesOf = ({ scheduler, now }: SchedulerScenario, kind: 'batch' | 'long-running' | 'filler' = 'batch'): ReadonlyMap<Obstacle, number> | undefined =>
  scheduler.waits.longest(kind, 1, 0, [...scheduler.workers.values()], scheduler.held, scheduler.interference, now)[0]?.obstacles.counts

const WHOLE = { processors: 8_000, memoryMb: 8_000, accelerators: 8 }
const DIMENSIONS: ReadonlyArray<Readonly<{ shrunk: Partial<WorkerEntry>, large: Partial<JobStep>, obstacle: Obstacle }>> = [
  { shrunk: { processors: 3_000 }, large: { processors: 4_000, memoryMb: 0 }, obstacle: 'processors' },
  { shrunk: { memoryMb: 3_000 }, large: { processors: 0, memoryMb: 4_000 }, obstacle: 'memory' },
  { shrunk: { accelerators: 3 }, large: { processors: 0, memoryMb: 0, accelerators: 4 }, obstacle: 'accelerators' }
]

for (const { shrunk, large, obstacle } of DIMENSIONS) {
  test(`a worker whose ${obstacle} shrink below what runs there keeps its runs, gets no more, and is used again once it has grown`, t => {
    const scenario = new SchedulerScenario({ w1: 8_000 }, WHOLE)
    scenario.submit(FIRST, [stepOf(large)], { runMs: 5_000 })
    scenario.advance(200)
    changeCapacity(scenario, 'w1', { ...WHOLE, ...shrunk })
    scenario.submit(SECOND, [stepOf({ processors: 100, memoryMb: 100, accelerators: obstacle === 'accelerators' ? 1 : 0 })], { runMs: 500 })
    scenario.advance(3_000)
    t.is(scenario.startsOf(SECOND), 0)
    t.deepEqual(obstaclesOf(scenario), new Map([[obstacle, 1]]))
    changeCapacity(scenario, 'w1', WHOLE)
    scenario.advance(200)
    t.is(scenario.startsOf(SECOND), 1)
    scenario.advance(3_000)
    t.is(scenario.startsOf(FIRST), 1)
    t.deepEqual([...scenario.scheduler.workers.values()][0]?.runs.size, 0)
  })

  test(`a task that needs more ${obstacle} than any worker has left waits, with the reason, until one has grown`, t => {
    const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 }, WHOLE)
    for (const id of ['w1', 'w2']) changeCapacity(scenario, id, { ...WHOLE, ...shrunk })
    scenario.submit(FIRST, [stepOf(large)], { runMs: 500 })
    scenario.advance(2_000)
    t.is(scenario.startsOf(FIRST), 0)
    t.deepEqual(obstaclesOf(scenario), new Map([['too-small', 2]]))
    changeCapacity(scenario, 'w2', WHOLE)
    scenario.advance(200)
    t.is(scenario.startsOf(FIRST), 1)
  })
}

test('a worker that has shrunk to nothing gets no task, not even one that needs nothing, until what runs there has ended', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(FIRST, [stepOf({ processors: 4_000 })], { runMs: 1_000 })
  scenario.advance(200)
  changeCapacity(scenario, 'w1', { processors: 0, memoryMb: 0 })
  scenario.submit(SECOND, [stepOf({ processors: 0, memoryMb: 0 })], { runMs: 500 })
  scenario.advance(700)
  t.is(scenario.startsOf(SECOND), 0)
  scenario.advance(2_000)
  t.is(scenario.startsOf(SECOND), 1)
})

test('what is being stopped still counts against a capacity that has shrunk', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(FIRST, [stepOf({ processors: 6_000 })])
  scenario.advance(200)
  changeCapacity(scenario, 'w1', { processors: 6_000 })
  scenario.cancel(FIRST)
  scenario.submit(SECOND, [stepOf({ processors: 1_000 })], { runMs: 500 })
  // The first order to stop is sent in this pass, and its end is listed before the next one.
  const starts: number[] = []
  scenario.advance(300, () => starts.push(scenario.startsOf(SECOND)))
  t.deepEqual(starts, [0, 0, 1])
})

test('no filler starts on a worker whose serving tasks reserve more processors than it has left, however little they use', t => {
  // The second worker is reserved for restarts.
  const scenario = new SchedulerScenario({ w1: 16_000, w2: 500 })
  scenario.submit(FIRST, [{ ...WATCH, taskCount: 2, processors: 5_000, latencyTargetMs: 100 }])
  scenario.advance(200)
  changeCapacity(scenario, 'w1', { processors: 9_000 })
  scenario.submit(SECOND, [stepOf({ processors: 1_000, isFiller: true, image: 'index' })])
  scenario.advance(1_500)
  t.is(scenario.startsOf(FIRST), 2)
  t.is(scenario.startsOf(SECOND), 0)
  t.deepEqual(obstaclesOf(scenario, 'filler'), new Map([['processors', 1], ['too-small', 1]]))
  changeCapacity(scenario, 'w1', { processors: 10_000 })
  scenario.advance(100)
  t.is(scenario.startsOf(SECOND), 1)
})

test('an interrupted long-running task whose only worker has shrunk waits without keeping others away, and is the first to start there once it has grown', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(FIRST, [{ ...WATCH, processors: 6_000 }])
  scenario.advance(200)
  scenario.fail(`${FIRST}.0.0.0`)
  changeCapacity(scenario, 'w1', { processors: 4_000 })
  scenario.submit(SECOND, [stepOf({ processors: 1_000 })], { runMs: 500 })
  scenario.advance(3_000)
  t.is(scenario.startsOf(FIRST), 1)
  t.is(scenario.startsOf(SECOND), 1)
  t.deepEqual(obstaclesOf(scenario, 'long-running'), new Map([['too-small', 1]]))
  scenario.submit('00000000000000a3', [stepOf({ processors: 3_000, taskCount: 2 })], { runMs: 500 })
  changeCapacity(scenario, 'w1', { processors: 8_000 })
  scenario.advance(100)
  t.is(scenario.startsOf(FIRST), 2)
})

test('a worker that shrinks while it is held for a large task is held no longer, so that others use it', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(FIRST, [{ ...WATCH, processors: 7_000 }])
  scenario.advance(100)
  scenario.submit('00000000000000b1', [stepOf({ processors: 1_000 })], { runMs: 4_000 })
  scenario.advance(100)
  scenario.fail(`${FIRST}.0.0.0`)
  changeCapacity(scenario, 'w1', { processors: 7_000 })
  // The interrupted task holds the worker until the small one has ended.
  scenario.submit(SECOND, [stepOf({ processors: 1_000 })], { runMs: 500 })
  scenario.advance(1_000)
  t.is(scenario.startsOf(SECOND), 0)
  t.deepEqual(obstaclesOf(scenario), new Map([['held', 1]]))
  changeCapacity(scenario, 'w1', { processors: 5_000 })
  scenario.advance(100)
  t.is(scenario.startsOf(SECOND), 1)
})
