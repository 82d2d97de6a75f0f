import test from 'ava'
import { brand, type Instant } from '@auburnpin/common'
import { LeaseCalls } from '../src/index.ts'

const at = (ms: number): Instant => brand<Instant>(ms)

test('a call that was answered is not expected any more', t => {
  const calls = new LeaseCalls()
  const call = { sentAt: at(100), untilMs: 4_600 }
  calls.begin(call)
  t.is(calls.lastSentAt, at(100))
  calls.end(call, true)
  t.is(calls.lastSentAt, -Infinity)
})

test('the latest call without a response is expected, in whatever order the calls end', t => {
  const calls = new LeaseCalls()
  const [first, second, third] = [100, 200, 300].map(ms => ({ sentAt: at(ms), untilMs: ms + 4_500 })) as [{ sentAt: Instant, untilMs: number }, { sentAt: Instant, untilMs: number }, { sentAt: Instant, untilMs: number }]
  for (const call of [first, second, third]) calls.begin(call)
  calls.end(second, false)
  calls.end(first, false)
  t.is(calls.lastSentAt, at(300))
  calls.end(third, true)
  t.is(calls.lastSentAt, at(200))
})
