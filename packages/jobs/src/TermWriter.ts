/**
 * Writes what an owner decides, under its term.
 */
import { Pause, type Clock, type Instant, type JobId, type Log, type RowVersion } from '@auburnpin/common'
import type { JobBoard, JobRecord, WorkerRecord } from '@auburnpin/core'
import { CELL, COMMIT_GAP_MS, COMMIT_RETRY_MS, LEARNT_MS, MAX_ROWS_PER_COMMIT, SUSPENSION_MS, TERM_MS, TERM_RENEWAL_MS } from './constants.ts'
import type { RowChange, RowStore } from './RowStore.ts'
import { encodeRow, LEARNT_KEY, PROGRESS_TABLE, readTerm, TERM_KEY, TERMS_TABLE, USED_WORKERS_KEY, type Term, type UsedWorker } from './rows.ts'

/** What one commit carries besides the term. */
type Batch = Readonly<{
  jobs: readonly JobRecord[]
  ends: ReadonlyMap<WorkerRecord, number>
  used: readonly UsedWorker[] | undefined
  unneeded: readonly JobId[]
}>

/** What a term's writer tells. */
export abstract class TermListener {
  /** Effects are durable: ends may be acknowledged, workers may be used. */
  abstract committed (): void
  /** Another process owns the cell. */
  abstract lost (why: string): void
}

/**
 * Every commit renews the term and carries the progress that waits, one commit at a time. A commit whose
 * answer is lost may still be made, so the next one names the same version: only one of them can be made.
 */
export class TermWriter {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #pause: Pause
  readonly #board: JobBoard
  readonly #listener: TermListener
  #term: Term
  #version: RowVersion
  #heldSince: Instant
  #heldSinceWall: number
  #usedWanted: readonly UsedWorker[] = []
  #usedDurable = new Set<string>()
  #unneeded: JobId[] = []
  #isUsedDirty = false
  #isStopped = false
  #isBoardWhole = false
  #learntAt: Instant
  #isCommitting = false
  #lastCommitAt: Instant

  constructor (store: RowStore, clock: Clock, log: Log, board: JobBoard, listener: TermListener, term: Term, version: RowVersion, claimedAt: Instant, claimedAtWall: number) {
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#pause = new Pause(clock)
    this.#board = board
    this.#listener = listener
    this.#term = term
    this.#version = version
    this.#heldSince = claimedAt
    this.#heldSinceWall = claimedAtWall
    this.#lastCommitAt = claimedAt
    this.#learntAt = claimedAt
  }

  /** Whether this process surely owns the cell now. The steady clock stands still while a process is suspended, the wall clock doesn't. */
  get isHeld (): boolean {
    if (this.#isStopped) return false
    const heldMs = this.#clock.now() - this.#heldSince
    const wallMs = this.#clock.wallTime() - this.#heldSinceWall
    return heldMs < TERM_MS && Math.abs(wallMs - heldMs) < SUSPENSION_MS
  }

  /** Renews and writes until `stop`. */
  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
    this.#pause.wake()
  }

  /** The board holds all jobs from now on; before, the lengths of queues stay as the last owner told them. */
  noteBoardWhole (): void {
    this.#isBoardWhole = true
  }

  /** Asks for a commit soon. */
  ask (): void {
    this.#pause.wake()
  }

  /** Names the workers to be used; each may be used once `isUsable` says so. */
  use (workers: readonly UsedWorker[]): void {
    this.#usedWanted = workers
    this.#isUsedDirty = true
    this.ask()
  }

  /** Has a job's progress dropped with a later commit; its own rows are gone. */
  dropProgress (id: JobId): void {
    this.#unneeded.push(id)
  }

  /** Whether the next owner would know of the worker. */
  isUsable ({ id, incarnation }: Pick<UsedWorker, 'id' | 'incarnation'>): boolean {
    return this.#usedDurable.has(`${id}#${incarnation}`)
  }

