/**
 * Renews an owner's term, and makes its progress durable under that term.
 */
import { brand, InterruptibleSleep, type AuburnpinError, type CellId, type Clock, type Epoch, type Instant, type Log, type Metrics, type RowVersion, type WorkerId } from '@auburnpin/common'
import { appliedEnds, countKeptTasks, EMPTY_LAYOUT, markEndsDurable, NOTHING_PUBLISHED, type JobScheduler, type Layout, type ProgressSegment, type WorkerRecord } from '@auburnpin/core'
import { encodeEstimates, encodeTerm } from './boundedRows.ts'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { COMMIT_RETRY_DELAY_MS, ESTIMATES_INTERVAL_MS, MAX_BYTES_PER_COMMIT, MAX_LAYOUT_BYTES_PER_COMMIT, MAX_LAYOUT_ROWS_PER_COMMIT, MAX_ROWS_PER_COMMIT, MIN_COMMIT_INTERVAL_MS, SUSPENSION_THRESHOLD_MS, TERM_LENGTH_MS, TERM_RENEWAL_INTERVAL_MS } from './constants.ts'
import { encodeProgress } from './encodeProgress.ts'
import { keyOf, LeaseRecord, type WorkerIdentity } from './LeaseRecord.ts'
import { LeftOutRows } from './LeftOutRows.ts'
import { limitUsedWorkers } from './limitUsedWorkers.ts'
import type { RowTransaction, RowStore } from './RowStore.ts'
import { divideUsedWorkers, encodeRow, ESTIMATES_KEY, LAYOUT_KEY, layoutCellKey, progressKey, PROGRESS_TABLE, readTerm, TERM_KEY, TERMS_TABLE, withoutLeaseEnds, type Term, type UsedWorker } from './rows.ts'
import { StoreClock } from './StoreClock.ts'
import { WorkerEpochs } from './WorkerEpochs.ts'

/** Content of one commit besides the term itself. */
type Batch = Readonly<{
  segments: readonly ProgressSegment[]
  /** The encoded progress of the segments, in their order; empty for one that is too long to be stored. */
  values: readonly string[]
  ends: ReadonlyMap<WorkerRecord, number>
  usedWorkers: readonly UsedWorker[] | undefined
  /** The layout as it is after this commit; `undefined` if it doesn't change. */
  layout: Layout | undefined
  /** Keys of rows of progress. */
  progressToDelete: readonly string[]
}>

/** Receives the results of the commits. */
export abstract class TermListener {
  /** A commit succeeded: its ends may be acknowledged, its workers may be used, and the progress of `segments` is durable. */
  abstract committed (segments: readonly ProgressSegment[]): void
  /** Another process owns the cell. */
  abstract lost (reason: string): void
  /** What the next commit publishes about the load of the cells; empty in a deployment with one cell. */
  abstract publishedLoad (): Pick<Term, 'loadPercent' | 'evacuatedWorkers' | 'free' | 'freeLater' | 'cells'>
}

/**
 * Commits one transaction at a time; each renews the term and writes the pending progress. A commit whose
 * response is lost may still be applied, so the next one checks the same version: only one of them can succeed.
 */
export class TermWriter {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #sleep: InterruptibleSleep
  readonly #scheduler: JobScheduler
  readonly #listener: TermListener
  readonly #cell: CellId
  readonly #leftOut: LeftOutRows
  #term: Term
  #version: RowVersion
  #heldSince: Instant
  #heldSinceWall: number
  #usedWorkers: readonly UsedWorker[] = []
  #usedWorkerIds: ReadonlySet<WorkerId> = new Set()
  #usedWorkerKeys: ReadonlySet<string> = new Set()
  /** Keys of the rows of used workers that the store has, or may have. */
  #usedWorkersKeys = new Set<string>()
  #durableWorkers = new Set<string>()
  readonly #workerEpochs = new WorkerEpochs()
  readonly #storeClock = new StoreClock()
  readonly #leases: LeaseRecord
  #progressToDelete: string[] = []
  #layout: Layout = EMPTY_LAYOUT
  #durableLayout: Layout = EMPTY_LAYOUT
  #areUsedWorkersDirty = false
  #isStopped = false
  #isRestored = false
  #estimatesWrittenAt: Instant
  #isCommitting = false
  #lastCommitAt: Instant

