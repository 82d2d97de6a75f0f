import test from 'ava'
import { brand, SeededRandom, SilentLog, VirtualClock, type AuburnpinError, type DataCentre } from '@auburnpin/common'
import { FakeLink, FakeTableStore, IMMEDIATE } from '@auburnpin/fakes'
import { RetryingTable } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import { LayoutGuard, STORE_DEADLINE_MS } from '../src/index.ts'

const OUTAGE_MS = 60_000

const setUp = () => {
  const clock = new VirtualClock()
  const link = new FakeLink(clock)
  const memory = new MemoryTable()
  const results: string[] = []
  let guards = 0
  const guard = (member: string, cellsPerDataCentre: number, names = ['colombo', 'negombo']): LayoutGuard => {
    const table = new RetryingTable(new FakeTableStore(memory, link, member), clock, new SeededRandom(1), STORE_DEADLINE_MS)
    const layout = { dataCentres: names.map(name => brand<DataCentre>(name)), cellsPerDataCentre }
    return new LayoutGuard(layout, table, clock, new SeededRandom(100 + guards++), new SilentLog(), {
      onConfirmed: () => results.push(`${member} confirmed`),
      onMismatch: (error: AuburnpinError) => results.push(`${member} ${error.kind}`)
    })
  }
  return { clock, link, results, guard }
}

test('the first layout is recorded; the same layout in another order is confirmed, any other is a conflict', async t => {
  const { clock, results, guard } = setUp()
  guard('first', 2).start()
  await clock.advance(1)
  guard('reordered', 2, ['negombo', 'colombo']).start()
  guard('other-count', 4).start()
  guard('other-places', 2, ['colombo']).start()
  await clock.advance(1)
  t.deepEqual(results, ['first confirmed', 'reordered confirmed', 'other-count conflict', 'other-places conflict'])
})

test('of two members that set up a region concurrently with different layouts only one is confirmed', async t => {
  const { clock, link, results, guard } = setUp()
  link.setDeliveryPolicy(() => ({ ...IMMEDIATE, requestDelayMs: 5 }))
  guard('one', 1).start()
  guard('two', 2).start()
  await clock.advance(1_000)
  t.deepEqual(results, ['one confirmed', 'two conflict'])
})

test('the layout is confirmed only once the store is available again', async t => {
  const { clock, link, results, guard } = setUp()
  link.setDeliveryPolicy(() => ({ ...IMMEDIATE, loss: 'refused' }))
  guard('late', 1).start()
  await clock.advance(OUTAGE_MS)
  t.deepEqual(results, [])
  link.setDeliveryPolicy(() => IMMEDIATE)
  await clock.advance(OUTAGE_MS)
  t.deepEqual(results, ['late confirmed'])
})
