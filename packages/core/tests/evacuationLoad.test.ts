import test from 'ava'
import { SeededRandom, type Instant, type WorkerId } from '@auburnpin/common'
import { stepOf } from '@auburnpin/fakes'
import { evacuationOf } from '../src/index.ts'
import { SchedulerScenario, type Start } from './support/SchedulerScenario.ts'

const WORKERS = 246
const DATA_CENTRES = 4
const PASS_MS = 100
const EVACUATED_AT = 5_000
const RESTORED_AT = 11_000
const ENDS_AT = 18_000
/** Queues of the first installation: jobs per 100 ms, and the step of which a job has one or two. */
const URGENT = { jobs: 1.24, step: { taskCount: 10, processors: 3_800, estimateMs: 640, memoryMb: 1_000 }, runMs: 640, twoStepsShare: 0.6 }
const LARGE = { jobs: 1.42, step: { taskCount: 20, processors: 3_500, estimateMs: 1_700, memoryMb: 500, isFiller: true }, runMs: 1_700, twoStepsShare: 1 }

const isInEvacuated = ({ worker }: Pick<Start, 'worker'>): boolean => Number(worker.slice(1)) % DATA_CENTRES === 0

/**
 * Plays 18 s with one data centre evacuated for 6 s. Returns the starts there meanwhile, its share of all starts in the
 * second after the restoration, and for a span of time the wait in which 95 % of the urgent jobs have started all tasks.
 */
const play = (isSpread: boolean): Readonly<{ closedStarts: number, returnedShare: number, waitMs: (from: number, to: number) => number }> => {
  const random = new SeededRandom(90)
  const scenario = new SchedulerScenario(Object.fromEntries(Array.from({ length: WORKERS }, (_, index) => [`w${index}`, 32_000])), { memoryMb: 125_000 })
  const urgent: Array<{ id: string, at: number }> = []
  let jobs = 0
  scenario.advance(ENDS_AT, now => {
    const isEvacuated = now >= EVACUATED_AT && now < RESTORED_AT
    const restoredAt = isSpread && now >= RESTORED_AT ? RESTORED_AT as Instant : undefined
    for (const worker of scenario.scheduler.workers.values()) {
      const id: WorkerId = worker.entry.id
      const isConcerned = isInEvacuated({ worker: id })
      worker.evacuation = evacuationOf(id, isEvacuated && isConcerned, isConcerned ? restoredAt : undefined, now as Instant)
    }
    for (const queue of [URGENT, LARGE]) {
      for (let due = Math.floor(queue.jobs + random.fraction()); due > 0; due--) {
        const id = (++jobs).toString(16).padStart(16, '0')
        if (queue === URGENT) urgent.push({ id, at: now })
        scenario.submit(id, [stepOf(queue.step), ...random.fraction() < queue.twoStepsShare ? [stepOf({ ...queue.step, after: [0] })] : []], { runMs: queue.runMs })
      }
    }
  })
  const afterRestoration = scenario.starts.filter(({ at }) => at >= RESTORED_AT && at < RESTORED_AT + 1_000)
  return {
    closedStarts: scenario.starts.filter(start => isInEvacuated(start) && start.at >= EVACUATED_AT && start.at < RESTORED_AT).length,
    returnedShare: afterRestoration.filter(isInEvacuated).length / afterRestoration.length,
    waitMs: (from, to) => {
      const waits = urgent.filter(({ at }) => at >= from && at < to).map(({ id, at }) => scenario.startedAllAfter(id, URGENT.step.taskCount, at))
      return waits.sort((one, other) => one - other)[Math.floor(waits.length * 0.95)] ?? Infinity
    }
  }
}

test('under load, callers are served as well while one data centre of four is evacuated, and its refill is spread', t => {
  const { closedStarts, returnedShare, waitMs } = play(true)
  const shareAtOnce = play(false).returnedShare
  const [before, during, after] = [waitMs(1_000, EVACUATED_AT), waitMs(EVACUATED_AT, RESTORED_AT), waitMs(RESTORED_AT, ENDS_AT - 3_000)] as const
  t.log(`95 % have started all tasks within ${before} ms before, ${during} during, ${after} after; share of the starts in the restored data centre in its first second ${returnedShare.toFixed(2)}, without the spread ${shareAtOnce.toFixed(2)}`)
  t.is(closedStarts, 0)
  t.true(Math.max(during, after) <= before + 2 * PASS_MS)
  t.true(returnedShare > 0 && returnedShare < shareAtOnce / 1.5)
})
