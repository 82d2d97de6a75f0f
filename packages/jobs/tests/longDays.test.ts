import test from 'ava'
import { findDayBreaches } from './support/findDayBreaches.ts'
import { LongDay } from './support/LongDay.ts'

// Short days.
const SEEDS_IN_CI = [2, 8, 10]

// Other days are played by hand, see CONTRIBUTING.md.
const { FIRST_DAY, DAYS } = process.env
const seeds = FIRST_DAY === undefined && DAYS === undefined ? SEEDS_IN_CI : Array.from({ length: Number(DAYS ?? 1) }, (_, index) => Number(FIRST_DAY ?? 1) + index)

for (const seed of seeds) {
  test.serial(`while more work comes than fits and much fails, no job that missed its objective is left without a run, and all are done soon after: day ${seed}`, async t => {
    const { record, breaches } = await new LongDay(seed).play()
    t.deepEqual(breaches, [])
    t.deepEqual(findDayBreaches(record), [])
  })
}
