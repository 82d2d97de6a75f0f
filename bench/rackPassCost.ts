/**
 * Processor time of the scheduling passes of 246 workers with and without waits for racks, on the same seeded loads.
 * Run: node --import tsx bench/rackPassCost.ts
 */
import { PayingWait } from '@auburnpin/core'
import { RackLoad, type RackLoadSettings } from '../packages/core/tests/support/RackLoad.ts'

const MICROSECONDS_PER_MS = 1_000
const FACTORS = [1, 1.5]
/** Racks of six workers. */
const BASE: RackLoadSettings = { seed: 1, hotShare: 0.025, racks: 41, jobsPerSecond: 100, seconds: 10 }
const LOADS: ReadonlyArray<readonly [string, RackLoadSettings]> = [
  ['data spread evenly, 60 % of the processors', BASE],
  ['60 % in one rack', { ...BASE, hotShare: 0.6, jobsPerSecond: 60 }],
  ['one rack for each step', { ...BASE, oneRackShare: 1 }],
  ['data spread evenly, twice what the cell can hold', { ...BASE, jobsPerSecond: 400, seconds: 5 }],
  ['one rack for each step, twice what the cell can hold', { ...BASE, oneRackShare: 1, jobsPerSecond: 400, seconds: 5 }]
]

process.stdout.write('| load | factor | mean pass ms | 99th percentile ms | starts |\n|---|---|---|---|---|\n')
for (const [name, settings] of LOADS) {
  for (const remoteFactor of FACTORS) {
    const load = new RackLoad({ ...settings, remoteFactor }, new PayingWait())
    const { scheduler } = load
    const decide = scheduler.decide.bind(scheduler)
    const durations: number[] = []
    scheduler.decide = (...passArguments) => {
      const before = process.cpuUsage()
      const orders = decide(...passArguments)
      const { user, system } = process.cpuUsage(before)
      durations.push((user + system) / MICROSECONDS_PER_MS)
      return orders
    }
    load.run()
    durations.sort((one, other) => one - other)
    const meanMs = durations.reduce((sum, ms) => sum + ms, 0) / durations.length
    process.stdout.write(`| ${name} | ${remoteFactor} | ${meanMs.toFixed(2)} | ${(durations[Math.floor(durations.length * 0.99)] ?? 0).toFixed(2)} | ${load.startedAt.size} |\n`)
  }
}
