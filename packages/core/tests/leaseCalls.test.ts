import test from 'ava'
import { brand, type Instant } from '@auburnpin/common'
import { LeaseCalls, type LeaseCall } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)

test('a call that was answered is not expected any more', t => {
  const calls = new LeaseCalls()
  const call = { sentAt: at(100), untilMs: 4_600 }
  calls.begin(call)
  t.is(calls.lastSentAt, at(100))
  calls.end(call, true)
  t.is(calls.lastSentAt, at(-Infinity))
})

test('the latest call without a response is expected, in whatever order the calls end', t => {
  const calls = new LeaseCalls()
  const callAt = (ms: number): LeaseCall => ({ sentAt: at(ms), untilMs: ms + 4_500 })
  const [first, second, third] = [callAt(100), callAt(200), callAt(300)]
  for (const call of [first, second, third]) calls.begin(call)
  calls.end(second, false)
  calls.end(first, false)
  t.is(calls.lastSentAt, at(300))
  calls.end(third, true)
  t.is(calls.lastSentAt, at(200))
})
