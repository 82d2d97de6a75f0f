import test from 'ava'
import { brand, SeededRandom, SilentMetrics, VirtualClock, type TransactionId } from '@auburnpin/common'
import { FakeLink, FakeTableStore, IMMEDIATE } from '@auburnpin/fakes'
import { MemoryTable } from '@auburnpin/stand-in'
import {
  BREAKER_FAILURES, RateLimitedTable, PriorityRateLimiter, CircuitBreaker, BREAKER_MAX_PAUSE_MS, MAX_WAITING_CALLS, REGION_WRITES_PER_SECOND, RetryingTable,
  StoreGate, type CallClass, type CallClassifier
} from '../src/index.ts'

const OUTAGE_MS = 60_000
const PROCESSES = 18
const WRITES_EACH = 100

const classify: CallClassifier = ([key = '']) => key.startsWith('lease') ? 'ownership' : 'journal'

test('calls of the most urgent class are admitted first, however long the others have waited', async t => {
  const clock = new VirtualClock()
  const limiter = new PriorityRateLimiter(clock, 4)
  const order: CallClass[] = []
  const acquire = async (callClass: CallClass): Promise<void> => {
    if ((await limiter.acquire(callClass)).ok) order.push(callClass)
  }
  await limiter.acquire('other')
  for (const callClass of ['other', 'snapshot', 'journal', 'ownership'] as const) void acquire(callClass)
  await clock.advance(2_000)
  t.deepEqual(order, ['ownership', 'journal', 'snapshot', 'other'])
})

test('waiting calls are bounded in number and time, and are refused beyond these bounds', async t => {
  const clock = new VirtualClock()
  const limiter = new PriorityRateLimiter(clock, 0.01)
  await limiter.acquire('other')
  const waiting = Array.from({ length: MAX_WAITING_CALLS }, () => limiter.acquire('other'))
  const refused = await limiter.acquire('other')
  t.is(refused.err && refused.val.kind, 'overloaded')
  t.is(limiter.waiting, MAX_WAITING_CALLS)
  await clock.advance(10_000)
  t.true((await Promise.all(waiting)).every(result => result.err && result.val.kind === 'overloaded'))
  t.is(limiter.waiting, 0)
})

test('the breaker opens after consecutive failures, admits one probe, and closes on success', async t => {
  const clock = new VirtualClock()
  const breaker = new CircuitBreaker(clock, new SeededRandom(1))
  for (let failure = 0; failure < BREAKER_FAILURES; failure++) breaker.report(breaker.admit(), false)
  t.is(breaker.admit(), 'refused')
  await clock.advance(BREAKER_MAX_PAUSE_MS)
  t.is(breaker.admit(), 'probe')
  t.is(breaker.admit(), 'refused')
  breaker.report('call', true)
  t.true(breaker.isOpen, 'a response to a call from before the outage does not close the breaker')
  breaker.report('probe', true)
  t.is(breaker.admit(), 'call')
})

// Guards against all processes calling the store at once after an outage, which would overload it again.
test('a store that is available again is not overloaded by retries, and everything is written once', async t => {
  const clock = new VirtualClock()
  const memory = new MemoryTable()
  const link = new FakeLink(clock)
  let calls = 0
  const isDown = (): boolean => clock.now() < OUTAGE_MS
  link.setDeliveryPolicy(() => {
    calls++
    return isDown() ? { requestDelayMs: 0, responseDelayMs: 0, loss: 'refused' } : IMMEDIATE
  })
  const random = new SeededRandom(11)
  const committedAt: number[] = []
  const gates: StoreGate[] = []
  const write = async (table: RetryingTable, key: string): Promise<void> => {
    for (;;) {
      const outcome = await table.transact({ id: brand<TransactionId>(key), checks: [{ kind: 'absent', key }], puts: [{ key, value: 0 }], deletes: [] })
      if (outcome.ok) {
        committedAt.push(clock.now())
        return
      }
      await clock.sleep(500)
    }
  }
  for (let process = 0; process < PROCESSES; process++) {
    const gate = new StoreGate(clock, random, new SilentMetrics())
    gate.setProcessCount(PROCESSES)
    gates.push(gate)
    const table = new RetryingTable(new RateLimitedTable(new FakeTableStore(memory, link, `m${process}`), gate, classify), clock, random, 10_000)
    for (let index = 0; index < WRITES_EACH; index++) void write(table, `p${process}-${index}`)
  }
  await clock.advance(OUTAGE_MS - 20_000)
  const callsInOutage = calls
  await clock.advance(20_000)
  t.true(calls - callsInOutage <= PROCESSES * 20, `an unavailable store was called ${calls - callsInOutage} times in 20 s`)
  t.true(gates.every(gate => gate.isDown && gate.outageMs > OUTAGE_MS - 5_000))
  await clock.advance(60_000)
  t.is(committedAt.length, PROCESSES * WRITES_EACH)
  t.is(memory.history.length, PROCESSES * WRITES_EACH)
  t.true(busiestSecond(committedAt) <= REGION_WRITES_PER_SECOND * 1.3, `${busiestSecond(committedAt)} writes in one second`)
})

const busiestSecond = (times: readonly number[]): number => {
  let most = 0
  let first = 0
  for (let last = 0; last < times.length; last++) {
    while ((times[last] ?? 0) - (times[first] ?? 0) >= 1_000) first++
    most = Math.max(most, last - first + 1)
  }
  return most
}
