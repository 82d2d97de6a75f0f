/**
 * Appends a cell's transitions to its journal, many steps in one record.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type ConfigVersion, type Instant, type JournalSequence, type Log, type Random, type Result } from '@auburnpin/common'
import { CELL_FORMAT, type JournalRecord, type Transition } from '@auburnpin/core'
import { journalKey, type ClaimedCell } from '@auburnpin/cluster'
import { newTransactionId, type TableStore, type Transaction } from '@auburnpin/ports'
import { GATHER_LOOK_MS, JOURNAL_RETRY_MS, MAX_RECORD_TRANSITIONS, MAX_WAITING_STEPS, RECORD_INTERVAL_MS, STALL_MS } from './constants.ts'

/** What became of a step: durable, surely not (`fenced`), or `unknown-outcome`. */
export type JournalOutcome = Result<void, AuburnpinError>

type Entry = Readonly<{ transitions: readonly Transition[], settle: (outcome: JournalOutcome) => void }>

/** Where a journal goes on and what to do when another owner has taken over. */
export type JournalOptions = Readonly<{
  claimed: ClaimedCell
  /** Sequence of the last record written so far. */
  last: JournalSequence
  onFenced: () => void
  /** Least time between two records, in milliseconds, unless a full one waits. */
  intervalMs?: number
  /** Most transitions in one record. */
  recordTransitions?: number
  /** Version of the configuration that the transitions follow. */
  configured?: () => ConfigVersion
  /** Called after each record's steps are settled, with the record's sequence and size. */
  onRecord: (sequence: JournalSequence, transitions: number) => void
}>

/** Group commit: while one record is on its way, all that becomes ready waits for the next. */
export class JournalWriter {
  readonly #table: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #options: JournalOptions
  #last: JournalSequence
  #entries: Entry[] = []
  #writing: Promise<void> | undefined
  #sentAt: Instant | undefined
  #lastSentAt: Instant | undefined
  #isFailing = false
  #isClosed = false

  constructor (table: TableStore, clock: Clock, random: Random, log: Log, options: JournalOptions) {
    this.#table = table
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#options = options
    this.#last = options.last
  }

  /** Sequence of the last record that is surely in the store. */
  get last (): JournalSequence {
    return this.#last
  }

  /** Steps that wait to become durable. */
  get waiting (): number {
    return this.#entries.length
  }

  /** Whether nothing more should be decided until the store keeps up again. */
  get isStalled (): boolean {
    const isOverdue = this.#sentAt !== undefined && this.#clock.now() - this.#sentAt >= STALL_MS
    return this.#isFailing || isOverdue || this.#entries.length >= MAX_WAITING_STEPS
  }

  /** Calls `settle` once the transitions, and all before them, are in the store, or will never be. */
  append (transitions: readonly Transition[], settle: (outcome: JournalOutcome) => void): void {
    if (this.#isClosed) {
      settle(Err(fenced(this.#options.claimed)))
      return
    }
    if (transitions.length === 0 && this.#writing === undefined) {
      settle(Ok(undefined))
      return
    }
    this.#entries.push({ transitions, settle })
    this.#writing ??= this.#writeAll()
  }

  /** Takes nothing more; waits for what is on its way unless `isAbandoned`. Every step is settled in the end. */
  async close (isAbandoned: boolean): Promise<void> {
    this.#isClosed = true
    if (isAbandoned) this.#refuseWaiting()
    else await this.#writing
  }

  async #writeAll (): Promise<void> {
    while (this.#entries.length > 0) {
      await this.#gather()
      const batch = this.#takeBatch()
      const outcome = await this.#writeBatch(batch)
      for (const entry of batch) entry.settle(outcome.map(() => undefined))
      if (outcome.err) break
      if (outcome.val > 0) this.#options.onRecord(this.#last, outcome.val)
    }
    this.#refuseWaiting()
    this.#writing = undefined
  }

  // A store that answers at once would otherwise be asked for a record per step.
  async #gather (): Promise<void> {
    const due = (this.#lastSentAt ?? -Infinity) + (this.#options.intervalMs ?? RECORD_INTERVAL_MS)
    while (!this.#isClosed && this.#clock.now() < due && this.#countWaiting() < this.#limit) {
      await this.#clock.sleep(Math.min(GATHER_LOOK_MS, due - this.#clock.now()))
    }
  }

  #countWaiting (): number {
    let size = 0
    for (const entry of this.#entries) size += entry.transitions.length
    return size
  }

  get #limit (): number {
    return this.#options.recordTransitions ?? MAX_RECORD_TRANSITIONS
  }

  #refuseWaiting (): void {
    const refused = this.#entries
    this.#entries = []
    for (const entry of refused) entry.settle(Err(fenced(this.#options.claimed)))
  }

  #takeBatch (): Entry[] {
    const batch: Entry[] = []
    let size = 0
    for (const entry of this.#entries) {
      if (batch.length > 0 && size + entry.transitions.length > this.#limit) break
      batch.push(entry)
      size += entry.transitions.length
    }
    this.#entries.splice(0, batch.length)
    return batch
  }

  // Answers with the number of transitions written.
  async #writeBatch (batch: readonly Entry[]): Promise<Result<number, AuburnpinError>> {
    const transitions = batch.flatMap(entry => entry.transitions)
    if (transitions.length === 0) return Ok(0)
    const sequence = brand<JournalSequence>(this.#last + 1)
    this.#sentAt = this.#clock.now()
    this.#lastSentAt = this.#sentAt
    const outcome = await this.#commit(this.#toTransaction(sequence, transitions))
    this.#sentAt = undefined
    this.#isFailing = false
    if (outcome.err) return outcome
    this.#last = sequence
    return Ok(transitions.length)
  }

  async #commit (transaction: Transaction): Promise<JournalOutcome> {
    const { claimed } = this.#options
    for (;;) {
      const outcome = await this.#table.transact(transaction)
      if (outcome.ok && outcome.val.kind === 'committed') return Ok(undefined)
      if (outcome.ok) {
        this.#log.warn('The journal belongs to another owner now', { cell: claimed.cell, epoch: claimed.epoch })
        this.#isClosed = true
        this.#options.onFenced()
        // The next owner may have trimmed a record that was written, so its absence proves nothing.
        return Err(unknownOutcome(claimed))
      }
      this.#isFailing = true
      this.#log.warn('The journal could not be written; trying again', { cell: claimed.cell, reason: outcome.val.message })
      if (this.#isClosed) return Err(unknownOutcome(claimed))
      await this.#clock.sleep(JOURNAL_RETRY_MS)
    }
  }

  #toTransaction (sequence: JournalSequence, transitions: readonly Transition[]): Transaction {
    const { claimed } = this.#options
    const key = journalKey(claimed.cell, sequence)
    const record: JournalRecord<Transition> = { format: CELL_FORMAT, epoch: claimed.epoch, configured: this.#options.configured?.(), transitions }
    return {
      id: newTransactionId(this.#random),
      checks: [claimed.check, { kind: 'absent', key }],
      puts: [{ key, value: record }],
      deletes: []
    }
  }
}

const fenced = ({ cell, epoch }: ClaimedCell): AuburnpinError =>
  new AuburnpinError('fenced', `Epoch ${epoch} of cell ${cell} has ended; nothing of this was recorded`, 'Ask again; the next owner answers.')

const unknownOutcome = ({ cell, epoch }: ClaimedCell): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Epoch ${epoch} of cell ${cell} ended while this was being recorded`, 'Ask the next owner whether it was recorded, or send it again under the same id.')
