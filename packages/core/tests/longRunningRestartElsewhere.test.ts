import test from 'ava'
import { brand, type ServiceName } from '@auburnpin/common'
import { stepOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const WATCH = '00000000000000a1'
/** Users allow a long-running task to be away for this long. */
const MAX_INTERRUPTION_MS = 6_000

/** In each pass some batch jobs, so that their ends are spread over time and never free much at once. */
const overload = (scenario: SchedulerScenario, workerCount: number, priority: number, runMs: number): () => void => {
  let count = 0
  const policy = { service: brand<ServiceName>('desk'), priority, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  return () => {
    for (let number = 0; number < workerCount; number++) scenario.submit(`b${(count++).toString(16).padStart(15, '0')}`, [stepOf({ estimateMs: runMs })], { runMs, policy })
  }
}

/** Loses the workers on which the watched tasks run, and returns for how long each task was away. */
const loseWorkers = (scenario: SchedulerScenario, taskCount: number, submit: () => void): number[] => {
  const names = Array.from({ length: taskCount }, (_, index) => `${WATCH}.0.0.${index}`)
  const lostAt = scenario.now
  for (const { worker } of scenario.starts.filter(({ task }) => names.includes(task))) scenario.scheduler.unlistWorker(worker)
  for (const name of names) scenario.fail(name)
  scenario.advance(2 * MAX_INTERRUPTION_MS, submit)
  return names.map(name => (scenario.starts.find(({ task, at }) => task as string === name && at > lostAt)?.at ?? Infinity) - lostAt)
}

const watch = (taskCount: number, priority: number, batchPriority: number, batchRunMs = 1_100): number[] => {
  const workerCount = 8
  const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: workerCount }, (_, index) => [`w${index}`, 8_000])))
  const policy = { service: brand<ServiceName>('desk'), priority, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  scenario.submit(WATCH, [stepOf({ processors: 6_000, taskCount, isLasting: true, maxPerWorker: 1 })], { policy })
  const submit = overload(scenario, workerCount, batchPriority, batchRunMs)
  scenario.advance(4_000, submit)
  if (scenario.startsOf(WATCH) !== taskCount) throw new Error('not all tasks were started')
  return loseWorkers(scenario, taskCount, submit)
}

test('a long-running task whose worker is lost runs again in time elsewhere, where only small gaps come free', t => {
  const away = watch(1, 0, 0)
  t.true(Math.max(...away) <= MAX_INTERRUPTION_MS, `away for ${away.join(', ')} ms`)
})

test('long-running tasks whose workers are lost run again in time although they are more than an eighth of the workers', t => {
  // One after another, at most two of them could empty a worker in time.
  const away = watch(3, 0, 0, 3_500)
  t.true(Math.max(...away) <= MAX_INTERRUPTION_MS, `away for ${away.join(', ')} ms`)
})

test('a long-running task whose worker is lost runs again in time although small tasks of a more urgent queue keep coming', t => {
  const away = watch(1, 2, 0)
  t.true(Math.max(...away) <= MAX_INTERRUPTION_MS, `away for ${away.join(', ')} ms`)
})

test('a serving task whose worker is lost runs again in time on a worker that is reserved for restarts', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  // The third worker is reserved.
  scenario.submit(WATCH, [stepOf({ processors: 6_000, taskCount: 2, isLasting: true, latencyTargetMs: 100, image: 'watch' })])
  scenario.advance(500)
  t.is(scenario.startsOf(WATCH), 2)
  const [{ task, worker } = { task: undefined, worker: undefined }] = scenario.starts
  if (worker === undefined) throw new Error('no task was started')
  const lostAt = scenario.now
  scenario.scheduler.unlistWorker(worker)
  scenario.fail(task)
  scenario.advance(MAX_INTERRUPTION_MS)
  const restartedAt = scenario.starts.find(start => start.task === task && start.at > lostAt)?.at ?? Infinity
  t.true(restartedAt - lostAt <= MAX_INTERRUPTION_MS)
})
