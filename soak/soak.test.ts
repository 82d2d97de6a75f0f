import fc from 'fast-check'
import test from 'ava'
import { Err, Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import type { FakeVmWorker } from '@auburnpin/fakes'
import { TableStore, type Row, type RowPage, type Transaction, type TransactionOutcome } from '@auburnpin/platform'
import { runHistory } from './runHistory.ts'
import type { Mutant } from './SoakRegion.ts'
import { soakSteps, type SoakStep } from './steps.ts'

const SEEDS = [11, 12, 13, 14]
const LONGEST_HISTORY = 25

const historyOf = (seed: number): SoakStep[] => fc.sample(soakSteps(LONGEST_HISTORY), { seed, numRuns: 3 }).at(-1) ?? []

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

/** A store client that forgets to check who owns the cell. */
class UnfencedTable extends TableStore {
  readonly #inner: TableStore

  constructor (inner: TableStore) {
    super()
    this.#inner = inner
  }

  read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    return this.#inner.read(key)
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#inner.list(prefix, after, limit)
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const isJournal = transaction.puts[0]?.key.startsWith('journal/') ?? false
    if (!isJournal) return await this.#inner.transact(transaction)
    const outcome = await this.#inner.transact({ ...transaction, checks: [] })
    return outcome.ok ? Ok(outcome.val) : Err(outcome.val)
  }
}

/** A worker that goes on with its tasks when its lease has run out. */
const forgetLeases = (worker: FakeVmWorker): void => {
  Object.defineProperty(worker.state, 'expire', { value: () => {} })
}

const submission = (seconds: number, afterSeconds: number): SoakStep =>
  ({ afterSeconds, event: { kind: 'submit', count: 20, processors: 4, seconds, isUrgent: false } })

const MUTANTS: ReadonlyArray<Readonly<{ name: string, mutant: Mutant, steps: readonly SoakStep[] }>> = [
  {
    name: 'a journal that does not check the cell\'s owner',
    mutant: { wrapTable: table => new UnfencedTable(table) },
    // Six members lose the store in turn for longer than a lease, and come back while their cells are at work elsewhere.
    steps: [
      submission(40, 0),
      ...[0, 1, 2, 3, 4, 5].map(member => ({ afterSeconds: 1, event: { kind: 'cut-store' as const, member, seconds: 18 } })),
      ...[6, 3, 3, 2, 2, 2, 2, 2, 2].map(afterSeconds => submission(30, afterSeconds)),
      ...[6, 7, 8].map(member => ({ afterSeconds: 0, event: { kind: 'kill-member' as const, member } })),
      submission(5, 30)
    ]
  }
]

for (const { name, mutant, steps } of MUTANTS) {
  test(`the checks catch ${name}`, async t => {
    const report = await runHistory(1, steps, mutant)
    t.true(report.violations.length > 0)
    t.deepEqual((await runHistory(1, steps)).violations, [])
  })
}

test('the checks catch a worker that outlives its lease', async t => {
  const steps: SoakStep[] = [
    submission(60, 0),
    ...[4, 4, 4, 4].map((vm, index) => ({ afterSeconds: index === 0 ? 5 : 0, event: { kind: 'kill-vm' as const, vm } }))
  ]
  const report = await runHistory(1, steps, { spoilWorker: forgetLeases })
  t.deepEqual([...new Set(report.violations.map(violation => violation.promised))], ['task-never-in-two-places'])
})