  /** Gives the term up, so that another process may take it at once. */
  async release (): Promise<void> {
    while (this.#isCommitting) await this.#clock.sleep(COMMIT_GAP_MS)
    const change = this.#change({ jobs: [], ends: new Map(), used: undefined, unneeded: [] }, { ...this.#term, holder: '', commit: this.#term.commit + 1 })
    const outcome = await this.#store.transact(change)
    this.#log.info('Term given up', { epoch: this.#term.epoch, done: outcome.ok && outcome.val.kind === 'committed' })
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      // With nothing to write, what was taken in is as durable as it needs to be.
      if (this.#board.dirtyCount === 0 && this.#board.hasUnsettledEnds) this.#settleEnds()
      if (this.#isDue) await this.#commit()
      else await this.#pause.rest(Math.max(1, TERM_RENEWAL_MS - (this.#clock.now() - this.#lastCommitAt)))
    }
  }

  get #isDue (): boolean {
    return this.#isUsedDirty || this.#board.dirtyCount > 0 || this.#clock.now() - this.#lastCommitAt >= TERM_RENEWAL_MS
  }

  #settleEnds (): void {
    this.#board.noteDurable(this.#board.appliedEnds())
    this.#listener.committed()
  }

  async #commit (): Promise<void> {
    this.#isCommitting = true
    const batch = this.#takeBatch()
    const next: Term = { ...this.#term, commit: this.#term.commit + 1, pending: this.#isBoardWhole ? this.#board.countPending() : this.#term.pending, workers: this.#isBoardWhole ? this.#board.workers.size : this.#term.workers }
    const sentAt = this.#clock.now()
    const sentAtWall = this.#clock.wallTime()
    this.#lastCommitAt = sentAt
    const outcome = await this.#store.transact(this.#change(batch, next))
    this.#isCommitting = false
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.#term = next
      this.#version = outcome.val.version
    }
    if (this.#isStopped) return
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.#hold(sentAt, sentAtWall)
      this.#board.noteDurable(batch.ends)
      if (batch.used !== undefined) this.#usedDurable = new Set(batch.used.map(({ id, incarnation }) => `${id}#${incarnation}`))
      this.#listener.committed()
      await this.#clock.sleep(COMMIT_GAP_MS)
      return
    }
    this.#board.markDirty(batch.jobs)
    this.#unneeded.push(...batch.unneeded)
    if (batch.used !== undefined) this.#isUsedDirty = true
    if (outcome.ok && outcome.val.kind === 'conflict') {
      this.#takeConflict(outcome.val.rows.find(row => row.table === TERMS_TABLE && row.key === TERM_KEY))
      return
    }
    this.#log.warn('Commit failed', { epoch: this.#term.epoch, error: outcome.err ? outcome.val.message : '', dirty: this.#board.dirtyCount })
    await this.#clock.sleep(COMMIT_RETRY_MS)
  }

  #hold (since: Instant, sinceWall: number): void {
    this.#heldSince = since
    this.#heldSinceWall = sinceWall
  }

  #takeBatch (): Batch {
    const jobs = this.#board.takeDirty(MAX_ROWS_PER_COMMIT)
    const ends = this.#board.dirtyCount === 0 ? this.#board.appliedEnds() : new Map<WorkerRecord, number>()
    const used = this.#isUsedDirty ? this.#usedWanted : undefined
    this.#isUsedDirty = false
    return { jobs, ends, used, unneeded: this.#unneeded.splice(0, MAX_ROWS_PER_COMMIT - jobs.length) }
  }

  #change ({ jobs, used, unneeded }: Batch, term: Term): RowChange {
    const puts = [{ table: TERMS_TABLE, key: TERM_KEY, value: encodeRow(term) }]
    if (used !== undefined) puts.push({ table: TERMS_TABLE, key: USED_WORKERS_KEY, value: encodeRow(used) })
    if (this.#clock.now() - this.#learntAt >= LEARNT_MS) {
      this.#learntAt = this.#clock.now()
      puts.push({ table: TERMS_TABLE, key: LEARNT_KEY, value: encodeRow(this.#board.disturbance.learnt) })
    }
    for (const job of jobs) puts.push({ table: PROGRESS_TABLE, key: job.job.id, value: encodeRow(job.progress) })
    return { part: CELL, checks: [{ table: TERMS_TABLE, key: TERM_KEY, version: this.#version }], puts, deletes: unneeded.map(key => ({ table: PROGRESS_TABLE, key })) }
  }

  // Either an earlier commit of this very term was made after all, or another process owns the cell.
  #takeConflict (row: { value: string, version: RowVersion } | undefined): void {
    const term = row === undefined ? undefined : readTerm(row.value)
    if (row !== undefined && term?.life === this.#term.life && term.epoch === this.#term.epoch) {
      this.#version = row.version
      this.#term = { ...this.#term, commit: Math.max(this.#term.commit, term.commit) }
      return
    }
    this.#isStopped = true
    this.#listener.lost(term === undefined ? 'the term is gone from the store' : `epoch ${term.epoch} belongs to ${term.holder || 'nobody'}`)
  }
}
