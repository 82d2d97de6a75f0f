/**
 * Appends a cell's transitions to its journal, many steps in one record.
 */
import { brand, type AuburnpinError, type Clock, type JournalSequence, type Log, type Random } from '@auburnpin/common'
import { CELL_FORMAT, type JournalRecord, type Transition } from '@auburnpin/core'
import { journalKey, type ClaimedCell } from '@auburnpin/cluster'
import { newTransactionId, type TableStore, type Transaction } from '@auburnpin/platform'
import { JOURNAL_RETRY_MS, MAX_RECORD_TRANSITIONS } from './constants.ts'

type Entry = Readonly<{ transitions: readonly Transition[], onDurable: () => void }>

/** Where a journal goes on and what to do when another owner has taken over. */
export type JournalOptions = Readonly<{
  claimed: ClaimedCell
  /** Sequence of the last record written so far. */
  last: JournalSequence
  onFenced: () => void
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

  /** Calls `onDurable` once the transitions, and all before them, are in the store. */
  append (transitions: readonly Transition[], onDurable: () => void): void {
    if (this.#isClosed) return
    if (transitions.length === 0 && this.#writing === undefined) {
      onDurable()
      return
    }
    this.#entries.push({ transitions, onDurable })
    this.#writing ??= this.#writeAll()
  }

  /** Takes nothing more; waits for what is on its way unless `isAbandoned`. */
  async close (isAbandoned: boolean): Promise<void> {
    this.#isClosed = true
    if (isAbandoned) this.#entries = []
    else await this.#writing
  }

  async #writeAll (): Promise<void> {
    while (this.#entries.length > 0) {
      const batch = this.#takeBatch()
      const isWritten = await this.#writeBatch(batch)
      if (!isWritten) break
      for (const entry of batch) entry.onDurable()
    }
    this.#writing = undefined
  }

  #takeBatch (): Entry[] {
    const batch: Entry[] = []
    let size = 0
    for (const entry of this.#entries) {
      if (batch.length > 0 && size + entry.transitions.length > MAX_RECORD_TRANSITIONS) break
      batch.push(entry)
      size += entry.transitions.length
    }
    this.#entries.splice(0, batch.length)
    return batch
  }

  async #writeBatch (batch: readonly Entry[]): Promise<boolean> {
    const transitions = batch.flatMap(entry => entry.transitions)
    if (transitions.length === 0) return true
    const sequence = brand<JournalSequence>(this.#last + 1)
    const transaction = this.#toTransaction(sequence, transitions)
    for (;;) {
      const outcome = await this.#table.transact(transaction)
      if (outcome.ok && outcome.val.kind === 'committed') {
        this.#last = sequence
        return true
      }
      if (outcome.ok) {
        this.#log.warn('The journal belongs to another owner now', { cell: this.#options.claimed.cell, epoch: this.#options.claimed.epoch })
        this.#isClosed = true
        this.#entries = []
        this.#options.onFenced()
        return false
      }
      this.#logRetry(outcome.val)
      if (this.#isClosed) return false
      await this.#clock.sleep(JOURNAL_RETRY_MS)
    }
  }

  #toTransaction (sequence: JournalSequence, transitions: readonly Transition[]): Transaction {
    const { claimed } = this.#options
    const key = journalKey(claimed.cell, sequence)
    const record: JournalRecord<Transition> = { format: CELL_FORMAT, epoch: claimed.epoch, transitions }
    return {
      id: newTransactionId(this.#random),
      checks: [claimed.check, { kind: 'absent', key }],
      puts: [{ key, value: record }],
      deletes: []
    }
  }

  #logRetry (error: AuburnpinError): void {
    this.#log.warn('The journal could not be written; trying again', { cell: this.#options.claimed.cell, reason: error.message })
  }
}
