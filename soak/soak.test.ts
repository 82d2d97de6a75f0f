import fc from 'fast-check'
import test from 'ava'
import { DOUBLED_ROOM, OUTLIVED_LEASES, UNCHECKED_NOTES, UNFENCED_JOURNAL, UNFENCED_OWNERS } from './mutants.ts'
import type { Violation } from './Observer.ts'
import { runHistory } from './runHistory.ts'
import type { Mutant } from './SoakRegion.ts'
import { soakSteps, type SoakStep } from './steps.ts'

const SEEDS = [11, 12, 13, 14]
const LONGEST_HISTORY = 25

const historyOf = (seed: number, longest = LONGEST_HISTORY): SoakStep[] => fc.sample(soakSteps(longest), { seed, numRuns: 3 }).at(-1) ?? []

for (const seed of SEEDS) {
  test(`seed ${seed}: nothing is broken and everything ends by itself`, async t => {
    const report = await runHistory(seed, historyOf(seed))
    t.deepEqual(report.violations, [])
    t.true(report.virtualSeconds > 0)
  })
}

test('the same seed gives the same history', async t => {
  const first = await runHistory(11, historyOf(11))
  t.deepEqual(await runHistory(11, historyOf(11)), first)
})

test('a claim whose answer was lost while its member was paused leaves no cell without an owner at work', async t => {
  const report = await runHistory(1, [
    { afterSeconds: 2, event: { kind: 'store', fault: 'losing-answers', seconds: 11 } },
    { afterSeconds: 0, event: { kind: 'pause-member', member: 0, seconds: 10 } },
    { afterSeconds: 11, event: { kind: 'notes', count: 1, names: 1 } }
  ])
  t.deepEqual(report.violations, [])
})

test('a job on a VM that died is run elsewhere, also when its cell changes hands meanwhile', async t => {
  const report = await runHistory(3, [
    { afterSeconds: 0, event: { kind: 'submit', count: 10, processors: 8, seconds: 1, isUrgent: false } },
    { afterSeconds: 0, event: { kind: 'kill-vm', vm: 4 } },
    { afterSeconds: 0, event: { kind: 'cut-store', member: 29, seconds: 8 } },
    { afterSeconds: 8, event: { kind: 'kill-vm', vm: 0 } }
  ])
  t.deepEqual(report.violations, [])
})

const submission = (seconds: number, afterSeconds: number): SoakStep =>
  ({ afterSeconds, event: { kind: 'submit', count: 20, processors: 8, seconds, isUrgent: false } })

test('owners that die while the store is slow take no running work with them', async t => {
  const deaths: SoakStep[] = [0, 1, 2, 3, 4, 5, 6, 7].flatMap(member => [
    { afterSeconds: 25, event: { kind: 'store', fault: 'slow', seconds: 20 } },
    { afterSeconds: 2, event: { kind: 'kill-member', member } }
  ])
  const report = await runHistory(1, deaths)
  t.deepEqual(report.violations, [])
  t.is(report.lapses, 0)
})
// Whichever VMs the work is on, some of them die under it.
const LOADED: readonly SoakStep[] = [
  submission(60, 0),
  submission(60, 0),
  submission(60, 0),
  ...[0, 2, 4, 6].map((vm, index) => ({ afterSeconds: index === 0 ? 5 : 0, event: { kind: 'kill-vm' as const, vm } }))
]

// Six members lose the store in turn for longer than a lease, and come back while their cells are at work elsewhere.
const RETURNING: readonly SoakStep[] = [
  submission(40, 0),
  ...[0, 1, 2, 3, 4, 5].map(member => ({ afterSeconds: 1, event: { kind: 'cut-store' as const, member, seconds: 18 } })),
  ...[6, 3, 3, 2, 2, 2, 2, 2, 2].map(afterSeconds => submission(30, afterSeconds)),
  ...[6, 7, 8].map(member => ({ afterSeconds: 0, event: { kind: 'kill-member' as const, member } })),
  submission(5, 30)
]

const RACING: readonly SoakStep[] = [
  { afterSeconds: 0, event: { kind: 'notes', count: 6, names: 4 } },
  { afterSeconds: 0, event: { kind: 'notes', count: 6, names: 4 } }
]

type Catch = Readonly<{ what: string, mutant: Mutant, seed: number, steps: readonly SoakStep[], promised: ReadonlyArray<Violation['promised']> }>

const CATCHES: readonly Catch[] = [
  { what: 'former owners that go on writing and deciding', mutant: UNFENCED_OWNERS, seed: 431, steps: historyOf(431, 40), promised: ['task-never-in-two-places', 'evicted-work-resumes-once'] },
  { what: 'a journal that a former owner may go on writing', mutant: UNFENCED_JOURNAL, seed: 1, steps: RETURNING, promised: ['converges'] },
  { what: 'notes accepted without a look at others', mutant: UNCHECKED_NOTES, seed: 1, steps: RACING, promised: ['configuration-never-reverts'] },
  { what: 'tasks that outlive their lease', mutant: OUTLIVED_LEASES, seed: 1, steps: LOADED, promised: ['task-never-in-two-places'] },
  { what: 'a VM list with doubled room', mutant: DOUBLED_ROOM, seed: 1, steps: LOADED, promised: ['vm-never-overcommitted'] }
]

for (const { what, mutant, seed, steps, promised } of CATCHES) {
  test(`the checks catch ${what}`, async t => {
    const spoilt = await runHistory(seed, steps, mutant)
    const broken = new Set(spoilt.violations.map(violation => violation.promised))
    t.true(promised.every(each => broken.has(each)))
    const sound = await runHistory(seed, steps)
    t.deepEqual(sound.violations, [])
  })
}