  constructor (store: RowStore, clock: Clock, log: Log, metrics: Metrics, scheduler: JobScheduler, listener: TermListener, { cell, term, version, claimedAt, claimedAtWall }: ClaimedTerm) {
    this.#cell = cell
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#leftOut = new LeftOutRows(clock, log, metrics)
    this.#sleep = new InterruptibleSleep(clock)
    this.#scheduler = scheduler
    this.#leases = new LeaseRecord(scheduler, clock, this.#storeClock)
    this.#listener = listener
    this.#term = term
    this.#version = version
    this.#heldSince = claimedAt
    this.#heldSinceWall = claimedAtWall
    this.#lastCommitAt = claimedAt
    this.#estimatesWrittenAt = claimedAt
  }

  /** Whether this process certainly owns the cell now. Compares two clocks, as the steady clock stops while a process is suspended and the wall clock doesn't. */
  get isHeld (): boolean {
    if (this.#isStopped) return false
    const heldMs = this.#clock.now() - this.#heldSince
    const wallMs = this.#clock.wallTime() - this.#heldSinceWall
    return heldMs < TERM_LENGTH_MS && Math.abs(wallMs - heldMs) < SUSPENSION_THRESHOLD_MS
  }

  /** Commits until `stop`. */
  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
    this.#sleep.wake()
  }

  /** Records that the scheduler contains all jobs. Before this call, commits keep the queue lengths and the number of workers of the previous owner. */
  markRestored (): void {
    this.#isRestored = true
  }

  /** Ends a wait for the next renewal, so that pending changes are committed soon. */
  requestCommit (): void {
    this.#sleep.wake()
  }

  /** Sets the workers that this owner uses. A worker may be used as soon as `isUsable` returns `true` for it. */
  setUsedWorkers (workers: readonly UsedWorker[]): void {
    this.#usedWorkers = workers
    this.#usedWorkerIds = new Set(workers.map(({ id }) => id))
    this.#usedWorkerKeys = new Set(workers.map(keyOf))
    this.#areUsedWorkersDirty = true
    this.requestCommit()
  }

  /** Sets the workers that the owner before used, and the keys of the rows that record them. */
  restoreUsedWorkers (workers: readonly UsedWorker[], keys: readonly string[]): void {
    for (const key of keys) this.#usedWorkersKeys.add(key)
    this.#leases.restore(workers)
    this.setUsedWorkers(workers.map(withoutLeaseEnds))
  }

  /** Whether a worker is among those set last, so that it is recorded or about to be. */
  isUsed (worker: WorkerIdentity): boolean {
    return this.#usedWorkerKeys.has(keyOf(worker))
  }

