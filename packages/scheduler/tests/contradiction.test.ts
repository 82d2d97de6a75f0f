import test from 'ava'
import { brand, type Attempt, type Epoch, type JournalSequence, type LeaseSession, type VmId } from '@auburnpin/common'
import { CELL_FORMAT, type Transition } from '@auburnpin/core'
import { cellKey, journalKey } from '@auburnpin/cluster'
import { FakeTableStore } from '@auburnpin/fakes'
import { CellRunner } from '../src/index.ts'
import { CELL, specOf, World } from './support/World.ts'

const assigned = (attempt: number): Transition => ({
  kind: 'assigned', task: specOf('order-1').id, attempt: brand<Attempt>(attempt), vm: brand<VmId>('vm-1'), session: brand<LeaseSession>('session-1')
})

test('an inconsistent journal is rejected as corrupt and stops no other cell', async t => {
  const world = new World(1, () => ({ kind: 'stay' }))
  const record = { format: CELL_FORMAT, epoch: 1, transitions: [{ kind: 'accepted', spec: specOf('order-1') }, assigned(1), assigned(2)] }
  const key = journalKey(CELL, brand<JournalSequence>(1))
  world.table.transact({ id: 'seed', checks: [], puts: [{ key, value: { transaction: 'seed', value: record } }], deletes: [] })
  const claimed = { cell: CELL, epoch: brand<Epoch>(2), check: { kind: 'absent', key: cellKey(CELL) } } as const
  const opened = await CellRunner.open(claimed, [CELL], world.ports('a', new FakeTableStore(world.table, world.link, 'a')), () => {})
  t.true(opened.err)
  if (opened.err) {
    t.is(opened.val.kind, 'corrupt')
    t.true(opened.val.message.includes('task-never-in-two-places'))
  }
})
