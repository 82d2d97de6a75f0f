import test from 'ava'
import { PassSpacing } from '../src/PassSpacing.ts'

/** Share of the time that passes of a duration take. */
const shareOfPasses = (durationMs: number): number => {
  const spacing = new PassSpacing()
  for (let pass = 0; pass < 50; pass++) spacing.recordPass(durationMs)
  return durationMs / (durationMs + spacing.delayMs)
}

test('short passes follow events at once', t => {
  const spacing = new PassSpacing()
  spacing.recordPass(0.2)
  t.true(spacing.delayMs <= 3)
})

test('passes over many waiting tasks leave most processor time for reports and orders', t => {
  for (const durationMs of [1.5, 3, 6, 12, 25, 50]) t.true(shareOfPasses(durationMs) <= 0.34, `${durationMs} ms`)
})

test('a single slow pass hardly delays the next one, and no pass is delayed longer than when nothing happens', t => {
  const spacing = new PassSpacing()
  spacing.recordPass(10)
  t.true(spacing.delayMs < 10)
  for (let pass = 0; pass < 50; pass++) spacing.recordPass(400)
  t.is(spacing.delayMs, 100)
})
