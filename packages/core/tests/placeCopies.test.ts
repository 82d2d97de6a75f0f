import test from 'ava'
import { brand, type Attempt, type JobId, type WorkerId } from '@auburnpin/common'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import { DelayScheduling, WaitPolicy, type JobStep, type TaskRecord } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LATE = '00000000000000a1'
const SPECULATIVE = stepOf({ image: 'a', isSpeculative: true, processors: 1_000, estimateMs: 90 })

/** Starts a job whose runs all advance by 1 % in 100 ms, after runs of the same image have taken 500 ms. */
const startLateJob = (overrides: Partial<JobStep> = {}, workers: Readonly<Record<string, number>> = { w1: 8_000, w2: 8_000, w3: 8_000, w4: 8_000 }, delays?: DelayScheduling): SchedulerScenario => {
  const scenario = new SchedulerScenario(workers, {}, undefined, delays)
  scenario.submit('0000000000000001', [stepOf({ ...SPECULATIVE, isSpeculative: false, taskCount: 24 })], { runMs: 500 })
  scenario.advance(1_500)
  scenario.submit(LATE, [{ ...SPECULATIVE, ...overrides }])
  return scenario
}

const taskOf = ({ scheduler }: SchedulerScenario): TaskRecord => {
  const [task] = scheduler.jobs.get(brand<JobId>(LATE))?.tasks() ?? []
  return task as TaskRecord
}

test('a late run of a step that allows it gets one copy, on another worker in another rack', t => {
  const scenario = startLateJob()
  for (const [index, id] of ['w1', 'w2', 'w3', 'w4'].entries()) scenario.scheduler.upsertWorker(workerEntryOf(id, { rack: index < 3 ? 'near' : 'far' }), scenario.now)
  // The run starts in the rack of three workers.
  scenario.scheduler.workers.get(brand<WorkerId>('w4'))?.pause(scenario.now)
  scenario.advance(5_000)
  const workers = scenario.starts.filter(({ task }) => task.startsWith(LATE)).map(({ worker }) => String(worker))
  t.is(workers.length, 2)
  t.not(workers[0], 'w4')
  t.is(workers[1], 'w4')
})

test('the copy starts in the same rack where the tasks of the step need one rack', t => {
  const scenario = startLateJob({ isOneRack: true })
  for (const [index, id] of ['w1', 'w2', 'w3', 'w4'].entries()) scenario.scheduler.upsertWorker(workerEntryOf(id, { rack: index < 2 ? 'near' : 'far' }), scenario.now)
  scenario.advance(5_000)
  const racks = scenario.starts.filter(({ task }) => task.startsWith(LATE)).map(({ worker }) => Number(worker.slice(1)) <= 2)
  t.is(racks.length, 2)
  t.is(racks[0], racks[1])
})

test('tasks that may not have two runs get no copy', t => {
  for (const overrides of [{ isSpeculative: false }, { isGang: true }, { isLasting: true }, { latencyTargetMs: 100 }, { image: 'unknown' }]) {
    const scenario = startLateJob(overrides)
    scenario.advance(5_000)
    t.is(scenario.startsOf(LATE), 1, JSON.stringify(overrides))
  }
})

test('a copy neither hides which task crashes workers nor uses the last attempt of its job', t => {
  const spoilers: ((task: TaskRecord) => void)[] = [
    task => { task.crashes.add(brand<Attempt>(1)) },
    task => { task.crashes.announce(brand<Attempt>(1), { id: brand('w1'), incarnation: brand(1) }) },
    task => { if (task.failedAttempts.length === 0) for (const attempt of [90, 91]) task.addFailedAttempt(attempt) }
  ]
  for (const spoil of spoilers) {
    const scenario = startLateJob()
    scenario.advance(100)
    // A start that the task survives clears its crashes.
    scenario.advance(5_000, () => spoil(taskOf(scenario)))
    t.is(scenario.startsOf(LATE), 1)
  }
})

