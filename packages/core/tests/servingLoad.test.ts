import test from 'ava'
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { chooseSlowStart, chooseWorker, createRun, FillerInterference, HeldWorkers, JobRecord, WorkerRecord, type JobStep, type RunRecord, type SlowStart, type StepRecord } from '../src/index.ts'

const TARGET_MS = 150
const IDLE_TAIL_MS = 25
const REPORT_GAP_MS = 600
const SERVING = stepOf({ image: 'watch', isLasting: true, latencyTargetMs: TARGET_MS, processors: 8_000, taskCount: 6 })
const SMALL_FILLER = stepOf({ image: 'batch', isFiller: true, processors: 8_000 })
const FILLER = stepOf({ image: 'batch', isFiller: true, processors: 14_000 })

const workerOf = (id: string): WorkerRecord => {
  const worker = new WorkerRecord(workerEntryOf(id, { processors: 32_000 }), brand(0), 1_000)
  worker.hasReported = true
  return worker
}

const stepsOf = (shape: JobStep): StepRecord => {
  const [step] = new JobRecord(jobOf(shape.image, [shape])).createOccurrence(0)
  if (step === undefined) throw new Error('The job has no step')
  return step
}

const runOn = (worker: WorkerRecord, step: StepRecord, index: number): RunRecord => {
  const task = step.tasks[index]
  if (task === undefined) throw new Error('The step has no such task')
  const run: RunRecord = { ...createRun(task, brand<Attempt>(1), worker, 'running', brand<Instant>(0)), progressPercent: 100 }
  worker.addRun(run)
  return run
}

/** Two workers, each with three serving tasks of the same job, and a filler on the first. */
class TwoWorkers {
  readonly interference = new FillerInterference()
  readonly first = workerOf('first')
  readonly second = workerOf('second')
  readonly serving: readonly RunRecord[]
  readonly filler: RunRecord
  #now = 0

  constructor () {
    const step = stepsOf(SERVING)
    this.serving = [0, 1, 2, 3, 4, 5].map(index => runOn(index < 3 ? this.first : this.second, step, index))
    this.filler = runOn(this.first, stepsOf(stepOf({ image: 'batch', isFiller: true, processors: 4_000 })), 0)
    this.filler.progressPercent = 50
  }

