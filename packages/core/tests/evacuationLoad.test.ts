import test from 'ava'
import { SeededRandom, type Instant, type WorkerId } from '@auburnpin/common'
import { stepOf } from '@auburnpin/fakes'
import { evacuationOf } from '../src/index.ts'
import { SchedulerScenario, type Start } from './support/SchedulerScenario.ts'

const WORKERS = 246
const DATA_CENTRES = 4
const WORKER_SHAPE = { memoryMb: 125_000 }
const PASS_MS = 100
const SECOND_MS = 1_000
const EVACUATED_AT = 5_000
const RESTORED_AT = 11_000
const ENDS_AT = 18_000
const URGENT = { taskCount: 10, processors: 3_800, estimateMs: 640, memoryMb: 1_000 }
const LARGE = { taskCount: 20, processors: 3_500, estimateMs: 1_700, memoryMb: 500, isFiller: true }

const dataCentreOf = (worker: WorkerId): number => Number(worker.slice(1)) % DATA_CENTRES

type Figures = Readonly<{
  scenario: SchedulerScenario
  closedStarts: readonly Start[]
  /** Urgent jobs submitted in a span of time, and for how long the last of their tasks waited to start, in milliseconds, ascending. */
  urgentWaits: (from: number, to: number) => readonly number[]
  /** Of all starts in the second after the restoration, the share in the restored data centre. */
  returnedShare: number
}>

/** Plays 18 s of the urgent and the large queue of the first installation, with one of four data centres evacuated for 6 s. */
const play = (isSpread: boolean): Figures => {
  const random = new SeededRandom(90)
  const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: WORKERS }, (_, index) => [`w${index}`, 32_000])), WORKER_SHAPE)
  const urgent: Array<{ id: string, at: number }> = []
  let jobs = 0
  const onPass = (now: number): void => {
    const isEvacuated = now >= EVACUATED_AT && now < RESTORED_AT
    const restoredAt = isSpread && now >= RESTORED_AT ? RESTORED_AT as Instant : undefined
    for (const worker of scenario.scheduler.workers.values()) {
      const { id } = worker.entry
      worker.evacuation = evacuationOf(id, isEvacuated && dataCentreOf(id) === 0, dataCentreOf(id) === 0 ? restoredAt : undefined, now as Instant)
    }
    for (let due = arrivals(random, 12.4); due > 0; due--) {
      const id = (++jobs).toString(16).padStart(16, '0')
      urgent.push({ id, at: now })
      scenario.submit(id, random.fraction() < 0.6 ? [stepOf(URGENT), stepOf({ ...URGENT, after: [0] })] : [stepOf(URGENT)], { runMs: 640 })
    }
    for (let due = arrivals(random, 14.2); due > 0; due--) {
      scenario.submit((++jobs).toString(16).padStart(16, '0'), [stepOf(LARGE), stepOf({ ...LARGE, after: [0] })], { runMs: 1_700 })
    }
  }
  scenario.advance(ENDS_AT, onPass)
  const inRestored = ({ worker }: Start): boolean => dataCentreOf(worker) === 0
  const afterRestoration = scenario.starts.filter(({ at }) => at >= RESTORED_AT && at < RESTORED_AT + SECOND_MS)
  return {
    scenario,
    closedStarts: scenario.starts.filter(start => inRestored(start) && start.at >= EVACUATED_AT && start.at < RESTORED_AT),
    urgentWaits: (from, to) => urgent.filter(({ at }) => at >= from && at < to).map(({ id, at }) => scenario.startedAllAfter(id, URGENT.taskCount, at)).sort((one, other) => one - other),
    returnedShare: afterRestoration.filter(inRestored).length / afterRestoration.length
  }
}

const arrivals = (random: SeededRandom, perSecond: number): number => {
  const mean = perSecond * PASS_MS / SECOND_MS
  return Math.floor(mean) + (random.fraction() < mean % 1 ? 1 : 0)
}

test('under the load of 246 workers, callers are served as well while one data centre of four is evacuated, and its refill is spread', t => {
  const spread = play(true)
  t.deepEqual(spread.closedStarts, [])
  const before = spread.urgentWaits(1_000, EVACUATED_AT)
  const during = spread.urgentWaits(EVACUATED_AT, RESTORED_AT)
  const after = spread.urgentWaits(RESTORED_AT, ENDS_AT - 3_000)
  const at95 = (waits: readonly number[]): number => waits[Math.floor(waits.length * 0.95)] ?? Infinity
  const unspread = play(false)
  t.log(`starts ${spread.scenario.starts.length}; wait at the 95th percentile before ${at95(before)}, during ${at95(during)}, after ${at95(after)} ms; share of the starts in the restored data centre in its first second ${spread.returnedShare.toFixed(2)}, without the spread ${unspread.returnedShare.toFixed(2)}`)
  t.true(at95(during) <= at95(before) + 2 * PASS_MS)
  t.true(at95(after) <= at95(before) + 2 * PASS_MS)
  t.true(spread.returnedShare > 0)
  t.true(spread.returnedShare < unspread.returnedShare / 1.5)
})
