import test from 'ava'
import fc from 'fast-check'
import { brand, type JobId, type ServiceName } from '@auburnpin/common'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LARGE = '00000000000000a1'
const SMALL_RUN_MS = 700
const SERVING = { isLasting: true, latencyTargetMs: 100, image: 'watch' }

const smallId = (number: number): string => `b${number.toString(16).padStart(15, '0')}`

/** Submits small jobs of one task faster than the workers can run them. */
class SmallJobs {
  readonly #scenario: SchedulerScenario
  readonly #jobsPerPass: number
  readonly #processors: number
  readonly #runMs: number
  count = 0

  constructor (scenario: SchedulerScenario, jobsPerPass: number, { processors = 2_000, runMs = SMALL_RUN_MS } = {}) {
    this.#scenario = scenario
    this.#jobsPerPass = jobsPerPass
    this.#processors = processors
    this.#runMs = runMs
  }

  submit (): void {
    for (let number = 0; number < this.#jobsPerPass; number++) {
      this.#scenario.submit(smallId(this.count++), [stepOf({ processors: this.#processors, estimateMs: this.#runMs })], { runMs: this.#runMs })
    }
  }
}

test('a long-running task gets the capacity that comes free before smaller ones submitted after it', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000 })
  for (const id of ['00000000000000c1', '00000000000000c2']) scenario.submit(id, [stepOf({ ...SERVING, processors: 8_000 })])
  scenario.advance(1_000)
  scenario.submit(LARGE, [stepOf({ ...SERVING, processors: 8_000 })])
  scenario.advance(10_000)
  scenario.submit('00000000000000c3', [stepOf({ ...SERVING, processors: 4_000 })])
  scenario.advance(1_000)
  scenario.cancel('00000000000000c1')
  scenario.advance(1_000)
  t.is(scenario.startsOf(LARGE), 1)
})

test('a batch task that fits no gap starts although smaller tasks keep coming', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  const small = new SmallJobs(scenario, 2)
  scenario.advance(5_000, () => small.submit())
  scenario.submit(LARGE, [stepOf({ processors: 8_000 })], { runMs: 500 })
  scenario.advance(10_000, () => small.submit())
  t.is(scenario.startsOf(LARGE), 1)
})

test('a long-running task that fits no gap starts although smaller tasks keep coming', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  const small = new SmallJobs(scenario, 2)
  scenario.advance(5_000, () => small.submit())
  scenario.submit(LARGE, [stepOf({ ...SERVING, processors: 8_000 })])
  scenario.advance(10_000, () => small.submit())
  t.is(scenario.startsOf(LARGE), 1)
})

test('a task of any size starts while it is useful, whatever the size and duration of the smaller ones that keep coming', t => {
  const load = fc.record({
    workerCount: fc.integer({ min: 1, max: 6 }),
    smallProcessors: fc.integer({ min: 500, max: 3_000 }),
    smallRunMs: fc.integer({ min: 100, max: 1_500 }),
    largeProcessors: fc.integer({ min: 3_500, max: 8_000 })
  })
  fc.assert(fc.property(load, ({ workerCount, smallProcessors, smallRunMs, largeProcessors }) => {
    const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: workerCount }, (_, index) => [`w${index}`, 8_000])))
    const tasksAtOnce = workerCount * Math.floor(8_000 / smallProcessors)
    const small = new SmallJobs(scenario, Math.ceil(1.2 * tasksAtOnce * 100 / smallRunMs), { processors: smallProcessors, runMs: smallRunMs })
    scenario.advance(2_000, () => small.submit())
    // Useful for 3 times its objective of 2 s.
    scenario.submit(LARGE, [stepOf({ processors: largeProcessors })], { runMs: 500 })
    scenario.advance(6_000, () => small.submit())
    return scenario.startsOf(LARGE) >= 1
  }), { seed: 22, numRuns: 40 })
  t.pass()
})

test('held workers still run small tasks elsewhere and are free again once the large task has started', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000, w4: 8_000 })
  const small = new SmallJobs(scenario, 4)
  scenario.advance(5_000, () => small.submit())
  const startsBefore = scenario.starts.length
  scenario.submit(LARGE, [stepOf({ processors: 8_000 })], { runMs: 500 })
  scenario.advance(10_000, () => small.submit())
  t.is(scenario.startsOf(LARGE), 1)
  // 16 small tasks fit at once and 8 passes pass from the start of one to that of the next: 200 starts in 10 s.
  t.true(scenario.starts.length - startsBefore >= 180)
})

test('an urgent task may use a worker that is held for a task of lower priority', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  const policy = { service: brand<ServiceName>('desk'), priority: 2, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  scenario.submit('00000000000000c1', [stepOf({ processors: 4_000 })], { runMs: 20_000 })
  scenario.advance(100)
  scenario.submit(LARGE, [stepOf({ processors: 8_000, estimateMs: 5_000 })], { runMs: 500, policy })
  const submitSmall = (id: string, overrides = {}): void => scenario.submit(id, [stepOf({ processors: 4_000 })], { runMs: 500, ...overrides })
  scenario.advance(200)
  submitSmall('00000000000000c2', { policy })
  scenario.advance(4_800)
  t.is(scenario.startsOf('00000000000000c2'), 1)
  submitSmall('00000000000000c3', { policy })
  scenario.advance(500)
  t.is(scenario.startsOf('00000000000000c3'), 0)
  submitSmall('00000000000000c4')
  scenario.advance(500)
  t.is(scenario.startsOf('00000000000000c4'), 1)
})

test('while more work arrives than fits, large jobs are completed at least half as often as all', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  const small = new SmallJobs(scenario, 1)
  let largeCount = 0
  const submitLarge = (): void => scenario.submit(`a${(largeCount++).toString(16).padStart(15, '0')}`, [stepOf({ taskCount: 16, processors: 2_000, estimateMs: SMALL_RUN_MS })], { runMs: SMALL_RUN_MS })
  scenario.advance(60_000, now => {
    small.submit()
    if (now % 1_000 === 0) submitLarge()
  })
  const isCompleted = (id: string): boolean => scenario.scheduler.jobs.get(brand<JobId>(id))?.phase === 'completed'
  const completed = (prefix: string, count: number): number => Array.from({ length: count }, (_, number) => `${prefix}${number.toString(16).padStart(15, '0')}`).filter(isCompleted).length
  const [large, smallCompleted] = [completed('a', largeCount), completed('b', small.count)]
  const all = (large + smallCompleted) / (largeCount + small.count)
  t.true(all > 0.3)
  t.true(large / largeCount >= all / 2, `large jobs: ${large} of ${largeCount}; all: ${all.toFixed(2)}`)
})

test('a task that fits nowhere in its service does not hold back one of another service', t => {
  const scenario = new SchedulerScenario({ w1: 4_000 })
  const policy = { service: brand<ServiceName>('archive'), priority: 0, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 }
  scenario.scheduler.upsertWorker(workerEntryOf('x1', { service: policy.service }), scenario.now)
  scenario.submit('00000000000000c1', [stepOf({ processors: 4_000 })])
  scenario.advance(100)
  scenario.submit('00000000000000c2', [stepOf({ processors: 4_000, taskCount: 2 })])
  scenario.submit(LARGE, [stepOf({ processors: 8_000 })], { policy })
  scenario.advance(300)
  t.is(scenario.startsOf(LARGE), 1)
})
