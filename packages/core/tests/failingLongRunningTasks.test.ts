import test from 'ava'
import { stepOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const ID = '00000000000000a1'
const MAX_AWAY_MS = 9_000

test('long-running tasks that fail by themselves now and then keep neither themselves nor others away from their VM', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(ID, [stepOf({ isLasting: true, taskCount: 6 })])
  scenario.advance(1_000)
  const failedAt = scenario.now
  for (let index = 0; index < 6; index++) {
    scenario.fail(`${ID}.0.0.${index}`)
    scenario.advance(2_000)
  }
  scenario.advance(10_000)
  const restart = scenario.starts.find(({ task, at }) => task as string === `${ID}.0.0.2` && at > failedAt)
  t.true((restart?.at ?? Infinity) - failedAt - 2 * 2_000 <= MAX_AWAY_MS, `again after ${(restart?.at ?? Infinity) - failedAt} ms`)
})