  /** Requests that ends of leases are recorded or removed, if workers have fallen silent or have reported. */
  updateLeaseEnds (): void {
    if (!this.#usedWorkers.some(worker => this.#leases.isOutdated(worker))) return
    this.#areUsedWorkersDirty = true
    this.requestCommit()
  }

  /** A worker has reported: its lease may be extended once the end is removed from the record. */
  workerReported (worker: WorkerIdentity): void {
    if (!this.#leases.hasEnd(worker) && !this.#leases.isOutdated(worker)) return
    this.#areUsedWorkersDirty = true
    this.requestCommit()
  }

  /** Ids of the workers that this owner or an earlier one may have sent orders to. */
  get usedWorkerIds (): ReadonlySet<WorkerId> {
    return this.#usedWorkerIds
  }

  /** The layout that the store has. */
  get durableLayout (): Layout {
    return this.#durableLayout
  }

  /** Continues with the layout that the store has. */
  restoreLayout (layout: Layout): void {
    this.#layout = layout
    this.#durableLayout = layout
  }

  /** Stores a layout. It is stored before any worker that it adds to this cell is recorded as used, or together with it. */
  setLayout (layout: Layout): void {
    this.#layout = layout
    this.requestCommit()
  }

  /** Deletes rows of a job's progress with a later commit. The job's rows in the jobs table must be deleted already. */
  deleteProgress (keys: readonly string[]): void {
    for (const key of keys) this.#progressToDelete.push(key)
  }

  /** Whether the worker is recorded durably, so that the next owner finds it; before that it must get no orders. */
  isUsable (worker: WorkerIdentity): boolean {
    return this.#durableWorkers.has(keyOf(worker))
  }

  /** The fencing epoch of the calls to an incarnation of a worker; `undefined` unless it is usable. */
  epochOf (worker: WorkerIdentity): Epoch | undefined {
    return this.#workerEpochs.of(worker)
  }

  /** The epoch that the store has; no call of this term has a higher one. */
  get epoch (): Epoch {
    return this.#term.epoch
  }

  /** Whether the worker's lease may be extended, by a start or otherwise. */
  isLeasable (worker: WorkerIdentity): boolean {
    return this.#leases.isLeasable(worker)
  }

  /** Releases the term, so that another process can claim it at once. Owners in a row pass on when the leases of silent workers are over. */
  async release (): Promise<void> {
    while (this.#isCommitting) await this.#clock.sleep(MIN_COMMIT_INTERVAL_MS)
    const usedWorkers = this.#isRestored ? this.#limitUsedWorkers(this.#leases.record(this.#usedWorkers, true)) : undefined
    const transaction = this.#buildTransaction({ segments: [], values: [], ends: new Map(), usedWorkers, layout: undefined, progressToDelete: [] }, this.#nextTerm({ ...this.#term, holder: '' }, usedWorkers))
    const outcome = await this.#store.transact(transaction)
    this.#log.info('Term released', { epoch: this.#term.epoch, done: outcome.ok && outcome.val.kind === 'committed' })
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      // With nothing to write, all effects of the reported ends are durable already.
      if (this.#scheduler.dirtyCount === 0 && this.#scheduler.hasNonDurableEnds) this.#acknowledgeEnds()
      if (this.#isCommitDue) await this.#commitSafely()
      else await this.#sleep.sleep(Math.max(1, TERM_RENEWAL_INTERVAL_MS - (this.#clock.now() - this.#lastCommitAt)))
    }
  }

  // An unexpected error must not end the renewal of the term.
  async #commitSafely (): Promise<void> {
    let batch: Batch | undefined
    try {
      batch = this.#takeBatch()
      await this.#commit(batch)
    } catch (thrown) {
      this.#isCommitting = false
      this.#areUsedWorkersDirty = true
      if (batch !== undefined) {
        this.#scheduler.markDirty(batch.segments)
        this.#progressToDelete.push(...batch.progressToDelete)
      }
      this.#log.error('Commit failed unexpectedly', { cell: this.#cell, epoch: this.#term.epoch, error: String(thrown) })
      await this.#clock.sleep(COMMIT_RETRY_DELAY_MS)
    }
  }

  get #isCommitDue (): boolean {
    return this.#areUsedWorkersDirty || this.#layout !== this.#durableLayout || this.#scheduler.dirtyCount > 0 || this.#clock.now() - this.#lastCommitAt >= TERM_RENEWAL_INTERVAL_MS
  }

  #acknowledgeEnds (): void {
    markEndsDurable(appliedEnds(this.#scheduler.workers.values()))
    this.#listener.committed([])
  }

  async #commit (batch: Batch): Promise<void> {
    this.#isCommitting = true
    const next = this.#nextTerm({ ...this.#term, pending: this.#isRestored ? this.#scheduler.countQueuedJobs() : this.#term.pending, workers: this.#isRestored ? this.#scheduler.workers.size : this.#term.workers, keptTasks: this.#isRestored ? countKeptTasks(this.#scheduler.jobs.values()) : this.#term.keptTasks, ...this.#scheduler.forecast?.published(this.#clock.now(), this.#term) ?? NOTHING_PUBLISHED, ...this.#listener.publishedLoad() }, batch.usedWorkers)
    const sentAt = this.#clock.now()
    const sentAtWall = this.#clock.wallTime()
    this.#lastCommitAt = sentAt
    const outcome = await this.#store.transact(this.#buildTransaction(batch, next))
    this.#isCommitting = false
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.#term = next
      this.#version = outcome.val.version
      this.#storeClock.record(outcome.val.storeTime, sentAt)
    }
    if (this.#isStopped) return
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.#extendHold(sentAt, sentAtWall)
      markEndsDurable(batch.ends)
      this.#scheduler.markStored(batch.segments)
      if (batch.layout !== undefined) this.#durableLayout = batch.layout
      if (batch.usedWorkers !== undefined) this.#markDurable(batch.usedWorkers, next.epoch)
      this.#listener.committed(batch.segments)
      await this.#clock.sleep(MIN_COMMIT_INTERVAL_MS)
      return
    }
    this.#scheduler.markDirty(batch.segments)
    this.#progressToDelete.push(...batch.progressToDelete)
    if (batch.usedWorkers !== undefined) this.#areUsedWorkersDirty = true
    if (outcome.ok && outcome.val.kind === 'conflict') {
      this.#handleConflict(outcome.val.rows.find(row => row.table === TERMS_TABLE && row.key === TERM_KEY))
      return
    }
    this.#logFailure(outcome.err ? outcome.val : undefined)
    await this.#clock.sleep(COMMIT_RETRY_DELAY_MS)
  }

  // A commit that the store rejects as invalid is rejected each time, so that this owner makes no progress.
  #logFailure (error: AuburnpinError | undefined): void {
    const fields = { epoch: this.#term.epoch, error: error?.message ?? '', dirty: this.#scheduler.dirtyCount }
    if (error?.kind === 'invalid-request') this.#log.error('The store rejects the commits of this term as invalid', fields)
    else this.#log.warn('Commit failed', fields)
  }

  #markDurable (workers: readonly UsedWorker[], epoch: Epoch): void {
    this.#durableWorkers = new Set(workers.map(keyOf))
    this.#workerEpochs.assign(workers, epoch, this.#clock.now())
    this.#leases.markDurable(workers)
  }

