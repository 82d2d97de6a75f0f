import test from 'ava'
import { brand, SeededRandom, SilentLog, VirtualClock, type CellId, type Epoch, type JournalSequence } from '@auburnpin/common'
import type { Transition } from '@auburnpin/core'
import { FakeLink, FakeTableStore } from '@auburnpin/fakes'
import { MemoryTable } from '@auburnpin/stand-in'
import { JournalWriter, MAX_RECORD_TRANSITIONS, RECORD_INTERVAL_MS } from '../src/index.ts'
import { specOf } from './support/World.ts'

const open = (): Readonly<{ clock: VirtualClock, memory: MemoryTable, journal: JournalWriter }> => {
  const clock = new VirtualClock()
  const memory = new MemoryTable()
  memory.transact({ id: 'claim', checks: [], puts: [{ key: 'cells/c', value: { transaction: 'claim', value: {} } }], deletes: [] })
  const cell = brand<CellId>('c')
  const journal = new JournalWriter(new FakeTableStore(memory, new FakeLink(clock), 'a'), clock, new SeededRandom(1), new SilentLog(), {
    claimed: { cell, epoch: brand<Epoch>(1), check: { kind: 'version', key: 'cells/c', version: brand(1) } },
    last: brand<JournalSequence>(0),
    onFenced: () => {},
    onRecord: () => {}
  })
  return { clock, memory, journal }
}

const accepted = (index: number): Transition => ({ kind: 'accepted', spec: specOf(`order-${index}`) })

test('a step after an idle period is written immediately; a stream of steps is combined into few records', async t => {
  const { clock, memory, journal } = open()
  let durable = 0
  journal.append([accepted(0)], () => { durable++ })
  await clock.advance(1)
  t.is(durable, 1)
  for (let index = 1; index <= 1_000; index++) {
    journal.append([accepted(index)], () => { durable++ })
    await clock.advance(1)
  }
  await clock.advance(RECORD_INTERVAL_MS)
  t.is(durable, 1_001)
  t.true(memory.history.length <= 2 + 1 + 1_000 / RECORD_INTERVAL_MS, String(memory.history.length))
})

test('a full record is written without waiting for the interval', async t => {
  const { clock, memory, journal } = open()
  let durable = 0
  for (let index = 0; index < MAX_RECORD_TRANSITIONS * 3; index++) journal.append([accepted(index)], () => { durable++ })
  await clock.advance(RECORD_INTERVAL_MS / 5)
  t.true(durable >= MAX_RECORD_TRANSITIONS * 2, String(durable))
  await clock.advance(RECORD_INTERVAL_MS)
  t.is(durable, MAX_RECORD_TRANSITIONS * 3)
  t.true(memory.history.length <= 6)
})
