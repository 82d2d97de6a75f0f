import test from 'ava'
import { brand, type Instant, type ServiceName, type WorkerId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobRecord } from '../src/index.ts'
import { ShortTaskDemand } from '../src/jobs/ShortTaskDemand.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'
import { WaveLoad, type WaveResult } from './support/WaveLoad.ts'

const SERVICE = brand<ServiceName>('desk')
const LOAD_MS = 60_000
const MAX_SHARE = 0.4

const shareInTime = ({ inTime, late, useless }: WaveResult): number => inTime / (inTime + late + useless)

/** A load in which the demand of short tasks has added workers to the reserve. */
const loaded = (seed = 1): WaveLoad => {
  const load = new WaveLoad({ seed, maxReservedShare: MAX_SHARE })
  for (let seconds = 0; load.added === 0 && seconds < 30; seconds++) load.run(1_000)
  return load
}

test('waves of urgent jobs end in time beside long-running jobs that would fill every worker, most of which still start', t => {
  const { result: constant } = new WaveLoad({ seed: 1 }).run(3 * LOAD_MS)
  const { result: measured } = new WaveLoad({ seed: 1, maxReservedShare: MAX_SHARE }).run(3 * LOAD_MS)
  t.true(shareInTime(constant) < 0.75, JSON.stringify(constant))
  t.true(shareInTime(measured) > 0.9, JSON.stringify(measured))
  t.true(measured.longRunningStarted > 0.75 * constant.longRunningStarted, JSON.stringify(measured))
})

test('while short tasks find capacity without waiting, every task starts when and where it does with the constant reserve', t => {
  const settings = { seed: 4, urgentPerSecond: 0.5, longRunningPerSecond: 0.1 }
  const measured = new WaveLoad({ ...settings, maxReservedShare: MAX_SHARE }).run(LOAD_MS, ({ added }) => { if (added > 0) t.fail('a worker is added to the reserve') })
  t.deepEqual(measured.scenario.starts, new WaveLoad(settings).run(LOAD_MS).scenario.starts)
  t.true(measured.scenario.starts.length > 300)
})

test('a reserve that grows interrupts no task that runs, and never exceeds its largest share', t => {
  const load = loaded().run(10_000, ({ scenario, added }) => {
    const { constant } = scenario.scheduler.reserve.last
    if (constant.size > 0 && (constant.size !== 5 || added + constant.size > 49 * MAX_SHARE)) t.fail(`${constant.size} + ${added} workers are reserved`)
  })
  const { starts } = load.scenario
  t.is(new Set(starts.map(({ task }) => task)).size, starts.length)
})

test('a long-running task that has lost its run may use every reserved worker', t => {
  const { scenario } = loaded()
  const { constant, added } = scenario.scheduler.reserve.last
  const [run] = [...scenario.scheduler.workers.values()].flatMap(({ runs }) => [...runs.values()]).filter(({ task }) => task.step.shape.isLasting)
  if (run === undefined) throw new Error('No long-running task runs')
  for (const worker of [...constant, ...added]) {
    t.false(scenario.scheduler.reserve.last.isClosedTo(run.task, worker))
  }
  scenario.fail(run.task.name)
  scenario.advance(1_000)
  t.is(scenario.starts.filter(({ task }) => task === run.task.name).length, 2)
})

test('when half of the workers are lost, the reserve is computed from those that are left', t => {
  const load = loaded().run(5_000)
  const { scheduler } = load.scenario
  const lost = new Set([...scheduler.workers.values()].filter((_, index) => index % 2 === 0))
  for (const { entry } of lost) scheduler.unlistWorker(entry.id)
  load.run(5_000, ({ scenario: { scheduler: { reserve: { last } } } }) => {
    const reserved = [...last.constant, ...last.added].filter(worker => !lost.has(worker)).length
    if (reserved < 3 || reserved > Math.ceil(24 * MAX_SHARE)) t.fail(`${reserved} of 24 workers are reserved`)
  })
  t.false([...scheduler.reserve.last.constant, ...scheduler.reserve.last.added].some(worker => lost.has(worker)))
})

