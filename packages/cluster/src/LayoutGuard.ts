/**
 * Verifies that all members divide the region into the same cells.
 */
import { AuburnpinError, Err, Ok, Ticker, type Clock, type DataCentre, type Log, type Random, type Result } from '@auburnpin/common'
import { newTransactionId, type TableStore } from '@auburnpin/ports'
import { DIRECTORY_POLL_MS } from './constants.ts'
import { REGION_LAYOUT_KEY } from './storeKeys.ts'

/** The layout of the region, which decides which cell a task or VM belongs to. */
export type LayoutRow = Readonly<{ dataCentres: readonly DataCentre[], cellsPerDataCentre: number }>

/** Called once with the result of the comparison. */
export type LayoutHandlers = Readonly<{ onConfirmed: () => void, onMismatch: (error: AuburnpinError) => void }>

/**
 * Compares this process's layout with the one that the region's first member recorded. If two members used
 * different layouts, a task would belong to two cells and could run in both.
 */
export class LayoutGuard {
  readonly #layout: LayoutRow
  readonly #table: TableStore
  readonly #random: Random
  readonly #ticker: Ticker
  readonly #handlers: LayoutHandlers
  #isFinished = false

  constructor (layout: LayoutRow, table: TableStore, clock: Clock, random: Random, log: Log, handlers: LayoutHandlers) {
    this.#layout = { dataCentres: [...layout.dataCentres].sort(), cellsPerDataCentre: layout.cellsPerDataCentre }
    this.#table = table
    this.#random = random
    this.#handlers = handlers
    this.#ticker = new Ticker(clock, DIRECTORY_POLL_MS, () => this.#check(), error => log.error(String(error)))
  }

  /** Polls the store until it responds. */
  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    this.#isFinished = true
    await this.#ticker.stop()
  }

  /** Records the layout if none is recorded, else compares. Errors: `conflict` for a different layout, and the store's errors. */
  async confirm (): Promise<Result<void, AuburnpinError>> {
    const row = await this.#table.read(REGION_LAYOUT_KEY)
    if (row.err) return row
    if (row.val !== null) return this.#compare(row.val.value as LayoutRow)
    const outcome = await this.#table.transact({
      id: newTransactionId(this.#random),
      checks: [{ kind: 'absent', key: REGION_LAYOUT_KEY }],
      puts: [{ key: REGION_LAYOUT_KEY, value: this.#layout }],
      deletes: []
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'committed' || outcome.val.row === null) return Ok(undefined)
    return this.#compare(outcome.val.row.value as LayoutRow)
  }

  async #check (): Promise<void> {
    if (this.#isFinished) return
    const confirmed = await this.confirm()
    if (confirmed.err && confirmed.val.kind !== 'conflict') return
    this.#isFinished = true
    if (confirmed.err) this.#handlers.onMismatch(confirmed.val)
    else this.#handlers.onConfirmed()
  }

  #compare (recorded: LayoutRow): Result<void, AuburnpinError> {
    const isSame = recorded.cellsPerDataCentre === this.#layout.cellsPerDataCentre &&
      recorded.dataCentres.join() === this.#layout.dataCentres.join()
    if (isSame) return Ok(undefined)
    return Err(new AuburnpinError(
      'conflict',
      `The region was set up with ${describe(recorded)}; these settings say ${describe(this.#layout)}`,
      'Correct region.dataCentres and region.cellsPerDataCentre; they can\'t be changed while the region runs tasks.'
    ))
  }
}

const describe = ({ dataCentres, cellsPerDataCentre }: LayoutRow): string =>
  `data centres ${dataCentres.join(', ')} and ${cellsPerDataCentre} ${cellsPerDataCentre === 1 ? 'cell' : 'cells'} each`
