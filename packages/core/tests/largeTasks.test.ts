import test from 'ava'
import { brand, type ServiceName } from '@auburnpin/common'
import { stepOf, workerEntryOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LARGE = '00000000000000a1'
const SERVING = { isLasting: true, latencyTargetMs: 100, image: 'watch' }

test('a long-running task gets the room that comes free before smaller ones submitted after it', t => {
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
