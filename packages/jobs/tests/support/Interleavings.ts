/**
 * Plays a scenario once for each order in which its calls to the store can be carried out and answered.
 */
import { AuburnpinError, Err, Ok, VirtualClock, type Result, type RowVersion } from '@auburnpin/common'
import { FakeRows } from '@auburnpin/fakes'
import { RowStore, type RowChanges, type RowPage, type RowRange, type RowTransaction, type RowTransactionOutcome } from '../../src/index.ts'

/** A point at which a call waits for its turn. */
type Gate = Readonly<{ label: string, isOpenable: () => boolean, open: () => void }>

/** Longer than the pauses after failed calls. */
const PAUSE_MS = 200
const MAX_PAUSES = 3

/** A store that carries out and answers each call when the schedule says so. */
export class GatedStore extends RowStore {
  readonly clock = new VirtualClock()
  readonly rows = new FakeRows(this.clock)
  #gates: Gate[] = []
  readonly trace: string[] = []
  /** Transactions whose answers are lost. */
  losesAnswer = (_transaction: RowTransaction): boolean => false

  /** Waits for a turn of the schedule. */
  turn (label: string, isOpenable: () => boolean = () => true): Promise<void> {
    return new Promise(resolve => { this.#gates.push({ label, isOpenable, open: resolve }) })
  }

  /** The calls that may go on. */
  get openable (): readonly Gate[] {
    return this.#gates.filter(({ isOpenable }) => isOpenable())
  }

  open (gate: Gate): void {
    this.#gates = this.#gates.filter(other => other !== gate)
    this.trace.push(gate.label)
    gate.open()
  }

  async transact (transaction: RowTransaction): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    await this.turn('transaction is carried out')
    const outcome = this.rows.apply(transaction)
    await this.turn('transaction is answered')
    return this.losesAnswer(transaction) ? Err(new AuburnpinError('unknown-outcome', 'The answer was lost', 'Read back.')) : Ok(outcome)
  }

  async range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    await this.turn(`${range.part} is read`)
    const page = this.rows.list(range)
    await this.turn(`${range.part} is answered`)
    return Ok(page)
  }

  // A feed without changes is answered only after its whole wait, which changes nothing.
  async changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    await this.turn('changes are read', () => waitMs <= 1 || hasChanges(this.rows.since(table, after)))
    const changes = this.rows.since(table, after)
    await this.turn('changes are answered')
    return Ok(changes)
  }
}

const hasChanges = (changes: RowChanges): boolean => changes.kind === 'trimmed' || changes.changed.length + changes.deleted.length > 0

/** Starts all that happens in a scenario; returns the check of its end. */
export type Scenario = (store: GatedStore) => () => void

/**
 * Plays all schedules in depth-first order and returns their number.
 *
 * @example
 * const played = await playAll(store => { void follower.start(); return () => t.deepEqual(held, wanted) })
 */
export const playAll = async (scenario: Scenario): Promise<number> => {
  let played = 0
  let schedule: number[] | undefined = []
  while (schedule !== undefined) {
    const widths: number[] = []
    await play(scenario, schedule, widths)
    played++
    schedule = nextSchedule(schedule, widths)
  }
  return played
}

const play = async (scenario: Scenario, schedule: readonly number[], widths: number[]): Promise<void> => {
  const store = new GatedStore()
  const check = scenario(store)
  for (let pauses = 0; pauses < MAX_PAUSES;) {
    await new Promise(resolve => { setImmediate(resolve) })
    const { openable } = store
    const gate = openable[schedule[widths.length] ?? 0]
    if (gate === undefined) {
      pauses++
      await store.clock.advance(PAUSE_MS)
      continue
    }
    widths.push(openable.length)
    store.open(gate)
  }
  check()
}

// The last choice that has another one after it is changed, and what follows begins anew.
const nextSchedule = (schedule: readonly number[], widths: readonly number[]): number[] | undefined => {
  for (let step = widths.length - 1; step >= 0; step--) {
    const choice = schedule[step] ?? 0
    if (choice + 1 < (widths[step] ?? 0)) return [...Array.from({ length: step }, (_, earlier) => schedule[earlier] ?? 0), choice + 1]
  }
  return undefined
}
