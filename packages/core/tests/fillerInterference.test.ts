import test from 'ava'
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { createRun, FillerInterference, JobRecord, WorkerRecord, type JobStep, type RunRecord } from '../src/index.ts'

const SERVING = stepOf({ image: 'watch', isLasting: true, latencyTargetMs: 100 })
const filler = (image: string): JobStep => stepOf({ image, isFiller: true, processors: 4_000 })

const worker = new WorkerRecord(workerEntryOf('w', { processors: 32_000 }), brand(0), 1_000)

const runOf = (shape: JobStep, reading: number): RunRecord => {
  const task = new JobRecord(jobOf('j', [shape])).createOccurrence(0)[0]?.tasks[0]
  if (task === undefined) throw new Error('The job has no task')
  return { ...createRun(task, brand<Attempt>(1), worker, 'running', brand<Instant>(0)), reading, progressPercent: 100 }
}

const learnPairs = (): FillerInterference => {
  const interference = new FillerInterference()
  for (let round = 0; round < 40; round++) {
    const now = brand<Instant>(round * 600)
    interference.learn([runOf(SERVING, 30)], now)
    interference.learn([runOf(SERVING, 32), runOf(filler('low'), 4_000)], now)
    interference.learn([runOf(SERVING, 400), runOf(filler('high'), 4_000)], now)
  }
  return interference
}

test('interference is learnt from tail latencies per filler image: a low-interference filler is estimated well below a high-interference one', t => {
  const interference = learnPairs()
  const serving = [runOf(SERVING, 30)]
  const low = interference.maxAddedPressure(filler('low'), serving)
  const high = interference.maxAddedPressure(filler('high'), serving)
  t.true(high > 0.15, `high ${high}`)
  t.true(low < high / 3, `low ${low}`)
})

test('the next owner continues from the stored estimates', t => {
  const before = learnPairs()
  const after = new FillerInterference()
  after.restore(JSON.parse(JSON.stringify(before.learnt)) as typeof before.learnt, brand<Instant>(0))
  const serving = [runOf(SERVING, 30)]
  for (const image of ['low', 'high']) {
    t.true(Math.abs(after.maxAddedPressure(filler(image), serving) - before.maxAddedPressure(filler(image), serving)) < 0.001)
  }
})
