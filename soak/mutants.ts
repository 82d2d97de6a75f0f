/**
 * Deliberately broken parts, each of which the checks must catch. Used by tests alone.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { FakeVmWorker } from '@auburnpin/fakes'
import { TableStore, type Row, type RowPage, type Transaction, type TransactionOutcome, type VmEntry } from '@auburnpin/ports'
import type { Mutant } from './SoakRegion.ts'

/** Drops the checks of all transactions whose first row starts with a prefix. */
class UncheckedTable extends TableStore {
  readonly #inner: TableStore
  readonly #prefix: string

  constructor (inner: TableStore, prefix: string) {
    super()
    this.#inner = inner
    this.#prefix = prefix
  }

  read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    return this.#inner.read(key)
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#inner.list(prefix, after, limit)
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const isSpoilt = transaction.puts[0]?.key.startsWith(this.#prefix) ?? false
    return this.#inner.transact(isSpoilt ? { ...transaction, checks: [] } : transaction)
  }
}

const outliveLease = (worker: FakeVmWorker): void => {
  Object.defineProperty(worker.state, 'expire', { value: () => {} })
}

const forgetEpochs = (worker: FakeVmWorker): void => {
  const lease = worker.state.lease.bind(worker.state)
  Object.defineProperty(worker.state, 'lease', { value: (call: Parameters<typeof lease>[0]) => lease({ ...call, epoch: 1 }) })
}

const doubleRoom = (vm: VmEntry): VmEntry => {
  const { processors, memoryMb, accelerators } = vm.resources
  return { ...vm, resources: { processors: processors * 2, memoryMb: memoryMb * 2, accelerators } }
}

/** A journal that any former owner may go on writing. */
export const UNFENCED_JOURNAL: Mutant = { wrapTable: table => new UncheckedTable(table, 'journal/') }
/** The same, with workers that know no epochs; either check alone stops it. */
export const UNFENCED_OWNERS: Mutant = { wrapTable: table => new UncheckedTable(table, 'journal/'), spoilWorker: forgetEpochs }
/** Notes accepted without looking whether another came first. */
export const UNCHECKED_NOTES: Mutant = { wrapTable: table => new UncheckedTable(table, 'config/') }
/** Workers whose tasks run on when the lease has run out. */
export const OUTLIVED_LEASES: Mutant = { spoilWorker: outliveLease }
/** VMs that are listed with twice what they have. */
export const DOUBLED_ROOM: Mutant = { spoilVm: doubleRoom }
