import test from 'ava'
import { stepOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LARGE = '00000000000000a1'
const SMALL = '00000000000000a2'
const BATCH = '00000000000000b1'
/** Users allow a long-running task to be away for this long. */
const MAX_INTERRUPTION_MS = 6_000

/** Milliseconds from a moment to the next start of a job's only task. */
const startedAfter = (scenario: SchedulerScenario, job: string, since: number): number =>
  (scenario.starts.find(({ task, at }) => task as string === `${job}.0.0.0` && at > since)?.at ?? Infinity) - since

test('an interrupted task that fits is not kept away by a larger interrupted one that waits for the same worker', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  scenario.submit(LARGE, [stepOf({ processors: 6_000, isLasting: true })])
  scenario.advance(500)
  scenario.submit(BATCH, [stepOf({ processors: 3_000 })], { runMs: 60_000 })
  scenario.submit(SMALL, [stepOf({ processors: 2_000, isLasting: true })])
  scenario.advance(500)
  t.is(scenario.startsOf(SMALL), 1)
  const [{ worker } = { worker: undefined }] = scenario.starts
  if (worker === undefined) throw new Error('the large task was not started')
  scenario.scheduler.unlistWorker(worker)
  scenario.fail(`${LARGE}.0.0.0`)
  scenario.fail(`${SMALL}.0.0.0`)
  const failedAt = scenario.now
  scenario.advance(MAX_INTERRUPTION_MS)
  // 5 of the 8 cores of the other worker are free all the time.
  t.true(startedAfter(scenario, SMALL, failedAt) <= MAX_INTERRUPTION_MS)
})

test('a long-running task that fails from time to time runs again in time on the only worker with free capacity for it', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(LARGE, [stepOf({ processors: 6_000, isLasting: true })])
  for (let failures = 1; failures <= 4; failures++) {
    scenario.advance(60_000)
    const failedAt = scenario.now
    scenario.fail(`${LARGE}.0.0.0`)
    scenario.advance(10_000)
    t.true(startedAfter(scenario, LARGE, failedAt) < MAX_INTERRUPTION_MS, `failure ${failures}: away for ${startedAfter(scenario, LARGE, failedAt)} ms`)
  }
})

test('long-running tasks that fail again and again leave the workers to other tasks', t => {
  const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: 40 }, (_, index) => [`w${index}`, 8_000])))
  scenario.submit(LARGE, [stepOf({ processors: 1_000, taskCount: 10, isLasting: true })])
  scenario.advance(300)
  let batchJobs = 0
  for (let pass = 0; pass < 200; pass++) {
    for (let index = 0; index < 10; index++) scenario.fail(`${LARGE}.0.0.${index}`)
    scenario.advance(100, () => {
      // A quarter of the workers' processors; without the failing tasks all of these start at once.
      for (let count = 0; count < 10; count++) scenario.submit(`b${(batchJobs++).toString(16).padStart(15, '0')}`, [stepOf({ estimateMs: 1_000 })], { runMs: 1_000 })
    })
  }
  const batchStarts = scenario.starts.length - scenario.startsOf(LARGE)
  t.true(batchStarts >= 0.9 * batchJobs, `${batchStarts} of ${batchJobs} batch tasks started`)
})

test('an interrupted long-running filler, which uses no processors that count, holds none', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(LARGE, [stepOf({ processors: 6_000, isLasting: true, isFiller: true })])
  scenario.advance(500)
  scenario.submit(BATCH, [stepOf({ processors: 4_000 })], { runMs: 60_000 })
  scenario.advance(500)
  scenario.fail(`${LARGE}.0.0.0`)
  scenario.advance(500)
  scenario.submit(SMALL, [stepOf({ processors: 3_000 })], { runMs: 1_000 })
  const submittedAt = scenario.now
  scenario.advance(MAX_INTERRUPTION_MS)
  // 4 of the 8 cores are free all the time.
  t.true(startedAfter(scenario, SMALL, submittedAt) <= 1_000, `started after ${startedAfter(scenario, SMALL, submittedAt)} ms`)
})

test('an interrupted task runs again in time on a worker that is quarantined, if no other has capacity for it', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(LARGE, [stepOf({ processors: 6_000, isLasting: true })])
  scenario.submit(BATCH, [stepOf({ processors: 500, taskCount: 4 })], { runMs: 60_000 })
  scenario.advance(1_000)
  for (let index = 0; index < 4; index++) scenario.fail(`${BATCH}.0.0.${index}`)
  scenario.advance(100)
  const failedAt = scenario.now
  t.true([...scenario.scheduler.workers.values()].every(worker => worker.isQuarantined(failedAt)))
  scenario.fail(`${LARGE}.0.0.0`)
  scenario.advance(1_000)
  t.true(startedAfter(scenario, LARGE, failedAt) <= 1_000)
})
