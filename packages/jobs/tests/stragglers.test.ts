import test from 'ava'
import { SeededRandom } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN_MS = 850
const STRAGGLER_FACTOR = 7
const TASKS = 10
const LOAD_MS = 30_000

type Load = Readonly<{ workers: number, jobsPerSecond: number, isSpeculative: boolean, seed: number }>

type Outcome = Readonly<{ inTimeShare: number, jobs: number, starts: number, copies: number, copiesUnderLoad: number, breaches: readonly string[] }>

/** Jobs of 10 tasks on 2 of 8 cores each; 3 runs in 100 take 7 times as long, and estimates are off by up to nine tenths. */
const runLoad = async ({ workers, jobsPerSecond, isSpeculative, seed }: Load): Promise<Outcome> => {
  const random = new SeededRandom(seed)
  const simulation = new JobsSimulation(workers, () => ({ runMs: (random.fraction() < 0.03 ? STRAGGLER_FACTOR : 1) * RUN_MS * (0.95 + 0.1 * random.fraction()), ending: 'done' }))
  simulation.allowsCopies = () => isSpeculative
  for (const [index, worker] of [...simulation.workers.values()].entries()) worker.rack = `r${index % 4}`
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  const submittedAt = new Map<string, number>()
  for (let index = 0; index < LOAD_MS / 1_000 * jobsPerSecond; index++) {
    const id = String(index).padStart(16, '0')
    const step = stepOf({ taskCount: TASKS, processors: 2_000, estimateMs: Math.round(RUN_MS * (0.1 + 1.8 * random.fraction())), image: 'desk', isSpeculative })
    submittedAt.set(id, simulation.clock.now())
    void node.jobs.submit(jobOf(id, [step], { acceptedAt: simulation.clock.wallTime() }), 2_000)
    await simulation.advance(1_000 / jobsPerSecond)
  }
  const loadEndsAt = simulation.clock.now()
  await simulation.advance(10_000)
  const doneAt = new Map<string, number>()
  for (const { task, how, at } of simulation.events) if (how === 'done' && !doneAt.has(task)) doneAt.set(task, at)
  // The objective is 2 x 850 ms + 1 s.
  const isInTime = ([id, at]: [string, number]): boolean => Array.from({ length: TASKS }, (_, index) => (doneAt.get(`${id}.0.0.${index}`) ?? Infinity) - at <= 2_700).every(Boolean)
  const starts = simulation.events.filter(({ kind }) => kind === 'started')
  const countCopies = (events: typeof starts): number => events.length - new Set(events.map(({ task }) => task)).size
  return { inTimeShare: [...submittedAt].filter(isInTime).length / submittedAt.size, jobs: submittedAt.size, starts: starts.length, copies: countCopies(starts), copiesUnderLoad: countCopies(starts.filter(({ at }) => at < loadEndsAt)), breaches: simulation.breaches }
}

test('of jobs with stragglers, most more end in time if their steps allow copies', async t => {
  for (const seed of [1, 2, 3]) {
    const withCopies = await runLoad({ workers: 24, jobsPerSecond: 4, isSpeculative: true, seed })
    const without = await runLoad({ workers: 24, jobsPerSecond: 4, isSpeculative: false, seed })
    t.log(seed, withCopies, without)
    t.deepEqual([...withCopies.breaches, ...without.breaches], [])
    t.true(withCopies.inTimeShare >= 0.9)
    t.true(without.inTimeShare <= 0.85)
    t.true(withCopies.copies <= 0.06 * withCopies.starts)
    t.is(without.copies, 0)
  }
})

test('near full utilisation no run gets a copy', async t => {
  const { copiesUnderLoad, starts, breaches } = await runLoad({ workers: 8, jobsPerSecond: 4, isSpeculative: true, seed: 4 })
  t.true(starts >= 1_200)
  t.deepEqual(breaches, [])
  t.is(copiesUnderLoad, 0)
})
