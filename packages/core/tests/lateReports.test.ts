import test from 'ava'
import { brand, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentBoardObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobBoard, type RunOrder } from '../src/index.ts'

const LEASE_MS = 4_000
const LATE_MS = 9_000
const at = (ms: number): Instant => brand<Instant>(ms)
const isStart = (order: RunOrder): order is RunOrder & { kind: 'start' } => order.kind === 'start'

/** A board whose one task runs on one of two workers, with a lease that is long over at `LATE_MS`. */
const startTask = (): Readonly<{ board: JobBoard, order: RunOrder & { kind: 'start' } }> => {
  const board = new JobBoard(brand<Epoch>(1), { leaseMs: LEASE_MS }, at(0), new SilentBoardObserver())
  const entries = ['w1', 'w2'].map(id => workerEntryOf(id))
  board.listWorkers(entries, at(0))
  for (const { id, incarnation } of entries) board.hear(id, { incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  board.accept(jobOf('00000000000000d1', [stepOf()]), at(0))
  const order = board.decide(at(10), 10).find(isStart)
  if (order === undefined) throw new Error('Nothing was started')
  board.workers.get(order.worker)?.extend(10 + LEASE_MS)
  board.startAnswered(order.worker, order.task, order.attempt, 'started', at(20))
  return { board, order }
}

test('an owner that reads a report late takes the end in it and does not start the task again', t => {
  const { board, order } = startTask()
  t.deepEqual(board.decide(at(LATE_MS), LATE_MS).filter(isStart), [])
  const ended = [{ sequence: 1, task: order.task, attempt: order.attempt, ending: 'done' as const, checkpoint: '' }]
  board.hear(order.worker, { incarnation: brand(1), clockMs: LATE_MS, running: [], ended }, at(LATE_MS), at(LATE_MS))
  t.deepEqual(board.decide(at(LATE_MS + 10), LATE_MS + 10).filter(isStart), [])
  t.is(board.jobs.get(brand('00000000000000d1'))?.phase, 'completed')
})

test('a task on a worker that does not answer starts elsewhere once the lease is over', t => {
  const { board, order } = startTask()
  board.workers.get(order.worker)?.missAnswer()
  t.deepEqual(board.decide(at(1_000), 1_000).filter(isStart), [])
  const [again] = board.decide(at(LATE_MS), LATE_MS).filter(isStart)
  t.is(again?.task, order.task)
  t.not(again?.worker, order.worker)
})