test('no copy starts while another task waits for room, or if too few processors would stay free', t => {
  const crowded = startLateJob()
  crowded.submit('0000000000000002', [stepOf({ taskCount: 8 })])
  crowded.advance(200)
  crowded.submit('0000000000000003', [stepOf({ processors: 8_000 })])
  crowded.advance(5_000)
  t.is(crowded.startsOf(LATE), 1)
  const full = startLateJob()
  for (const [index, processors] of [8_000, 8_000, 7_000, 6_900].entries()) full.submit(`000000000000000${index + 2}`, [stepOf({ processors })])
  full.advance(5_000)
  t.is(full.startsOf(LATE), 1)
})

test('a copy starts although a long-running task waits for room, as it takes room for a short time only', t => {
  const scenario = startLateJob()
  scenario.submit('0000000000000002', [stepOf({ isLasting: true, processors: 7_000, taskCount: 5 })])
  scenario.advance(5_000)
  t.is(scenario.startsOf(LATE), 2)
})

test('no copy starts on the worker of the late run', t => {
  const scenario = startLateJob({}, { w1: 32_000 })
  scenario.advance(5_000)
  t.is(scenario.startsOf(LATE), 1)
})

test('copies stay within a tenth of the running work', t => {
  const scenario = startLateJob({ taskCount: 40 }, { w1: 32_000, w2: 32_000, w3: 32_000 })
  scenario.advance(5_000)
  t.is(scenario.startsOf(LATE), 44)
})

test('a job that is cancelled gets no copy, and both runs of a task are stopped', t => {
  const early = startLateJob()
  early.advance(100)
  early.cancel(LATE)
  early.advance(4_000)
  t.is(early.startsOf(LATE), 1)
  const late = startLateJob()
  late.advance(4_000)
  t.is(taskOf(late).runs.length, 2)
  late.cancel(LATE)
  late.advance(300)
  t.is(taskOf(late).runs.length, 0)
  t.is(late.startsOf(LATE), 2)
})

test('a run that fails leaves the other one at work, and its task waits only when both have ended', t => {
  const scenario = startLateJob()
  scenario.advance(4_000)
  const [first] = scenario.starts.filter(({ task }) => task.startsWith(LATE))
  scenario.fail(first?.task ?? '', first?.worker)
  scenario.report(10)
  t.is(taskOf(scenario).runs.length, 1)
  t.is(taskOf(scenario).step.waiting.size, 0)
  t.is(taskOf(scenario).failedAttempts.length, 1)
  scenario.fail(first?.task ?? '')
  scenario.report(10)
  t.is(taskOf(scenario).step.waiting.size, 1)
  t.is(taskOf(scenario).failedAttempts.length, 2)
})

test('a filler that was slowed down is not taken for a late run', t => {
  const scenario = startLateJob({ isFiller: true })
  scenario.advance(600)
  for (const worker of scenario.scheduler.workers.values()) for (const run of worker.runs.values()) run.wasSlowedDown = true
  scenario.advance(5_000)
  t.is(scenario.startsOf(LATE), 1)
})

/** Waits for a rack for as long as it takes. */
class EndlessWait extends WaitPolicy {
  longestWaitMs (): number {
    return 60_000
  }
}

test('a copy starts although a step waits for a rack by choice', t => {
  const delays = new DelayScheduling(1.5, new EndlessWait())
  const scenario = startLateJob({}, undefined, delays)
  scenario.scheduler.upsertWorker(workerEntryOf('w1', { rack: 'r1', labels: ['kind', 'r1'] }), scenario.now)
  scenario.submit('0000000000000002', [stepOf({ dataRack: 'r1', processors: 7_000, estimateMs: 30_000 })])
  scenario.advance(200)
  scenario.submit('0000000000000003', [stepOf({ dataRack: 'r1', processors: 4_000 })])
  scenario.advance(5_000)
  t.true(delays.delayedTasks > 0)
  t.is(scenario.startsOf(LATE), 2)
})
