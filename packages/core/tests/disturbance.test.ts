import test from 'ava'
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { createRun, Disturbance, JobRecord, WorkerRecord, type JobStep, type RunRecord } from '../src/index.ts'

const SERVING = stepOf({ image: 'watch', isLasting: true, latencyTargetMs: 100 })
const filler = (image: string): JobStep => stepOf({ image, isFiller: true, processors: 4_000 })

const worker = new WorkerRecord(workerEntryOf('w', { processors: 32_000 }), brand(0), 1_000)

const runOf = (shape: JobStep, reading: number): RunRecord => {
  const task = new JobRecord(jobOf('j', [shape])).begin(0)[0]?.tasks[0]
  if (task === undefined) throw new Error('The job has no task')
  return { ...createRun(task, brand<Attempt>(1), worker, 'running', brand<Instant>(0)), reading, progressPercent: 100 }
}

const learnPairs = (): Disturbance => {
  const disturbance = new Disturbance()
  for (let round = 0; round < 40; round++) {
    const now = brand<Instant>(round * 600)
    disturbance.learn([runOf(SERVING, 30)], now)
    disturbance.learn([runOf(SERVING, 32), runOf(filler('gentle'), 4_000)], now)
    disturbance.learn([runOf(SERVING, 400), runOf(filler('rough'), 4_000)], now)
  }
  return disturbance
}

test('which filler disturbs is learnt from the tails, and the gentle one is told from the rough one', t => {
  const disturbance = learnPairs()
  const serving = [runOf(SERVING, 30)]
  const gentle = disturbance.harmOf(filler('gentle'), serving)
  const rough = disturbance.harmOf(filler('rough'), serving)
  t.true(rough > 0.15, `rough ${rough}`)
  t.true(gentle < rough / 3, `gentle ${gentle}`)
})

test('the next owner goes on from what was learnt', t => {
  const before = learnPairs()
  const after = new Disturbance()
  after.restore(JSON.parse(JSON.stringify(before.learnt)) as typeof before.learnt, brand<Instant>(0))
  const serving = [runOf(SERVING, 30)]
  for (const image of ['gentle', 'rough']) {
    t.true(Math.abs(after.harmOf(filler(image), serving) - before.harmOf(filler(image), serving)) < 0.001)
  }
})
