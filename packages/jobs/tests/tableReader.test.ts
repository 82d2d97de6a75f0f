import test from 'ava'
import { AuburnpinError, Err, VirtualClock, type Result } from '@auburnpin/common'
import { FakeRows } from '@auburnpin/fakes'
import { TableReader } from '../src/TableReader.ts'
import { RowStore, type RowChanges, type RowPage, type RowRange, type RowTransactionOutcome } from '../src/index.ts'

const PARTS = ['p-0', 'p-1', 'p-2', 'p-3']
const ROWS_PER_PART = 130

/** A store whose calls fail as a test says. */
class UnreliableStore extends RowStore {
  readonly #rows: FakeRows
  readonly ranges: RowRange[] = []
  fails = (_call: number, _range: RowRange): boolean => false

  constructor (rows: FakeRows) {
    super()
    this.#rows = rows
  }

  transact (): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    throw new Error('a reader writes nothing')
  }

  changes (): Promise<Result<RowChanges, AuburnpinError>> {
    throw new Error('a reader follows nothing')
  }

  range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    this.ranges.push(range)
    const unreachable = new AuburnpinError('unreachable', 'The connection was closed', 'Wait.')
    return Promise.resolve(this.fails(this.ranges.length, range) ? Err(unreachable) : { ok: true, err: false, val: this.#rows.list(range) } as Result<RowPage, AuburnpinError>)
  }
}

const storeWithRows = (): UnreliableStore => {
  const rows = new FakeRows(new VirtualClock())
  for (const part of PARTS) for (let index = 0; index < ROWS_PER_PART; index++) rows.put('t', part, `${part}-${String(index).padStart(3, '0')}`, 'v')
  return new UnreliableStore(rows)
}

// Guards against reads that begin anew after each failure and so never end over a link that fails often.
test('each try gets further than the one before, although every third call fails', async t => {
  const store = storeWithRows()
  store.fails = call => call % 3 === 0
  const reader = new TableReader(store, new VirtualClock(), 't', PARTS)
  let read = await reader.read()
  for (let tries = 1; read.err && tries < 100; tries++) {
    const before = reader.rowCount
    read = await reader.read()
    t.true(reader.rowCount > before || read.ok)
  }
  t.true(read.ok)
  const keys = read.ok ? read.val.rows.map(({ key }) => key) : []
  t.is(keys.length, PARTS.length * ROWS_PER_PART)
  t.is(new Set(keys).size, keys.length)
  for (const part of PARTS) {
    const ofPart = keys.filter(key => key.startsWith(part))
    t.deepEqual(ofPart, [...ofPart].sort(), 'the rows of a part are in the order of their keys')
  }
})

test('pages get smaller until they arrive, and a page that arrived is not asked for again', async t => {
  const store = storeWithRows()
  store.fails = (_call, { limit = Infinity }) => limit > 20
  const reader = new TableReader(store, new VirtualClock(), 't', ['p-0'])
  let read = await reader.read()
  while (read.err) read = await reader.read()
  const arrived = store.ranges.filter(({ limit = Infinity }) => limit <= 20).map(({ from }) => from)
  t.is(new Set(arrived).size, arrived.length)
  t.is(reader.rowCount, ROWS_PER_PART)
})
