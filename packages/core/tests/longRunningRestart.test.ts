import test from 'ava'
import fc from 'fast-check'
import { brand, type ServiceName } from '@auburnpin/common'
import { stepOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const WATCH = '00000000000000a1'
const WATCHED_TASK = `${WATCH}.0.0.0`
/** Users allow a long-running task to be away for this long. */
const MAX_INTERRUPTION_MS = 6_000
const SERVING = { isLasting: true, latencyTargetMs: 100, image: 'watch' }

const jobId = (prefix: string, number: number): string => `${prefix}${number.toString(16).padStart(15, '0')}`

/** Submits batch jobs of one task in each scheduling pass. */
const overload = (scenario: SchedulerScenario, jobsPerPass: number, { processors = 2_000, runMs = 700, priority = 0 } = {}): () => void => {
  let count = 0
  const policy = { service: brand<ServiceName>('desk'), priority, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  return () => {
    for (let number = 0; number < jobsPerPass; number++) scenario.submit(jobId('b', count++), [stepOf({ processors, estimateMs: runMs })], { runMs, policy })
  }
}

/** Milliseconds from the failure of the watched task's only run to its next start. */
const interruptionMs = (scenario: SchedulerScenario, failedAt: number): number =>
  (scenario.starts.find(({ task, at }) => task as string === WATCHED_TASK && at > failedAt)?.at ?? Infinity) - failedAt

/** Fails the watched task and returns for how long it was away. */
const failWatched = (scenario: SchedulerScenario, submit: () => void): number => {
  const failedAt = scenario.now
  scenario.fail(WATCHED_TASK)
  scenario.advance(2 * MAX_INTERRUPTION_MS, submit)
  return interruptionMs(scenario, failedAt)
}

test('a long-running task that failed runs again in time while more batch tasks wait than fit', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  const submit = overload(scenario, 3)
  scenario.submit(WATCH, [stepOf({ ...SERVING, processors: 2_000 })])
  scenario.advance(5_000, submit)
  t.true(failWatched(scenario, submit) <= MAX_INTERRUPTION_MS)
})

test('a long-running task that failed runs again in time although workers are held for tasks that have waited longer', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000, w4: 8_000 })
  scenario.submit(jobId('c', 0), [stepOf({ processors: 5_000, taskCount: 3, maxPerWorker: 1 })], { runMs: 30_000 })
  scenario.submit(WATCH, [stepOf({ ...SERVING, processors: 3_000 })])
  const submit = overload(scenario, 2, { processors: 1_000 })
  scenario.advance(2_000, submit)
  // Holds the only worker on which the watched task fits beside the tasks of 5 cores.
  scenario.submit(jobId('c', 1), [stepOf({ ...SERVING, processors: 8_000 })])
  scenario.advance(4_000, submit)
  t.true(failWatched(scenario, submit) <= MAX_INTERRUPTION_MS)
})

test('a long-running task that failed runs again in time while tasks of a more urgent queue wait', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  const policy = { service: brand<ServiceName>('desk'), priority: 2, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  const submit = overload(scenario, 3)
  scenario.submit(WATCH, [stepOf({ ...SERVING, processors: 6_000 })], { policy })
  scenario.advance(5_000, submit)
  t.true(failWatched(scenario, submit) <= MAX_INTERRUPTION_MS)
})

test('a long-running task that failed is started first when a pass may start only one task', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  scenario.submit(WATCH, [stepOf({ ...SERVING, processors: 2_000 })])
  scenario.advance(1_000)
  scenario.submit(jobId('c', 0), [stepOf({ processors: 1_000, taskCount: 6 })], { runMs: 30_000 })
  scenario.fail(WATCHED_TASK)
  scenario.report(500)
  // The store has to name the next run before it is ordered.
  t.deepEqual(scenario.scheduler.decide(scenario.now, scenario.now, 1), [])
  scenario.scheduler.markStored(scenario.scheduler.takeDirty(Infinity))
  const [order] = scenario.scheduler.decide(scenario.now, scenario.now, 1)
  t.is(order?.task as string | undefined, WATCHED_TASK)
})

test('a long-running task of any size that failed runs again in time, whatever keeps coming', t => {
  const load = fc.record({
    workerCount: fc.integer({ min: 2, max: 6 }),
    watchProcessors: fc.integer({ min: 1_000, max: 8_000 }),
    maxPerWorker: fc.integer({ min: 0, max: 1 }),
    smallProcessors: fc.integer({ min: 500, max: 4_000 }),
    smallRunMs: fc.integer({ min: 100, max: 2_500 }),
    largeEveryMs: fc.integer({ min: 500, max: 4_000 })
  })
  fc.assert(fc.property(load, ({ workerCount, watchProcessors, maxPerWorker, smallProcessors, smallRunMs, largeEveryMs }) => {
    const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: workerCount }, (_, index) => [`w${index}`, 8_000])))
    const tasksAtOnce = workerCount * Math.floor(8_000 / smallProcessors)
    const submitSmall = overload(scenario, Math.ceil(1.2 * tasksAtOnce * 100 / smallRunMs), { processors: smallProcessors, runMs: smallRunMs })
    scenario.submit(WATCH, [stepOf({ ...SERVING, processors: watchProcessors, maxPerWorker })])
    let largeCount = 0
    const submit = (): void => {
      submitSmall()
      if (scenario.now % (100 * Math.round(largeEveryMs / 100)) === 0) scenario.submit(jobId('c', largeCount++), [stepOf({ processors: 8_000, estimateMs: 1_000 })], { runMs: 1_000 })
    }
    scenario.advance(6_000, submit)
    if (scenario.startsOf(WATCH) === 0) return
    const away = failWatched(scenario, submit)
    if (away > MAX_INTERRUPTION_MS) throw new Error(`away for ${away} ms`)
  }), { seed: 30, numRuns: 60 })
  t.pass()
})

test('a long-running task that fails at once again and again is started less and less often, and always within the time that users allow', t => {
  const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: 40 }, (_, index) => [`w${index}`, 8_000])))
  scenario.submit(WATCH, [stepOf({ ...SERVING, processors: 2_000 })])
  scenario.advance(20_000, () => scenario.fail(WATCHED_TASK))
  const starts = scenario.starts.map(({ at }) => at)
  const pauses = starts.slice(1).map((at, index) => at - (starts[index] ?? 0))
  t.true(starts.length < 20, `${starts.length} starts`)
  t.true((pauses[0] ?? Infinity) <= 200)
  t.true(Math.max(...pauses) <= MAX_INTERRUPTION_MS)
})