  get now (): Instant {
    return brand<Instant>(this.#now)
  }

  /** Both workers report at utilisation `busy`; `added` is the filler's interference, `oddTail` an outlier of the first task in ms; `afterMs` since the last report. */
  report (busy: number, { oddTail, added = 0, afterMs = REPORT_GAP_MS }: { oddTail?: number, added?: number, afterMs?: number } = {}): void {
    this.#now += afterMs
    this.filler.reading = 4_000
    for (const [index, run] of this.serving.entries()) run.reading = IDLE_TAIL_MS / (1 - busy - (index < 3 ? added : 0))
    if (oddTail !== undefined && this.serving[0] !== undefined) this.serving[0].reading = oddTail
    for (const worker of [this.second, this.first]) worker.pacing.update(worker.runs.values(), this.interference, this.now)
  }
}

test('a single outlier near peak load does not slow down a filler', t => {
  const workers = new TwoWorkers()
  for (const busy of [0.1, 0.3, 0.5, 0.65]) workers.report(busy)
  workers.report(0.7, { oddTail: 140 })
  workers.report(0.72, { oddTail: 145 })
  t.is(workers.filler.pacePercent, 100)
})

test('pressure that rises on all tasks equally does not slow down a filler, since that would not help', t => {
  const workers = new TwoWorkers()
  for (const busy of [0.1, 0.3, 0.5, 0.7, 0.8, 0.83]) workers.report(busy)
  t.is(workers.filler.pacePercent, 100)
})

test('a filler that raises the tail latencies on its worker over target is suspended within two reports', t => {
  const workers = new TwoWorkers()
  for (const busy of [0.1, 0.3, 0.5]) workers.report(busy)
  for (let round = 0; round < 2; round++) workers.report(0.6, { added: 0.3 })
  t.is(workers.filler.pacePercent, 0)
})

test('a single task that stays over its target slows down the filler, whatever the other tasks on the worker report', t => {
  const workers = new TwoWorkers()
  for (const busy of [0.1, 0.3, 0.5, 0.6]) workers.report(busy)
  for (let round = 0; round < 5; round++) workers.report(0.6, { oddTail: 400 })
  t.is(workers.filler.pacePercent, 0)
})

test('a filler is placed where the load leaves free capacity, and not where the load is expected to need it', t => {
  const choices = [0.3, 0.7].map(busy => {
    const workers = new TwoWorkers()
    workers.report(0.05)
    for (let round = 0; round < 4; round++) workers.report(busy)
    const [task] = stepsOf(FILLER).tasks
    return task === undefined ? undefined : chooseWorker(task, [workers.second], new HeldWorkers(1), workers.interference, workers.now)?.entry.id
  })
  t.deepEqual(choices.map(id => id === undefined ? undefined : String(id)), ['second', undefined])
})

test('a worker gets no new filler, of whatever image, until its serving tasks have recovered from the present ones', t => {
  const workers = new TwoWorkers()
  const [task] = stepsOf(stepOf({ image: 'other', isFiller: true, processors: 1_000 })).tasks
  const choose = (): string | undefined => task === undefined ? undefined : chooseWorker(task, [workers.first], new HeldWorkers(1), workers.interference, workers.now)?.entry.id
  // Nothing has been learnt that speaks against the other image.
  for (const busy of [0.1, 0.2, 0.3, 0.2, 0.1]) workers.report(busy)
  t.is(choose(), workers.first.entry.id)
  for (let round = 0; round < 3; round++) workers.report(0.1, { added: 0.8 })
  t.is(choose(), undefined)
  for (let round = 0; round < 4; round++) workers.report(0.1)
  t.is(choose(), workers.first.entry.id)
})

test('a report that comes before a slow-down can show in it does not reopen the worker to fillers', t => {
  const workers = new TwoWorkers()
  const [task] = stepsOf(stepOf({ image: 'other', isFiller: true, processors: 1_000 })).tasks
  for (const busy of [0.1, 0.2, 0.3, 0.2, 0.1]) workers.report(busy)
  for (let round = 0; round < 2; round++) workers.report(0.1, { added: 0.8 })
  t.is(workers.filler.pacePercent, 0)
  workers.report(0.1, { afterMs: 100 })
  t.is(task === undefined ? undefined : chooseWorker(task, [workers.first], new HeldWorkers(1), workers.interference, workers.now), undefined)
})

const slowStartOn = ({ second, interference, now }: TwoWorkers): SlowStart | undefined => {
  const [task] = stepsOf(SMALL_FILLER).tasks
  return task === undefined ? undefined : chooseSlowStart(task, [second], new HeldWorkers(1), interference, now)
}

test('a filler that would raise tail latencies over their target at full pace may start at a pace that leaves them below', t => {
  const workers = new TwoWorkers()
  workers.report(0.05)
  for (let round = 0; round < 8; round++) workers.report(0.7, { added: 0.1 })
  const { pacePercent = 0 } = slowStartOn(workers) ?? {}
  t.true(pacePercent > 0 && pacePercent < 100, `${pacePercent}`)
  const running = workers.second.runs.values()
  t.true(workers.interference.maxExpectedPressure({ ...SMALL_FILLER, processors: SMALL_FILLER.processors * pacePercent / 100 }, running, workers.now) < 1)
})

test('a filler that leaves tail latencies below their target at full pace is not started at a reduced one', t => {
  const workers = new TwoWorkers()
  workers.report(0.05)
  for (let round = 0; round < 4; round++) workers.report(0.3)
  t.is(slowStartOn(workers), undefined)
})

test('no filler starts at a reduced pace beside four that run below full pace', t => {
  const workers = new TwoWorkers()
  workers.report(0.05)
  for (let round = 0; round < 8; round++) workers.report(0.7, { added: 0.1 })
  const slow = stepsOf(stepOf({ image: 'other', isFiller: true, processors: 100, taskCount: 4 }))
  for (const index of [0, 1, 2]) runOn(workers.second, slow, index).pacePercent = 10
  t.truthy(slowStartOn(workers))
  runOn(workers.second, slow, 3).pacePercent = 0
  t.is(slowStartOn(workers), undefined)
})

test('beside a serving task that is over its target by its own load a filler starts at a pace that adds next to nothing', t => {
  const workers = new TwoWorkers()
  workers.report(0.05)
  for (let round = 0; round < 8; round++) workers.report(0.9, { added: 0.05 })
  const { pacePercent = 100 } = slowStartOn(workers) ?? {}
  const added = workers.interference.maxAddedPressure(SMALL_FILLER, workers.second.runs.values())
  t.true(added * pacePercent / 100 <= 0.02, `${added} at ${pacePercent} %`)
})
