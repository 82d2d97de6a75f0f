// Serving tasks that fit only on workers of the constant reserve must start: the reserve must not be all that they can use.
import test from 'ava'
import { brand, type WorkerId } from '@auburnpin/common'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import type { WorkerEntry } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const SERVING = '00000000000000a1'
const FULL = '00000000000000b1'
const PROCESSORS = 8_000

/** Workers `w10`, `w11` and so on, so that their ids ascend; those with the highest ids are reserved. */
const scenarioOf = (count: number, overridesOf: (index: number) => Partial<WorkerEntry> = () => ({})): SchedulerScenario => {
  const ids = Array.from({ length: count }, (_, index) => `w${10 + index}`)
  const scenario = new SchedulerScenario(Object.fromEntries(ids.map(id => [id, PROCESSORS])))
  scenario.scheduler.replaceWorkers(ids.map((id, index) => workerEntryOf(id, { processors: PROCESSORS, ...overridesOf(index) })), scenario.now)
  return scenario
}

const serving = (overrides: Parameters<typeof stepOf>[0] = {}): ReturnType<typeof stepOf> => stepOf({ isLasting: true, latencyTargetMs: 100, processors: 2_000, ...overrides })

const startedOn = (scenario: SchedulerScenario): WorkerId[] => [...new Set(scenario.starts.filter(({ task }) => task.startsWith(SERVING)).map(({ worker }) => worker))].sort()

for (const [description, count, labelsOf] of [
  ['the last of ten workers', 10, (index: number) => index === 9 ? ['b'] : ['a']],
  ['the last three of thirty workers', 30, (index: number) => index >= 27 ? ['b'] : ['a']],
  ['a rack whose workers are all reserved', 40, (index: number) => ['a', index >= 38 ? 'b' : 'r1']]
] as const) {
  test(`serving tasks that require a label start although only reserved workers have it: ${description}`, t => {
    const scenario = scenarioOf(count, index => ({ labels: labelsOf(index) }))
    scenario.submit(SERVING, [serving({ requiredLabel: 'b', taskCount: 2 })])
    scenario.advance(300)
    t.is(scenario.startsOf(SERVING), 2)
  })
}

test('serving tasks start on the single worker of a service', t => {
  const scenario = scenarioOf(1)
  scenario.submit(SERVING, [serving({ taskCount: 2 })])
  scenario.advance(300)
  t.is(scenario.startsOf(SERVING), 2)
})

test('serving tasks with a label use a reserved worker while the other one with it is full and the service is half idle', t => {
  const scenario = scenarioOf(10, index => ({ labels: [index >= 8 ? 'b' : 'a'] }))
  scenario.submit(FULL, [stepOf({ processors: PROCESSORS, requiredLabel: 'b' })])
  scenario.advance(100)
  const [full] = scenario.starts
  scenario.submit(SERVING, [serving({ requiredLabel: 'b', taskCount: 2 })])
  scenario.advance(300)
  t.is(scenario.startsOf(SERVING), 2)
  t.false(startedOn(scenario).includes(full?.worker as WorkerId))
})

test('a large serving task that fits on no open worker uses a reserved one while the service is half idle', t => {
  const scenario = scenarioOf(20)
  scenario.submit(FULL, [stepOf({ taskCount: 18, processors: 4_100, maxPerWorker: 1, isLasting: true, latencyTargetMs: 100 })])
  scenario.advance(100)
  scenario.submit(SERVING, [serving({ processors: 5_000 })])
  scenario.advance(300)
  t.is(scenario.startsOf(SERVING), 1)
})

test('serving tasks leave the constant share free while they fit on other workers', t => {
  const scenario = scenarioOf(20)
  scenario.submit(SERVING, [serving({ taskCount: 18 })])
  scenario.advance(300)
  t.false(startedOn(scenario).includes('w28' as WorkerId))
  t.false(startedOn(scenario).includes('w29' as WorkerId))
})

test('a service of which more than half is in use keeps its constant share from new serving tasks', t => {
  const scenario = scenarioOf(20)
  scenario.submit(SERVING, [serving({ taskCount: 200 })])
  scenario.advance(300)
  t.is(scenario.startsOf(SERVING), 18 * 4)
  for (const worker of ['w28', 'w29']) t.false(startedOn(scenario).includes(brand<WorkerId>(worker)))
})
