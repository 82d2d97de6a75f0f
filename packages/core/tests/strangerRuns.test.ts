import test from 'ava'
import { brand, type Attempt, type Epoch, type Instant } from '@auburnpin/common'
import { BoardObserver, JobBoard, type TaskName, type WorkerEntry, type WorkerReport } from '../src/index.ts'

class SilentObserver extends BoardObserver {
  runEnded (): void {}
  runStalled (): void {}
  phaseChanged (): void {}
  workerJudged (): void {}
}

const ENTRY: WorkerEntry = { id: brand('w'), incarnation: brand(1), address: '', service: brand('desk'), zone: '', isDraining: false, labels: [], processors: 8_000, memoryMb: 1_000, accelerators: 0 }
const STRANGER = { task: 'ffffffffffffffff.0.0.0' as TaskName, attempt: brand<Attempt>(1), checkpoint: '', progressPercent: 0, reading: 0 }
const REPORT: WorkerReport = { incarnation: ENTRY.incarnation, clockMs: 0, running: [STRANGER], ended: [] }

test('a run of no known job is stopped, and the order is repeated only after a while', t => {
  const board = new JobBoard(brand<Epoch>(1), { leaseMs: 4_000 }, brand<Instant>(0), new SilentObserver())
  board.listWorkers([ENTRY], brand<Instant>(0))
  const stopsAt = (ms: number): number => {
    const now = brand<Instant>(ms)
    board.hear(ENTRY.id, REPORT, now, now)
    return board.decide(now, ms).filter(({ kind }) => kind === 'stop').length
  }
  t.deepEqual([100, 200, 300, 800].map(stopsAt), [1, 0, 0, 1])
})
