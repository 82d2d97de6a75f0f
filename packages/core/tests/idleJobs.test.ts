import test from 'ava'
import { stepOf } from '@auburnpin/fakes'
import { summariseBacklog, type BacklogGroup } from '../src/index.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const LONG = '00000000000000a1'
const NEXT = '00000000000000b1'

const backlog = ({ scheduler, now }: SchedulerScenario): readonly BacklogGroup[] => summariseBacklog(scheduler, now, now)

test('an operator sees how many jobs have no run, how late they are and what keeps them from the workers', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(LONG, [stepOf({ taskCount: 2, processors: 8_000, estimateMs: 60_000 })], { runMs: 60_000 })
  scenario.advance(100)
  scenario.submit(NEXT, [stepOf({ taskCount: 3, processors: 4_000, estimateMs: 500 })])
  scenario.advance(10_000)
  const [useless] = backlog(scenario).filter(({ timeliness }) => timeliness === 'useless')
  t.like(useless, { kind: 'batch', jobs: 1, steps: 1, tasks: 3, processors: 12_000, idleJobs: 1, longestIdleMs: 10_000 })
  t.is(useless?.longestIdle?.step.job.job.id as string | undefined, NEXT)
  t.deepEqual(useless?.longestIdle?.obstacles.counts, new Map([['processors', 1]]))
  t.like(backlog(scenario).find(({ timeliness }) => timeliness === 'in-time'), { jobs: 1, tasks: 1, idleJobs: 0, longestIdle: undefined })
})

test('a job is idle since its last run ended', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(NEXT, [stepOf({ taskCount: 2, processors: 8_000, estimateMs: 500 })], { runMs: 500 })
  scenario.advance(100)
  scenario.submit(LONG, [stepOf({ processors: 8_000, estimateMs: 100 })], { runMs: 60_000 })
  scenario.advance(5_000)
  const idle = backlog(scenario).find(({ idleJobs }) => idleJobs > 0)
  t.is(idle?.longestIdle?.step.job.job.id as string | undefined, NEXT)
  t.is(idle?.longestIdleMs, 4_500)
})

test('a job without a known run is idle since it was accepted, also under the next owner', t => {
  const scenario = new SchedulerScenario({ w1: 8_000 })
  scenario.submit(LONG, [stepOf({ processors: 8_000 })], { runMs: 60_000 })
  scenario.advance(100)
  scenario.submit(NEXT, [stepOf({ processors: 8_000 })], { acceptedAt: -20_000 })
  scenario.advance(1_000)
  t.is(backlog(scenario).find(({ idleJobs }) => idleJobs > 0)?.longestIdleMs, 21_100)
})
