import fc from 'fast-check'
import test from 'ava'
import { DOUBLED_RESOURCES, UNENFORCED_LEASES, UNCHECKED_NOTES, UNFENCED_JOURNAL, UNFENCED_OWNERS } from './mutants.ts'
import type { Violation } from './Observer.ts'
import { runHistory } from './runHistory.ts'
import type { Mutant } from './SoakRegion.ts'
import { soakSteps, type SoakStep } from './steps.ts'

const SEEDS = [11, 12, 13, 14]
const MAX_STEPS = 25

const historyOf = (seed: number, maxSteps = MAX_STEPS): SoakStep[] => fc.sample(soakSteps(maxSteps), { seed, numRuns: 3 }).at(-1) ?? []

for (const seed of SEEDS) {
  test(`seed ${seed}: no invariant is violated and the region converges`, async t => {
    const report = await runHistory(seed, historyOf(seed))
    t.deepEqual(report.violations, [])
    t.true(report.virtualSeconds > 0)
  })
}

test('the same seed gives the same history', async t => {
  const first = await runHistory(11, historyOf(11))
  t.deepEqual(await runHistory(11, historyOf(11)), first)
})

test('a claim whose response was lost while its member was paused leaves no cell without an active owner', async t => {
  const report = await runHistory(1, [
    { afterSeconds: 2, event: { kind: 'store', fault: 'losing-answers', seconds: 11 } },
    { afterSeconds: 0, event: { kind: 'pause-member', member: 0, seconds: 10 } },
    { afterSeconds: 11, event: { kind: 'notes', count: 1, names: 1 } }
  ])
  t.deepEqual(report.violations, [])
})

test('a job on a crashed VM is run elsewhere, also when its cell is taken over meanwhile', async t => {
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

test('running work survives the crash of its owners while the store is slow', async t => {
  const memberCrashes: SoakStep[] = [0, 1, 2, 3, 4, 5, 6, 7].flatMap(member => [
    { afterSeconds: 25, event: { kind: 'store', fault: 'slow', seconds: 20 } },
    { afterSeconds: 2, event: { kind: 'kill-member', member } }
  ])
  const report = await runHistory(1, memberCrashes)
  t.deepEqual(report.violations, [])
  t.is(report.tasksStoppedByExpiry, 0)
})

// Four VMs crash, so that some running work is lost wherever it was placed.
const VM_CRASHES_UNDER_LOAD: readonly SoakStep[] = [
  submission(60, 0),
  submission(60, 0),
  submission(60, 0),
  ...[0, 2, 4, 6].map((vm, index) => ({ afterSeconds: index === 0 ? 5 : 0, event: { kind: 'kill-vm' as const, vm } }))
]

// Six members lose the store in turn for longer than a lease, and reconnect while others own their cells.
const FORMER_OWNERS_RECONNECT: readonly SoakStep[] = [
  submission(40, 0),
  ...[0, 1, 2, 3, 4, 5].map(member => ({ afterSeconds: 1, event: { kind: 'cut-store' as const, member, seconds: 18 } })),
  ...[6, 3, 3, 2, 2, 2, 2, 2, 2].map(afterSeconds => submission(30, afterSeconds)),
  ...[6, 7, 8].map(member => ({ afterSeconds: 0, event: { kind: 'kill-member' as const, member } })),
  submission(5, 30)
]

const CONCURRENT_NOTES: readonly SoakStep[] = [
  { afterSeconds: 0, event: { kind: 'notes', count: 6, names: 4 } },
  { afterSeconds: 0, event: { kind: 'notes', count: 6, names: 4 } }
]

type MutationCase = Readonly<{ fault: string, mutant: Mutant, seed: number, steps: readonly SoakStep[], violated: ReadonlyArray<Violation['invariant']> }>

const MUTATION_CASES: readonly MutationCase[] = [
  { fault: 'former owners that continue to write and to decide', mutant: UNFENCED_OWNERS, seed: 447, steps: historyOf(447, 40), violated: ['task-never-in-two-places', 'evicted-work-resumes-once'] },
  { fault: 'a journal that accepts records of a former owner', mutant: UNFENCED_JOURNAL, seed: 1, steps: FORMER_OWNERS_RECONNECT, violated: ['converges'] },
  { fault: 'notes accepted without a check for concurrent ones', mutant: UNCHECKED_NOTES, seed: 1, steps: CONCURRENT_NOTES, violated: ['configuration-never-reverts'] },
  { fault: 'tasks that continue after their lease expired', mutant: UNENFORCED_LEASES, seed: 1, steps: VM_CRASHES_UNDER_LOAD, violated: ['task-never-in-two-places'] },
  { fault: 'a VM list with doubled resources', mutant: DOUBLED_RESOURCES, seed: 1, steps: VM_CRASHES_UNDER_LOAD, violated: ['vm-never-overcommitted'] }
]

for (const { fault, mutant, seed, steps, violated } of MUTATION_CASES) {
  test(`the checks detect ${fault}`, async t => {
    const mutated = await runHistory(seed, steps, mutant)
    const violatedInvariants = new Set(mutated.violations.map(violation => violation.invariant))
    t.true(violated.every(invariant => violatedInvariants.has(invariant)))
    const original = await runHistory(seed, steps)
    t.deepEqual(original.violations, [])
  })
}
