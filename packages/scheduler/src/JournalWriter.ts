/**
 * Writing of a cell's journal, with the transitions of many steps in one record.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type ConfigVersion, type Instant, type JournalSequence, type Log, type Random, type Result } from '@auburnpin/common'
import { CELL_FORMAT, type JournalRecord, type Transition } from '@auburnpin/core'
import { journalKey, type ClaimedCell } from '@auburnpin/cluster'
import { newTransactionId, type TableStore, type Transaction } from '@auburnpin/ports'
import { BATCH_POLL_INTERVAL_MS, JOURNAL_RETRY_DELAY_MS, JOURNAL_STALL_TIMEOUT_MS, MAX_PENDING_STEPS, MAX_RECORD_TRANSITIONS, RECORD_INTERVAL_MS } from './constants.ts'

/** Outcome of a step: durable, certainly not written (`fenced`), or possibly written (`unknown-outcome`). */
export type JournalOutcome = Result<void, AuburnpinError>

type PendingStep = Readonly<{ transitions: readonly Transition[], settle: (outcome: JournalOutcome) => void }>

/** Position, limits and callbacks of a journal writer. */
export type JournalOptions = Readonly<{
  claimed: ClaimedCell
  /** Sequence number of the last record in the journal. */
  last: JournalSequence
  /** Called when another owner has taken the cell over. */
  onFenced: () => void
  /** Minimum interval between two records unless a full one is pending, in milliseconds. */
  intervalMs?: number
  /** Maximum number of transitions in one record. */
  recordTransitions?: number
  /** Returns the version of the configuration that the transitions are based on. */
  configured?: () => ConfigVersion
  /** Called after the steps of a record are settled, with the record's sequence number and number of transitions. */
  onRecord: (sequence: JournalSequence, transitions: number) => void
}>

/** Group commit: steps that arrive while a record is being written are combined in the next one. */
export class JournalWriter {
  readonly #table: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #options: JournalOptions
  #last: JournalSequence
  #pending: PendingStep[] = []
  #inFlight: Promise<void> | undefined
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

  /** Sequence number of the last record that is known to be durable. */
  get last (): JournalSequence {
    return this.#last
  }

  /** Number of steps that are queued for a record. */
  get pendingSteps (): number {
    return this.#pending.length
  }

  /** Whether the cell should make no more decisions until the store catches up. */
  get isStalled (): boolean {
    const isOverdue = this.#sentAt !== undefined && this.#clock.now() - this.#sentAt >= JOURNAL_STALL_TIMEOUT_MS
    return this.#isFailing || isOverdue || this.#pending.length >= MAX_PENDING_STEPS
  }

  /** Calls `settle` once the transitions and all earlier ones are durable, or once their write has been abandoned. */
  append (transitions: readonly Transition[], settle: (outcome: JournalOutcome) => void): void {
    if (this.#isClosed) {
      settle(Err(fenced(this.#options.claimed)))
      return
    }
    if (transitions.length === 0 && this.#inFlight === undefined) {
      settle(Ok(undefined))
      return
    }
    this.#pending.push({ transitions, settle })
    this.#inFlight ??= this.#writeAll()
  }

  /** Accepts no more steps; waits for pending records unless `isAbandoned`. Every step is eventually settled. */
  async close (isAbandoned: boolean): Promise<void> {
    this.#isClosed = true
    if (isAbandoned) this.#rejectPending()
    else await this.#inFlight
  }

  async #writeAll (): Promise<void> {
    while (this.#pending.length > 0) {
      await this.#waitForBatch()
      const batch = this.#takeBatch()
      const outcome = await this.#writeBatch(batch)
      for (const step of batch) step.settle(outcome.map(() => undefined))
      if (outcome.err) break
      if (outcome.val > 0) this.#options.onRecord(this.#last, outcome.val)
    }
    this.#rejectPending()
    this.#inFlight = undefined
  }

  // Without the interval, a fast store would receive one record per step.
  async #waitForBatch (): Promise<void> {
    const due = (this.#lastSentAt ?? -Infinity) + (this.#options.intervalMs ?? RECORD_INTERVAL_MS)
    while (!this.#isClosed && this.#clock.now() < due && this.#countPendingTransitions() < this.#maxTransitions) {
      await this.#clock.sleep(Math.min(BATCH_POLL_INTERVAL_MS, due - this.#clock.now()))
    }
  }

  #countPendingTransitions (): number {
    let size = 0
    for (const step of this.#pending) size += step.transitions.length
    return size
  }

  get #maxTransitions (): number {
    return this.#options.recordTransitions ?? MAX_RECORD_TRANSITIONS
  }

  #rejectPending (): void {
    const rejected = this.#pending
    this.#pending = []
    for (const step of rejected) step.settle(Err(fenced(this.#options.claimed)))
  }

  #takeBatch (): PendingStep[] {
    const batch: PendingStep[] = []
    let size = 0
    for (const step of this.#pending) {
      if (batch.length > 0 && size + step.transitions.length > this.#maxTransitions) break
      batch.push(step)
      size += step.transitions.length
    }
    this.#pending.splice(0, batch.length)
    return batch
  }

  // Returns the number of transitions written.
  async #writeBatch (batch: readonly PendingStep[]): Promise<Result<number, AuburnpinError>> {
    const transitions = batch.flatMap(step => step.transitions)
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
        this.#log.warn('Journal was fenced; another owner has taken the cell over', { cell: claimed.cell, epoch: claimed.epoch })
        this.#isClosed = true
        this.#options.onFenced()
        // The record may have been written: the next owner may have trimmed it, so its absence proves nothing.
        return Err(unknownOutcome(claimed))
      }
      this.#isFailing = true
      this.#log.warn('Journal could not be written; retrying', { cell: claimed.cell, reason: outcome.val.message })
      if (this.#isClosed) return Err(unknownOutcome(claimed))
      await this.#clock.sleep(JOURNAL_RETRY_DELAY_MS)
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
  new AuburnpinError('fenced', `Epoch ${epoch} of cell ${cell} has ended; the request was not recorded`, 'Repeat the request; the next owner handles it.')

const unknownOutcome = ({ cell, epoch }: ClaimedCell): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Epoch ${epoch} of cell ${cell} ended while the request was being recorded`, 'Ask the next owner whether it was recorded, or repeat the request with the same id.')
