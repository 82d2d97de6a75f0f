import test from 'ava'
import { brand, type Epoch, type Incarnation, type Instant, type WorkerId } from '@auburnpin/common'
import { WorkerEpochs } from '../src/WorkerEpochs.ts'

const incarnationOf = (id: string, incarnation: number): { id: WorkerId, incarnation: Incarnation } => ({ id: brand<WorkerId>(id), incarnation: brand<Incarnation>(incarnation) })
const at = (ms: number): Instant => brand<Instant>(ms)
const epoch = (value: number): Epoch => brand<Epoch>(value)

test('calls to a later incarnation of a worker have a higher epoch, and those to others keep theirs', t => {
  const epochs = new WorkerEpochs()
  const [first, other, later] = [incarnationOf('w1', 1), incarnationOf('w2', 1), incarnationOf('w1', 2)]
  t.false(epochs.areHigherNeeded([first, other]))
  epochs.assign([first, other], epoch(4), at(0))
  t.false(epochs.areHigherNeeded([first, other]))
  t.true(epochs.areHigherNeeded([later, other]))
  t.is(epochs.of(later), undefined)
  epochs.assign([later, other], epoch(5), at(100))
  t.is(epochs.of(later), epoch(5))
  t.is(epochs.of(other), epoch(4))
  t.is(epochs.of(first), undefined)
})

test('a later incarnation of a worker that has left has a higher epoch for as long as calls to the one before may be carried out', t => {
  const epochs = new WorkerEpochs()
  const [first, other, later] = [incarnationOf('w1', 1), incarnationOf('w2', 1), incarnationOf('w1', 2)]
  epochs.assign([first, other], epoch(4), at(0))
  epochs.assign([other], epoch(4), at(60_000))
  t.is(epochs.of(first), undefined)
  epochs.assign([other], epoch(4), at(72_000))
  t.true(epochs.areHigherNeeded([later, other]))
  epochs.assign([other], epoch(4), at(72_001))
  t.false(epochs.areHigherNeeded([later, other]))
})
