import test from 'ava'
import { brand, type WorkerId } from '@auburnpin/common'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import { findObstacles, type StepWait } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LARGE = '00000000000000a1'
const SMALL = '00000000000000b1'
const MIN_WAIT_MS = 1_000

const longestWait = ({ scheduler, now }: SchedulerScenario, kind: StepWait['kind']): StepWait | undefined =>
  scheduler.waits.longest(kind, 4, MIN_WAIT_MS, [...scheduler.workers.values()], scheduler.held, scheduler.interference, now)[0]

test('an operator sees what keeps a waiting task from each worker and what was placed meanwhile', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 16_000, w3: 16_000 })
  scenario.scheduler.upsertWorker(workerEntryOf('w3', { processors: 16_000, isDraining: true }), scenario.now)
  scenario.submit(SMALL, [stepOf({ taskCount: 2, processors: 6_000 })], { runMs: 1_000_000 })
  scenario.advance(100)
  scenario.submit(LARGE, [stepOf({ processors: 12_000 })])
  scenario.advance(1_000)
  scenario.submit('00000000000000b2', [stepOf({ processors: 1_000 })])
  scenario.advance(500)
  const wait = longestWait(scenario, 'batch')
  t.is(wait?.step.job.job.id as string | undefined, LARGE)
  t.is(wait?.waitedMs, 1_400)
  t.deepEqual(wait?.obstacles.counts, new Map([['too-small', 1], ['processors', 1], ['unavailable', 1]]))
  t.deepEqual(wait?.placedSince.batch, { tasks: 1, processors: 1_000 })
  t.deepEqual([...scenario.scheduler.waits.totals(scenario.now)].map(([kind, { tasks }]) => [kind, tasks]), [['long-running', 0], ['batch', 1], ['filler', 0]])
})

test('a wait ends when the last task of the step has started', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(SMALL, [stepOf({ processors: 8_000 })], { runMs: 2_000 })
  scenario.advance(100)
  scenario.submit(LARGE, [stepOf({ processors: 8_000 })], { runMs: 2_000 })
  scenario.advance(1_500)
  t.is(longestWait(scenario, 'batch')?.step.job.job.id as string | undefined, LARGE)
  scenario.advance(1_000)
  t.is(scenario.startsOf(LARGE), 1)
  t.is(longestWait(scenario, 'batch'), undefined)
})

test('workers reserved for restarts are named as such for a new serving task', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  scenario.submit(LARGE, [stepOf({ taskCount: 3, processors: 5_000, isLasting: true, latencyTargetMs: 100, image: 'watch' })])
  scenario.advance(1_500)
  const wait = longestWait(scenario, 'long-running')
  t.deepEqual(wait?.obstacles.counts, new Map([['processors', 1], ['reserved', 1]]))
})

test('an operator sees how the last run of an interrupted long-running task ended and what keeps it from each worker', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  scenario.submit(SMALL, [stepOf({ taskCount: 2, processors: 8_000, isLasting: true })])
  scenario.advance(100)
  scenario.fail(`${SMALL}.0.0.1`)
  scenario.scheduler.unlistWorker(brand<WorkerId>('w1'))
  scenario.scheduler.unlistWorker(brand<WorkerId>('w2'))
  scenario.advance(1_500)
  const [interruption] = scenario.scheduler.interruptedTasks(MIN_WAIT_MS, scenario.now)
  t.is(interruption?.task.name as string | undefined, `${SMALL}.0.0.1`)
  t.is(interruption?.interruptedMs, 1_400)
  t.is(interruption?.task.lastEnd?.ending, 'failed')
  const obstacles = interruption && findObstacles(interruption.task, [...scenario.scheduler.workers.values()], scenario.scheduler.held, scenario.scheduler.interference, scenario.now)
  t.deepEqual(obstacles?.counts, new Map([['unavailable', 2]]))
})

test('a task that was stopped with its job is not reported as interrupted', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(SMALL, [stepOf({ processors: 8_000, isLasting: true })])
  scenario.advance(100)
  scenario.cancel(SMALL)
  scenario.advance(3_000)
  t.deepEqual(scenario.scheduler.interruptedTasks(MIN_WAIT_MS, scenario.now), [])
})
