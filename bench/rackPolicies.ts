/**
 * Policies of waiting for a rack on the same seeded loads: never, always, for a fixed time, up to the time that running elsewhere adds, and the implemented one.
 * Run: node --import tsx bench/rackPolicies.ts
 */
import { PayingWait, WaitPolicy, type WaitInputs } from '@auburnpin/core'
import { RackLoad, type RackLoadResult, type RackLoadSettings } from '../packages/core/tests/support/RackLoad.ts'

const SEEDS = [1, 2, 3, 4]

class FixedWait extends WaitPolicy {
  readonly #ms: number

  constructor (ms: number) {
    super()
    this.#ms = ms
  }

  longestWaitMs ({ waitedMs }: WaitInputs): number {
    return waitedMs < this.#ms ? Infinity : 0
  }
}

/** Up to the whole time that running elsewhere adds, whatever the demand for the rack. */
class WholeWait extends WaitPolicy {
  longestWaitMs ({ addedMs, slackMs, waitedMs }: WaitInputs): number {
    return waitedMs >= addedMs ? 0 : Math.max(0, Math.min(addedMs, slackMs))
  }
}

const POLICIES: ReadonlyArray<readonly [string, () => WaitPolicy]> = [
  ['never', () => new FixedWait(0)],
  ['always', () => new FixedWait(Infinity)],
  ['fixed 100 ms', () => new FixedWait(100)],
  ['fixed 300 ms', () => new FixedWait(300)],
  ['up to the added time', () => new WholeWait()],
  ['implemented', () => new PayingWait()]
]

type Load = Omit<RackLoadSettings, 'seed'>

const HOT: Load = { hotShare: 0.6, jobsPerSecond: 16 }
const LOADS: ReadonlyArray<readonly [string, Load]> = [
  ['60 % in one rack', HOT],
  ['60 % in one rack, factor 3', { ...HOT, remoteFactor: 3, jobsPerSecond: 10 }],
  ['spread evenly', { hotShare: 0.125, jobsPerSecond: 22 }],
  ['spread evenly, cell nearly full', { hotShare: 0.125, jobsPerSecond: 32 }],
  ['spread evenly, estimates off by 90 %', { hotShare: 0.125, jobsPerSecond: 22, estimateError: 0.9 }],
  ['60 % in one rack, it shrinks to a quarter, then is lost', { ...HOT, hotRackCapacity: new Map([[10, 0.25], [20, 0]]) }],
  ['one rack for each step', { hotShare: 0, oneRackShare: 1, jobsPerSecond: 34 }]
]

const mean = (results: readonly RackLoadResult[], value: (result: RackLoadResult) => number): number => results.reduce((sum, result) => sum + value(result), 0) / results.length
const percent = (value: number): string => (100 * value).toFixed(1)

process.stdout.write('| load | policy | in time % | useful % | mean end ms | 95th percentile ms | near % |\n|---|---|---|---|---|---|---|\n')
for (const [name, load] of LOADS) {
  for (const [policy, create] of POLICIES) {
    const results = SEEDS.map(seed => new RackLoad({ ...load, seed }, create()).run())
    const row = [name, policy, percent(mean(results, ({ inTime }) => inTime)), percent(mean(results, ({ useful }) => useful)), mean(results, ({ meanEndMs }) => meanEndMs).toFixed(0), mean(results, ({ p95EndMs }) => p95EndMs).toFixed(0), percent(mean(results, ({ nearShare }) => nearShare))]
    process.stdout.write(`| ${row.join(' | ')} |\n`)
  }
}
