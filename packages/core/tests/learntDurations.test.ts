import test from 'ava'
import { brand, SeededRandom, type Instant, type QueueName } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobRecord, LearntDurations, type JobStep, type StepRecord } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)

const stepRecordOf = (overrides: Partial<JobStep> = {}, queue = 'drafts'): StepRecord => {
  const job = new JobRecord(jobOf('00000000000000a1', [stepOf(overrides)], { queue: brand<QueueName>(queue) }))
  return job.createOccurrence(0)[0] as StepRecord
}

const isAbout = (value: number, expected: number): boolean => Math.abs(value - expected) <= expected * 0.02

test('the estimate of the client counts until 20 runs of the queue and image have ended', t => {
  const durations = new LearntDurations()
  const step = stepRecordOf({ estimateMs: 500, image: 'a' })
  for (let run = 0; run < 19; run++) durations.record(step, 900, at(run))
  t.is(durations.expectedMs(step), 500)
  t.is(durations.learnt(step), undefined)
  durations.record(step, 900, at(20))
  t.true(isAbout(durations.expectedMs(step), 900))
  t.is(durations.expectedMs(stepRecordOf({ estimateMs: 500, image: 'b' })), 500)
  t.is(durations.expectedMs(stepRecordOf({ estimateMs: 500, image: 'a' }, 'orders')), 500)
  t.is(durations.expectedMs(stepRecordOf({ estimateMs: 500, image: 'a', isLasting: true })), 500)
})

test('estimates that are off at random by up to nine tenths do not spoil what was learnt', t => {
  const durations = new LearntDurations()
  const random = new SeededRandom(7)
  for (let run = 0; run < 400; run++) durations.record(stepRecordOf({ estimateMs: Math.round(850 * (0.1 + 1.8 * random.fraction())) }), 800 + 100 * random.fraction(), at(run))
  t.true(isAbout(durations.expectedMs(stepRecordOf({ estimateMs: 90 })), 850))
})

test('estimates that are in proportion count where tasks of an image differ in size', t => {
  const durations = new LearntDurations()
  const random = new SeededRandom(8)
  for (let run = 0; run < 400; run++) {
    const estimateMs = 100 + Math.round(5_000 * random.fraction())
    durations.record(stepRecordOf({ estimateMs }), estimateMs * (1.9 + 0.2 * random.fraction()), at(run))
  }
  t.true(isAbout(durations.expectedMs(stepRecordOf({ estimateMs: 300 })), 600))
  t.true(isAbout(durations.expectedMs(stepRecordOf({ estimateMs: 4_000 })), 8_000))
})

test('three stragglers in a hundred change neither the median nor the 90th percentile', t => {
  const durations = new LearntDurations()
  for (let run = 0; run < 200; run++) durations.record(stepRecordOf(), run % 33 === 0 ? 5_950 : 850, at(run))
  const learnt = durations.learnt(stepRecordOf())
  t.true(learnt !== undefined && isAbout(learnt.medianMs, 850) && isAbout(learnt.highMs, 850))
})

test('when tasks become faster, the new duration is learnt after two generations by count or by time', t => {
  for (const [samples, intervalMs] of [[1_000, 1], [40, 4_000]] as const) {
    const durations = new LearntDurations()
    for (let run = 0; run < 2_000; run++) durations.record(stepRecordOf(), 4_000, at(run))
    for (let run = 0; run < samples; run++) durations.record(stepRecordOf(), 400, at(2_000 + run * intervalMs))
    t.true(isAbout(durations.expectedMs(stepRecordOf()), 400), `${samples} samples, one each ${intervalMs} ms`)
  }
})

test('memory is bounded: the queue and image without a sample for longest is forgotten', t => {
  const durations = new LearntDurations()
  for (let image = 0; image < 200; image++) {
    for (let run = 0; run < 20; run++) durations.record(stepRecordOf({ image: `i${image}` }), 100, at(image))
    for (let run = 0; run < 20; run++) durations.record(stepRecordOf({ image: 'steady' }), 100, at(image))
  }
  t.is(durations.learntCount, 128)
  t.is(durations.learnt(stepRecordOf({ image: 'i0' })), undefined)
  t.not(durations.learnt(stepRecordOf({ image: 'steady' })), undefined)
})
