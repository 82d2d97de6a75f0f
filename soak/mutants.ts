/**
 * Deliberate faults, each of which the checks must detect. Used only by tests.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { FakeVmWorker } from '@auburnpin/fakes'
import { TableStore, type Row, type RowPage, type Transaction, type TransactionOutcome, type VmEntry } from '@auburnpin/ports'
import type { Mutant } from './SoakRegion.ts'

/** Drops the checks of all transactions whose first row's key starts with a prefix. */
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
    const isUnchecked = transaction.puts[0]?.key.startsWith(this.#prefix) ?? false
    return this.#inner.transact(isUnchecked ? { ...transaction, checks: [] } : transaction)
  }
}

const ignoreLeaseExpiry = (worker: FakeVmWorker): void => {
  Object.defineProperty(worker.state, 'expire', { value: () => {} })
}

const ignoreEpochs = (worker: FakeVmWorker): void => {
  const lease = worker.state.lease.bind(worker.state)
  Object.defineProperty(worker.state, 'lease', { value: (call: Parameters<typeof lease>[0]) => lease({ ...call, epoch: 1 }) })
}

const doubleResources = (vm: VmEntry): VmEntry => {
  const { processors, memoryMb, accelerators } = vm.resources
  return { ...vm, resources: { processors: processors * 2, memoryMb: memoryMb * 2, accelerators } }
}

/** The journal accepts records of former owners. */
export const UNFENCED_JOURNAL: Mutant = { wrapTable: table => new UncheckedTable(table, 'journal/') }
/** The same, with workers that ignore epochs; either of the two checks prevents the violation by itself. */
export const UNFENCED_OWNERS: Mutant = { wrapTable: table => new UncheckedTable(table, 'journal/'), mutateWorker: ignoreEpochs }
/** Notes are accepted without a check for concurrent ones. */
export const UNCHECKED_NOTES: Mutant = { wrapTable: table => new UncheckedTable(table, 'config/') }
/** Workers do not stop their tasks when the lease expires. */
export const UNENFORCED_LEASES: Mutant = { mutateWorker: ignoreLeaseExpiry }
/** VMs are listed with twice their processors and memory. */
export const DOUBLED_RESOURCES: Mutant = { mutateVm: doubleResources }
