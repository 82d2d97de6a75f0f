import test from 'ava'
import { brand, type Epoch, type Instant, type ServiceName, type WorkerId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { chooseCell, chooseTransfer, evacuationOf, findObstacles, type CellLoad, type CellWorkers, type WorkerEvacuation } from '../src/index.ts'
import { AnnouncedStarts } from '../src/jobs/AnnouncedStarts.ts'
import { SchedulerScenario } from './support/SchedulerScenario.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000a2'

const setEvacuation = ({ scheduler }: SchedulerScenario, evacuation: WorkerEvacuation, ...ids: readonly string[]): void => {
  for (const id of ids) {
    const worker = scheduler.workers.get(brand<WorkerId>(id))
    if (worker !== undefined) worker.evacuation = evacuation
  }
}

test('workers of an evacuated data centre get neither tasks nor restarts nor announced starts, and do not count; returning ones get restarts only', t => {
  const scenario = new SchedulerScenario({ w1: 8_000, w2: 8_000 })
  const { scheduler } = scenario
  scenario.submit(FIRST, [stepOf({ taskCount: 2, processors: 6_000, isLasting: true })])
  scenario.advance(200)
  t.is(scheduler.loadPercent, 75)
  const run = [...scheduler.workers.get(brand<WorkerId>('w1'))?.runs.values() ?? []][0]!
  const announced = new AnnouncedStarts(brand<Epoch>(1))
  announced.add(run)
  run.task.crashes.markStored()
  setEvacuation(scenario, 'evacuated', 'w1')
  t.deepEqual(announced.take(scenario.now, 10), { due: [], obsolete: [run] })
  t.is(scheduler.processors, 8_000)
  t.is(scheduler.loadPercent, 75)
  scenario.fail(run.task.name)
  scenario.submit(SECOND, [stepOf({ taskCount: 4 })], { runMs: 500 })
  scenario.advance(3_000)
  t.deepEqual(scenario.starts.slice(2).map(({ worker }) => worker as string), ['w2', 'w2', 'w2', 'w2'])
  const { counts, free } = findObstacles(run.task, [...scheduler.workers.values()], scheduler.held, scheduler.interference, scenario.now)
  t.deepEqual(counts, new Map([['evacuated', 1], ['processors', 1]]))
  t.is(free, 2_000)
  setEvacuation(scenario, 'evacuated', 'w1', 'w2')
  t.is(scheduler.loadPercent, 0)
  setEvacuation(scenario, 'returning', 'w1', 'w2')
  scenario.submit(SECOND.replace('2', '3'), [stepOf()])
  scenario.advance(1_000)
  t.deepEqual(scenario.starts.slice(6).map(({ task, worker }) => `${task} ${worker}`), [`${run.task.name} w1`])
})

test('the workers of a restored data centre return evenly over four seconds', t => {
  const ids = Array.from({ length: 400 }, (_, index) => brand<WorkerId>(`i-${index}`))
  const returned = (ms: number): number => ids.filter(id => evacuationOf(id, false, brand<Instant>(1_000), brand<Instant>(1_000 + ms)) === 'none').length
  for (const [ms, share] of [[0, 0], [1_000, 0.25], [2_000, 0.5], [3_000, 0.75]] as const) t.true(Math.abs(returned(ms) / ids.length - share) < 0.08, `${returned(ms)} after ${ms} ms`)
  t.is(returned(4_000), ids.length)
  t.is(evacuationOf(ids[0]!, true, brand<Instant>(1_000), brand<Instant>(9_000)), 'evacuated')
  t.is(evacuationOf(ids[0]!, false, undefined, brand<Instant>(9_000)), 'none')
})

const OFFER = { processors: 8_000, memoryMb: 1_000, accelerators: 0, labels: ['r1'] }
const cellOf = (labels: readonly string[] = []): CellWorkers => ({ racks: [], services: { [brand<ServiceName>('desk')]: { ...OFFER, labels } }, epochOffsets: {} })
const EVACUATED: CellLoad = { workers: 0, loadPercent: 0, isOwned: true, isEvacuated: true }
const LOADED: CellLoad = { workers: 4, loadPercent: 300, isOwned: true }

test('jobs go to a loaded cell instead of an evacuated one, also if that holds their data', t => {
  const job = jobOf(FIRST, [stepOf({ dataRack: 'r1' })])
  for (const fraction of [0, 0.3, 0.6, 0.99]) {
    t.is(chooseCell(job, [cellOf(['r1']), cellOf()], [EVACUATED, LOADED], fraction), 1)
    t.is(chooseCell(job, [cellOf(['r1']), cellOf()], [EVACUATED, EVACUATED], fraction), 0)
    t.is(chooseCell(job, [cellOf(['r1'])], [EVACUATED], fraction), 0)
  }
  t.is(chooseTransfer(job, 0, [cellOf(), cellOf()], [LOADED, EVACUATED]), undefined)
})