test('short tasks that no worker could hold even if it were empty add no worker to the reserve', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000, w3: 8_000, w4: 8_000 }, {}, 0.9)
  scenario.submit('00000000000000a1', [stepOf({ processors: 9_000 })])
  scenario.submit('00000000000000a2', [stepOf({ requiredLabel: 'gpu' })])
  scenario.advance(2_000)
  const { reserve, workers } = scenario.scheduler
  t.is(reserve.last.added.size, 0)
  t.deepEqual(reserve.describe(workers.values(), scenario.now).map(({ demand }) => demand), [undefined])
})

test('a long-running task that only the reserve keeps away does not hold back a short task of lower priority', t => {
  const scenario = new SchedulerScenario({ w1: 4_000, w2: 10_000, w3: 2_000 }, {}, 0.9)
  const submit = (id: string, processors: number, priority: number): void =>
    scenario.submit(id, [stepOf({ processors })], { runMs: 9_000, policy: { service: SERVICE, priority, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 60_000 } })
  submit('00000000000000a1', 5_000, 0)
  // Fits only once w2 is empty, so that w2 is reserved.
  submit('00000000000000a2', 9_000, 0)
  scenario.advance(300)
  scenario.submit('00000000000000b1', [stepOf({ isLasting: true, processors: 4_500 })])
  submit('00000000000000c1', 4_800, 2)
  t.deepEqual([...scenario.scheduler.reserve.last.added].map(({ entry }) => entry.id), ['w2' as WorkerId])
  scenario.advance(300)
  t.is(scenario.startsOf('00000000000000b1'), 0)
  t.is(scenario.startsOf('00000000000000c1'), 1)
})

test('while short tasks lack room, a small one goes where it leaves the smallest piece, so that a large one finds capacity', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 10_000, w3: 2_000 }, {}, 0.9)
  const submit = (id: string, processors: number): void => scenario.submit(id, [stepOf({ processors })], { runMs: 1_000 })
  for (const id of ['00000000000000a1', '00000000000000a2', '00000000000000a3']) submit(id, 8_000)
  scenario.advance(2_500)
  submit('00000000000000b1', 2_000)
  scenario.advance(100)
  submit('00000000000000c1', 10_000)
  scenario.advance(100)
  t.deepEqual(scenario.starts.slice(-2).map(({ worker }) => worker), ['w3', 'w2'] as WorkerId[])
})

test('the demand rises with the first measurement of a burst, falls slowly, and counts only after a lack of room', t => {
  const demand = new ShortTaskDemand()
  const at = (ms: number): Instant => brand<Instant>(ms)
  const record = new JobRecord(jobOf('00000000000000a1', [stepOf({ taskCount: 10, processors: 2_000 })], { acceptedAt: 1e9 }))
  record.createOccurrence(0)
  record.openReadySteps(0)
  const [step] = record.occurrences.get(0) ?? []
  const { workers } = new SchedulerScenario({ w1: 8_000 }).scheduler
  if (step === undefined) throw new Error('The job has no step')
  demand.observe([step], workers.values(), at(0), 0)
  t.is(demand.of(SERVICE, at(0)), undefined)
  demand.recordLackOfRoom(step, workers.values(), at(0), 0)
  t.deepEqual(demand.of(SERVICE, at(0)), { processors: 20_000, taskProcessors: 2_000 })
  for (let ms = 200; ms <= 10_000; ms += 200) demand.observe([], workers.values(), at(ms), 0)
  const { processors = 0 } = demand.of(SERVICE, at(10_000)) ?? {}
  t.true(processors > 10_000 && processors < 20_000, String(processors))
  t.is(demand.of(SERVICE, at(33_001)), undefined)
})
