import test from 'ava'
import { brand, type Epoch, type Incarnation, type WorkerId } from '@auburnpin/common'
import { WorkerEpochs } from '../src/WorkerEpochs.ts'

const incarnationOf = (id: string, incarnation: number): { id: WorkerId, incarnation: Incarnation } => ({ id: brand<WorkerId>(id), incarnation: brand<Incarnation>(incarnation) })
const epoch = (value: number): Epoch => brand<Epoch>(value)

test('calls to a later incarnation of a worker have a higher epoch, and those to others keep theirs', t => {
  const epochs = new WorkerEpochs()
  const [first, other, later] = [incarnationOf('w1', 1), incarnationOf('w2', 1), incarnationOf('w1', 2)]
  t.false(epochs.areHigherNeeded([first, other]))
  epochs.assign([first, other], epoch(4))
  t.false(epochs.areHigherNeeded([first, other]))
  t.true(epochs.areHigherNeeded([later, other]))
  t.is(epochs.of(later), undefined)
  epochs.assign([later, other], epoch(5))
  t.is(epochs.of(later), epoch(5))
  t.is(epochs.of(other), epoch(4))
  t.is(epochs.of(first), undefined)
})
