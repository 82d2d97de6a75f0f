import test from 'ava'
import { brand, SeededRandom, VirtualClock, type TransactionId } from '@auburnpin/common'
import { FakeLink, FakeTableStore, IMMEDIATE, type CallDelivery } from '@auburnpin/fakes'
import { MemoryTable } from '@auburnpin/stand-in'
import { RetryingTable, type Row, type Transaction } from '../src/index.ts'

const DEADLINE_MS = 20_000

const create = () => {
  const clock = new VirtualClock()
  const memory = new MemoryTable()
  const link = new FakeLink(clock)
  const inner = new FakeTableStore(memory, link, 'a')
  return { clock, memory, link, inner, table: new RetryingTable(inner, clock, new SeededRandom(3), DEADLINE_MS) }
}

const make = (id: string, key: string, checks: Transaction['checks'] = [{ kind: 'absent', key }]): Transaction =>
  ({ id: brand<TransactionId>(id), checks, puts: [{ key, value: id }], deletes: [] })

/** Returns a policy that applies the deliveries to the first transactions, one each; all other calls are immediate. */
const policyOf = (...deliveries: CallDelivery[]) => (_from: string, _to: string, operation: string): CallDelivery =>
  (operation.startsWith('transact') ? deliveries.shift() : undefined) ?? IMMEDIATE

const LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'back' }

const settle = async <Value>(clock: VirtualClock, promise: Promise<Value>): Promise<Value> => {
  const state = { isSettled: false }
  void promise.then(() => { state.isSettled = true })
  while (!state.isSettled) await clock.advance(100)
  return await promise
}

test('a transaction that commits but loses its responses is reported as committed, and nothing is written twice', async t => {
  const { clock, memory, link, table } = create()
  link.setDeliveryPolicy(policyOf(LOST, LOST))
  const outcome = await settle(clock, table.transact(make('one', 'row')))
  t.is(outcome.unwrap().kind, 'committed')
  t.is(memory.history.length, 1)
})

test('a transaction whose request arrives late, after a retry, commits once', async t => {
  const { clock, memory, link, table } = create()
  link.setDeliveryPolicy(policyOf({ requestDelayMs: 5_000, responseDelayMs: 0, loss: 'late' }))
  const outcome = await settle(clock, table.transact(make('one', 'row')))
  await clock.advance(10_000)
  t.is(outcome.unwrap().kind, 'committed')
  t.is(memory.history.length, 1)
})

test('a commit with a lost response is recognised although another transaction has changed a checked row since', async t => {
  const { clock, memory, link, inner, table } = create()
  await inner.transact(make('base', 'current'))
  const { version } = (await inner.read('current')).unwrap() as Row
  link.setDeliveryPolicy(policyOf(LOST))
  const mine = table.transact({
    id: brand<TransactionId>('mine'),
    checks: [{ kind: 'version', key: 'current', version }, { kind: 'absent', key: 'note' }],
    puts: [{ key: 'current', value: 1 }, { key: 'note', value: 1 }],
    deletes: []
  })
  await clock.advance(1)
  const seen = (await inner.read('current')).unwrap()
  await inner.transact(make('other', 'current', [{ kind: 'version', key: 'current', version: seen?.version ?? version }]))
  t.is((await settle(clock, mine)).unwrap().kind, 'committed')
  t.is(memory.history.filter(write => write.transaction === 'mine').length, 2)
})

test('a real conflict is returned with the row that differs', async t => {
  const { clock, link, inner, table } = create()
  await inner.transact(make('base', 'row'))
  link.setDeliveryPolicy(policyOf({ requestDelayMs: 0, responseDelayMs: 0, loss: 'there' }))
  const outcome = (await settle(clock, table.transact(make('late', 'row')))).unwrap()
  t.is(outcome.kind === 'conflict' && outcome.row?.value, 'base')
})

test('a transaction that its caller sends again after an unknown outcome is reported as committed', async t => {
  const { clock, memory, link, table } = create()
  const transaction = make('one', 'row')
  link.setDeliveryPolicy((_from, _to, operation) => operation.startsWith('transact') ? LOST : IMMEDIATE)
  const first = await settle(clock, table.transact(transaction))
  t.is(first.err && first.val.kind, 'unknown-outcome')
  link.setDeliveryPolicy(() => IMMEDIATE)
  t.is((await settle(clock, table.transact(transaction))).unwrap().kind, 'committed')
  t.is(memory.history.length, 1)
})

test('a deletion whose response was lost counts as committed', async t => {
  const { clock, link, inner, table } = create()
  await inner.transact(make('base', 'row'))
  const { version } = (await inner.read('row')).unwrap() as Row
  link.setDeliveryPolicy(policyOf(LOST))
  const outcome = await settle(clock, table.transact({
    id: brand<TransactionId>('gone'), checks: [{ kind: 'version', key: 'row', version }], puts: [], deletes: ['row']
  }))
  t.is(outcome.unwrap().kind, 'committed')
})

test('a transaction that checks none of the rows that it writes is refused', async t => {
  const { table } = create()
  const outcome = await table.transact(make('blind', 'row', [{ kind: 'absent', key: 'other' }]))
  t.is(outcome.err && outcome.val.kind, 'invalid-request')
})