  #nextTerm (term: Term, usedWorkers: readonly UsedWorker[] | undefined): Term {
    const isHigherEpochNeeded = usedWorkers !== undefined && this.#workerEpochs.areHigherNeeded(usedWorkers)
    const epoch = isHigherEpochNeeded ? brand<Epoch>(this.#term.epoch + 1) : term.epoch
    return { ...term, epoch, commit: term.commit + 1, areLeaseEndsRecorded: usedWorkers === undefined ? term.areLeaseEndsRecorded : true }
  }

  #limitUsedWorkers (workers: readonly UsedWorker[]): readonly UsedWorker[] {
    const recorded = limitUsedWorkers(workers, worker => this.#durableWorkers.has(keyOf(worker)))
    if (recorded.length < workers.length) this.#leftOut.record('workers', { workers: workers.length, recorded: recorded.length })
    return recorded
  }

  #extendHold (sentAt: Instant, sentAtWall: number): void {
    this.#heldSince = sentAt
    this.#heldSinceWall = sentAtWall
  }

  #takeBatch (): Batch {
    const usedWorkers = this.#areUsedWorkersDirty ? this.#limitUsedWorkers(this.#leases.record(this.#usedWorkers, false)) : undefined
    this.#areUsedWorkersDirty = false
    const usedWorkersRows = usedWorkers === undefined ? 0 : Math.max(this.#usedWorkersKeys.size, divideUsedWorkers(usedWorkers, this.#store.maxValueBytes).size)
    const layout = this.#nextLayout()
    const limit = Math.max(0, MAX_ROWS_PER_COMMIT - usedWorkersRows - (layout === undefined ? 0 : MAX_LAYOUT_ROWS_PER_COMMIT + 1))
    const { segments, values } = this.#takeProgress(limit, MAX_BYTES_PER_COMMIT - (layout === undefined ? 0 : MAX_LAYOUT_BYTES_PER_COMMIT) - (usedWorkers === undefined ? 0 : Buffer.byteLength(encodeRow(usedWorkers))))
    // A job of another cell that was forgotten may have come back before the deletion of its progress was committed.
    const stored = new Set(segments.map(({ job, number }) => progressKey(job, number)))
    this.#progressToDelete = this.#progressToDelete.filter(key => !stored.has(key))
    const ends = this.#scheduler.dirtyCount === 0 ? appliedEnds(this.#scheduler.workers.values()) : new Map<WorkerRecord, number>()
    return { segments, values, ends, usedWorkers, layout, progressToDelete: this.#progressToDelete.splice(0, limit - segments.length) }
  }

  // What doesn't fit into this commit is part of a later one.
  #takeProgress (maxRows: number, maxBytes: number): Pick<Batch, 'segments' | 'values'> {
    const segments = this.#scheduler.takeDirty(maxRows)
    const values: string[] = []
    let bytes = 0
    for (const { job: { job: { id } }, number, progress } of segments) {
      const { value, omittedCheckpoints } = encodeProgress(progress, this.#store.maxValueBytes)
      const isLeftOut = this.#leftOut.isTooLong(`progress ${id} ${number}`, value, this.#store.maxValueBytes)
      bytes += isLeftOut ? 0 : Buffer.byteLength(value)
      if (bytes > maxBytes) break
      if (omittedCheckpoints > 0) this.#log.warn('Checkpoints of a job are too long to be stored', { job: id, segment: number, omittedCheckpoints })
      values.push(isLeftOut ? '' : value)
    }
    this.#scheduler.markDirty(segments.slice(values.length))
    return { segments: segments.slice(0, values.length), values }
  }

  // A layout with many changed cells takes several commits. The first cell comes last, so that a rack that leaves it is
  // never in no cell.
  #nextLayout (): Layout | undefined {
    if (this.#layout === this.#durableLayout) return undefined
    const cells = [...this.#durableLayout.cells]
    let changed = 0
    let bytes = 0
    for (const [index, cell] of [...this.#layout.cells.entries()].sort(([one], [other]) => Number(one === 0) - Number(other === 0))) {
      if (cells[index] === cell) continue
      bytes += Buffer.byteLength(encodeRow(cell))
      if (++changed > MAX_LAYOUT_ROWS_PER_COMMIT || (changed > 1 && bytes > MAX_LAYOUT_BYTES_PER_COMMIT)) return { version: this.#layout.version, cells }
      cells[index] = cell
    }
    return this.#layout
  }

  #buildTransaction ({ segments, values, usedWorkers, layout, progressToDelete }: Batch, term: Term): RowTransaction {
    const { maxValueBytes } = this.#store
    const puts = [{ table: TERMS_TABLE, key: TERM_KEY, value: encodeTerm(term, maxValueBytes) }]
    const deletes = progressToDelete.map(key => ({ table: PROGRESS_TABLE, key }))
    if (usedWorkers !== undefined) {
      const rows = divideUsedWorkers(usedWorkers, maxValueBytes)
      for (const key of this.#usedWorkersKeys) if (!rows.has(key)) deletes.push({ table: TERMS_TABLE, key })
      for (const [key, workers] of rows) {
        this.#usedWorkersKeys.add(key)
        puts.push({ table: TERMS_TABLE, key, value: encodeRow(workers) })
      }
    }
    if (this.#clock.now() - this.#estimatesWrittenAt >= ESTIMATES_INTERVAL_MS) {
      this.#estimatesWrittenAt = this.#clock.now()
      puts.push({ table: TERMS_TABLE, key: ESTIMATES_KEY, value: encodeEstimates(this.#scheduler.interference.learnt, maxValueBytes) })
    }
    if (layout !== undefined) {
      puts.push({ table: TERMS_TABLE, key: LAYOUT_KEY, value: encodeRow({ version: layout.version, cells: layout.cells.length }) })
      for (const [index, cell] of layout.cells.entries()) {
        if (this.#durableLayout.cells[index] === cell) continue
        const value = encodeRow(cell)
        if (!this.#leftOut.isTooLong(layoutCellKey(index), value, maxValueBytes)) puts.push({ table: TERMS_TABLE, key: layoutCellKey(index), value })
      }
    }
    for (const [index, { job, number }] of segments.entries()) {
      const value = values[index] ?? ''
      if (value !== '') puts.push({ table: PROGRESS_TABLE, key: progressKey(job, number), value })
    }
    return { part: this.#cell, checks: [{ table: TERMS_TABLE, key: TERM_KEY, version: this.#version }], puts, deletes }
  }

  // Either an earlier commit of this term was applied although its response was lost, or another process owns the cell.
  #handleConflict (row: { value: string, version: RowVersion } | undefined): void {
    const term = row === undefined ? undefined : readTerm(row.value)
    if (row !== undefined && term?.life === this.#term.life && (term.epoch === this.#term.epoch || term.epoch === this.#term.epoch + 1)) {
      this.#version = row.version
      this.#term = { ...this.#term, epoch: term.epoch, commit: Math.max(this.#term.commit, term.commit) }
      return
    }
    this.#isStopped = true
    this.#listener.lost(term === undefined ? 'the row of the term is missing from the store' : `epoch ${term.epoch} is owned by ${term.holder || 'no process'}`)
  }
}
