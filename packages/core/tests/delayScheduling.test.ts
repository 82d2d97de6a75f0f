import test from 'ava'
import { brand, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { chooseWorker, DelayScheduling, PayingWait, WaitPolicy, waitForPlace, type StepRecord, type TaskRecord } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'
import { RackLoad, type RackLoadResult, type RackLoadSettings } from './support/RackLoad.ts'

/** Places tasks as without delay scheduling. */
class NoWait extends WaitPolicy {
  longestWaitMs (): number {
    return 0
  }
}

const SEEDS = [1, 2, 3]
const HOT: RackLoadSettings = { seed: 5, hotShare: 0.6, jobsPerSecond: 16, seconds: 15 }
const EVEN: RackLoadSettings = { ...HOT, hotShare: 0.125, jobsPerSecond: 22 }
const HOT_AND_SLOW_ELSEWHERE: RackLoadSettings = { ...HOT, remoteFactor: 3, jobsPerSecond: 10 }
const EVEN_AND_FULL: RackLoadSettings = { ...EVEN, jobsPerSecond: 32 }
const ONE_RACK: RackLoadSettings = { ...HOT, hotShare: 0, oneRackShare: 1, jobsPerSecond: 34 }

const stepsOf = ({ scheduler }: RackLoad): StepRecord[] =>
  [...scheduler.jobs.values()].filter(({ isFinal }) => !isFinal).flatMap(({ occurrences }) => [...occurrences.values()].flat()).filter(({ isOpen, waiting }) => isOpen && waiting.size > 0)

const delayedSteps = (load: RackLoad): StepRecord[] => stepsOf(load).filter(step => load.scheduler.delays.isDelayed(step))

const fitsSomewhere = ({ scheduler, now }: RackLoad, task: TaskRecord): boolean =>
  chooseWorker(task, scheduler.workers.values(), scheduler.held, scheduler.interference, brand<Instant>(now)) !== undefined

/** Runs a load until a step waits for the first rack. */
const untilDelayed = (settings: RackLoadSettings, then: (load: RackLoad, delayed: readonly StepRecord[]) => void): RackLoad => {
  const load = new RackLoad(settings, new PayingWait())
  let hasHappened = false
  load.onPass = () => {
    const delayed = delayedSteps(load).filter(({ shape }) => shape.dataRack === 'r0')
    if (hasHappened || delayed.length === 0) return
    hasHappened = true
    then(load, delayed)
  }
  load.run()
  return load
}

test('a wait is within the slack, and less the more the rack is in demand while there are free processors', t => {
  const inputs = { addedMs: 800, slackMs: 5_000, waitedMs: 0, freeShare: 0.5 }
  t.is(waitForPlace({ ...inputs, demand: 0.1 }), 400)
  t.is(waitForPlace({ ...inputs, demand: 1.2 }), 0)
  t.is(waitForPlace({ ...inputs, demand: 1.2, freeShare: 0.1 }), 800)
  t.is(waitForPlace({ ...inputs, demand: 1.2, slackMs: 700 }), 700)
  t.is(waitForPlace(inputs), 800)
  t.is(waitForPlace({ ...inputs, freeShare: 0.1 }), 5_000)
  for (const demand of [undefined, 0, 2]) {
    for (const freeShare of [0, 1]) {
      t.is(waitForPlace({ ...inputs, demand, freeShare, slackMs: -1 }), 0)
      t.is(waitForPlace({ ...inputs, demand, freeShare, waitedMs: 2_400 }), 0)
    }
  }
})

test('with a factor of 1 no task waits for a rack and each ends when it would without', t => {
  const settings = { ...HOT, remoteFactor: 1 }
  const load = new RackLoad(settings, new PayingWait())
  t.deepEqual(load.run(), new RackLoad(settings, new NoWait()).run())
  t.deepEqual(load.decisions, [])
})

/** Means over some seeds of what the clients get with waits and without. */
const compare = (settings: RackLoadSettings): Readonly<{ jobs: readonly number[], inTime: readonly number[], useful: readonly number[] }> => {
  const results = [new PayingWait(), new NoWait()].map(policy => SEEDS.map(seed => new RackLoad({ ...settings, seed }, policy).run()))
  const meansOf = (value: (result: RackLoadResult) => number): number[] => results.map(ofPolicy => ofPolicy.reduce((sum, result) => sum + value(result), 0) / SEEDS.length)
  return { jobs: meansOf(({ jobs }) => jobs), inTime: meansOf(({ inTime }) => inTime), useful: meansOf(({ useful }) => useful) }
}

test('load: with the data of most tasks in one rack, more jobs end in time than without waits, and none are lost', t => {
  // A rack in twice the demand that it can hold leaves nothing to gain at a factor of 1.5; then waits must cost nothing but chance.
  for (const [settings, gain] of [[HOT_AND_SLOW_ELSEWHERE, 0.05], [EVEN_AND_FULL, 0.1], [EVEN, 0], [HOT, -0.01]] as const) {
    const { jobs, inTime, useful } = compare(settings)
    const [withWaits = 0, without = 0] = inTime
    t.true(withWaits >= without + gain, JSON.stringify(inTime))
    t.is(jobs[0], jobs[1])
    t.true((useful[0] ?? 0) >= 0.99, JSON.stringify(useful))
  }
})

test('load: steps whose tasks share a rack are spread less often, and more of their jobs end in time', t => {
  const [waits, never] = [new RackLoad(ONE_RACK, new PayingWait()).run(), new RackLoad(ONE_RACK, new NoWait()).run()]
  t.true(waits.nearShare > never.nearShare + 0.1 && waits.inTime > never.inTime + 0.05, JSON.stringify([waits, never]))
})

test('load: no task waits past its slack, and no capacity elsewhere is idle while a wait does not pay', t => {
  for (const settings of [HOT, HOT_AND_SLOW_ELSEWHERE, ONE_RACK]) {
    const load = new RackLoad(settings, new PayingWait())
    load.onPass = () => {
      for (const step of stepsOf(load)) {
        const { job, occurrence, number } = step
        if (load.scheduler.delays.isDelayed(step)) {
          if (job.objectiveAt(occurrence) - load.now - job.remainingMs(number) < 0) t.fail(`${job.job.id} waits past its slack at ${load.now}`)
        } else if ([...step.waiting].some(task => fitsSomewhere(load, task))) t.fail(`${job.job.id} could start at ${load.now}`)
      }
    }
    load.run()
    t.true(load.decisions.length > 0)
  }
})

test('contention for one rack spills over: some steps wait for it and others start elsewhere at once', t => {
  const load = new RackLoad(HOT_AND_SLOW_ELSEWHERE, new PayingWait())
  const { nearShare } = load.run()
  t.true(load.decisions.length > 0 && load.away.some(({ waitedMs }) => waitedMs === 0))
  t.true(nearShare > 0.5 && nearShare < 1)
})

for (const [failure, capacity] of [['is lost', 0], ['shrinks so that no task fits any more', 0.1]] as const) {
  test(`a rack ${failure} while tasks wait for it: they start elsewhere in the next pass`, t => {
    let waited: readonly TaskRecord[] = []
    untilDelayed(HOT_AND_SLOW_ELSEWHERE, (load, delayed) => {
      waited = delayed.flatMap(({ waiting }) => [...waiting])
      load.setHotRackCapacity(capacity)
      load.scheduler.decide(brand<Instant>(load.now), load.now)
      t.deepEqual(delayedSteps(load).filter(({ shape }) => shape.dataRack === 'r0'), [])
      t.true(waited.every(task => task.runs.length > 0 || !fitsSomewhere(load, task)))
    })
    t.true(waited.length > 0)
  })
}

test('the workers of a rack do not answer while tasks wait for it: they start elsewhere in the next pass', t => {
  let waited: readonly TaskRecord[] = []
  untilDelayed(HOT_AND_SLOW_ELSEWHERE, (load, delayed) => {
    waited = delayed.flatMap(({ waiting }) => [...waiting])
    for (const worker of load.scheduler.workers.values()) if (worker.entry.rack === 'r0') worker.markUnresponsive()
    load.scheduler.decide(brand<Instant>(load.now), load.now)
    t.true(waited.every(task => task.runs.length > 0 || !fitsSomewhere(load, task)))
  })
  t.true(waited.length > 0)
})

test('a job is cancelled while its tasks wait for a rack: it waits no more and nothing of it starts', t => {
  let waited: readonly TaskRecord[] = []
  const load = untilDelayed(HOT_AND_SLOW_ELSEWHERE, ({ scheduler, now }, delayed) => {
    waited = [...(delayed[0] as StepRecord).waiting]
    scheduler.cancel((delayed[0] as StepRecord).job.job.id, brand<Instant>(now))
  })
  t.true(waited.length > 0 && waited.every(({ wasOrdered }) => !wasOrdered))
  t.is(load.scheduler.delays.delayedTasks, 0)
})

test('a wait gives way to more urgent work: an urgent task takes the place that comes free in the rack', t => {
  const urgent = 'f000000000000001'
  let waited: readonly TaskRecord[] = []
  const load = untilDelayed({ ...HOT_AND_SLOW_ELSEWHERE, priority: 1 }, ({ scheduler, now }, delayed) => {
    waited = delayed.flatMap(({ waiting }) => [...waiting])
    for (const { entry, processorsUsed } of scheduler.workers.values()) {
      if (entry.rack !== 'r0') scheduler.upsertWorker({ ...entry, processors: processorsUsed }, brand<Instant>(now))
    }
    scheduler.addJob(jobOf(urgent, [stepOf({ processors: 3_800, estimateMs: 640 })], { acceptedAt: now }), brand<Instant>(now))
  })
  const startOf = (task: TaskRecord | undefined): number => load.startedAt.get(task?.name as string) ?? Infinity
  t.true(waited.length > 0)
  t.true(startOf(load.scheduler.jobs.get(brand(urgent))?.findTask(0, 0, 0)) <= Math.min(...waited.map(startOf)))
})

test('fillers that want one rack start although a worker there has shrunk below what its serving tasks reserve', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 }, {}, undefined, new DelayScheduling(1.5, new PayingWait()))
  const listWorkers = (processors: number): void => {
    for (const [id, rack, own] of [['w1', 'r1', processors], ['w2', 'r2', 8_000]] as const) scenario.scheduler.upsertWorker(workerEntryOf(id, { rack, labels: ['kind', rack], processors: own, memoryMb: rack === 'r1' ? 100_000 : 60_000 }), scenario.now)
  }
  listWorkers(8_000)
  scenario.submit('00000000000000a1', [stepOf({ taskCount: 2, processors: 6_000, isLasting: true, latencyTargetMs: 100, image: 'watch', memoryMb: 1_000 })])
  scenario.advance(500)
  listWorkers(4_000)
  scenario.submit('00000000000000b1', [stepOf({ taskCount: 2, processors: 200, isFiller: true, isOneRack: true, image: 'sweep', memoryMb: 45_000 })], { runMs: 500 })
  scenario.advance(5_000)
  t.true(scenario.startsOf('00000000000000b1') > 0)
})
