import test from 'ava'
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { chooseWorker, createRun, Disturbance, JobRecord, WorkerRecord, type JobStep, type RunRecord, type StepRecord } from '../src/index.ts'

const TARGET_MS = 150
const IDLE_TAIL_MS = 25
const REPORT_GAP_MS = 600
const SERVING = stepOf({ image: 'watch', isLasting: true, latencyTargetMs: TARGET_MS, processors: 8_000, taskCount: 6 })
const FILLER = stepOf({ image: 'batch', isFiller: true, processors: 14_000 })

const workerOf = (id: string): WorkerRecord => {
  const worker = new WorkerRecord(workerEntryOf(id, { processors: 32_000 }), brand(0), 1_000)
  worker.isSwept = true
  return worker
}

const stepsOf = (shape: JobStep): StepRecord => {
  const [step] = new JobRecord(jobOf(shape.image, [shape])).begin(0)
  if (step === undefined) throw new Error('The job has no step')
  return step
}

const runOn = (worker: WorkerRecord, step: StepRecord, index: number): RunRecord => {
  const task = step.tasks[index]
  if (task === undefined) throw new Error('The step has no such task')
  const run: RunRecord = { ...createRun(task, brand<Attempt>(1), worker, 'running', brand<Instant>(0)), progressPercent: 100 }
  worker.add(run)
  return run
}

/** Two workers with three tasks each of one job, and a filler on the first. */
class Room {
  readonly disturbance = new Disturbance()
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

  /** Both workers report; `oddTail` is what the first task shows in place of the others' tail. */
  report (busy: number, { oddTail, added = 0 }: { oddTail?: number, added?: number } = {}): void {
    this.#now += REPORT_GAP_MS
    this.filler.reading = 4_000
    for (const [index, run] of this.serving.entries()) run.reading = IDLE_TAIL_MS / (1 - busy - (index < 3 ? added : 0))
    if (oddTail !== undefined && this.serving[0] !== undefined) this.serving[0].reading = oddTail
    for (const worker of [this.second, this.first]) worker.pacing.observe(worker.runs.values(), this.disturbance, this.now)
  }
}

test('one odd reading, with the load near its peak, holds no filler', t => {
  const room = new Room()
  for (const busy of [0.1, 0.3, 0.5, 0.65]) room.report(busy)
  room.report(0.7, { oddTail: 140 })
  room.report(0.72, { oddTail: 145 })
  t.is(room.filler.pacePercent, 100)
})

test('a load that nears the target of all tasks alike holds no filler, as that would not help', t => {
  const room = new Room()
  for (const busy of [0.1, 0.3, 0.5, 0.7, 0.8, 0.83]) room.report(busy)
  t.is(room.filler.pacePercent, 100)
})

test('a filler that raises the tails beside it over their target is held within two reports', t => {
  const room = new Room()
  for (const busy of [0.1, 0.3, 0.5]) room.report(busy)
  for (let round = 0; round < 2; round++) room.report(0.6, { added: 0.3 })
  t.is(room.filler.pacePercent, 0)
})

test('a task alone over its target for long counts, whatever its neighbours show', t => {
  const room = new Room()
  for (const busy of [0.1, 0.3, 0.5, 0.6]) room.report(busy)
  for (let round = 0; round < 5; round++) room.report(0.6, { oddTail: 400 })
  t.is(room.filler.pacePercent, 0)
})

test('a filler goes where the load leaves room for it, and not where the load is about to need it', t => {
  const choices = [0.3, 0.7].map(busy => {
    const room = new Room()
    room.report(0.05)
    for (let round = 0; round < 4; round++) room.report(busy)
    const [task] = stepsOf(FILLER).tasks
    return task === undefined ? undefined : chooseWorker(task, [room.second], room.disturbance, room.now)?.entry.id
  })
  t.deepEqual(choices.map(id => id === undefined ? undefined : String(id)), ['second', undefined])
})
