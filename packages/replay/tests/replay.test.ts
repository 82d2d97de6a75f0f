import test from 'ava'
import { readFileSync } from 'node:fs'
import { checkOutcomes, POLICIES, Replay, Trace } from '../src/index.ts'

const DAY = readFileSync(new URL('../../../examples/traces/lanka-day.jsonl', import.meta.url), 'utf8')

// Only the first ten minutes of the trace are replayed, to keep CI short; `auburnpin replay` runs whole traces.
const shortened = (text: string): Trace => Trace.parse(text.replace('"durationMs": 1800000', '"durationMs": 600000')).unwrap()

test('the same trace and policy give the same summary', t => {
  const first = new Replay(shortened(DAY), POLICIES.auburnpin).run()
  t.deepEqual(new Replay(shortened(DAY), POLICIES.auburnpin).run(), first)
  t.true(first.tasksFinished > 100)
  t.is(first.brokenInvariants, 0)
})

test('the policy exceeds the objective less than half as often as best fit, and its 99th percentile is at most a tenth above the oracle\'s', t => {
  const learnt = new Replay(shortened(DAY), POLICIES.auburnpin).run()
  const bestFit = new Replay(shortened(DAY), POLICIES['best-fit']).run()
  const oracle = new Replay(shortened(DAY), POLICIES.oracle).run()
  t.true(learnt.shareOverObjective < bestFit.shareOverObjective / 2)
  t.true(learnt.ratioP99 <= 1.1 * oracle.ratioP99)
})

test('an outcome that is not met is returned with its value', t => {
  const trace = shortened(`${DAY}\n{"kind":"outcome","measure":"tasksFinished","atLeast":1000000}`)
  const summary = new Replay(trace, POLICIES.auburnpin).run()
  const missed = checkOutcomes(trace, summary)
  t.deepEqual(missed.map(({ measure }) => measure), ['tasksFinished'])
  t.is(missed[0]?.value, summary.tasksFinished)
})

test('an invalid line is rejected with its line number', t => {
  const parsed = Trace.parse(`${DAY}{"kind":"jobs"}`)
  t.true(parsed.err)
  t.regex(String((parsed.val as Error).message), /^Line \d+: atMs/)
})
