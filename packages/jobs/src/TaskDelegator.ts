/**
 * Gives tasks that a cell can't hold to other cells, and runs those that it gets from them.
 */
import type { CellId, JobId } from '@auburnpin/common'
import type { JobProgress, JobRecord, JobScheduler, StepRecord, TaskRecord } from '@auburnpin/core'
import { DELEGATION_INTERVAL_MS, INTERRUPTED_CAPACITY_READ_INTERVAL_MS, MAX_DELEGATIONS_AT_ONCE, MAX_OPEN_DELEGATIONS, CAPACITY_READ_INTERVAL_MS } from './constants.ts'
import { delegationKey, readDelegationReport, readDelegationRow, reportKey, type DelegationReport, type DelegationRow, type DelegationRowName } from './delegationRows.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import type { StoredRow } from './RowStore.ts'
import { RemoteCapacity } from './RemoteCapacity.ts'
import { encodeRow, progressKeys } from './rows.ts'
import { SharedRows } from './SharedRows.ts'
import type { TermWriter } from './TermWriter.ts'

/** What the delegator needs from the owner of the cell. */
export abstract class DelegatorHost {
  abstract get isHeld (): boolean
  abstract stateChanged (): void
}

/** Bytes that one task takes in a row with its attempt numbers and a checkpoint, and that are kept free for longer ones. */
const TASK_BYTES = 400
const ROW_MARGIN_BYTES = 2_000

/**
 * Two cells share a job by two rows beside it in the jobs table, which each owner follows anyway. One, written by the owner
 * of the job's own cell, lists the tasks that are delegated; the other, written by the owner of the other cell, lists what it
 * has stored of them. Each is a copy of what its writer has made durable under its term, so that it says nothing that a
 * later owner doesn't know.
 */
export class TaskDelegator {
  readonly #ports: OwnerPorts
  readonly #cell: CellId
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #host: DelegatorHost
  readonly #capacity: RemoteCapacity
  readonly #rows: SharedRows
  /** Jobs whose rows may have to be written. */
  readonly #unsettled = new Set<JobId>()
  /** Delegated tasks that count towards `MAX_OPEN_DELEGATIONS`. */
  readonly #open = new Set<TaskRecord>()
  /** During a read of the whole table: jobs of which tasks are delegated to this cell. */
  #listedGuests: Set<JobId> | undefined
  #capacityReadAt = -Infinity
  #isStopped = false

  constructor (ports: OwnerPorts, cell: CellId, scheduler: JobScheduler, writer: TermWriter, host: DelegatorHost) {
    this.#ports = ports
    this.#cell = cell
    this.#scheduler = scheduler
    this.#writer = writer
    this.#host = host
    this.#capacity = new RemoteCapacity(ports.store, ports.clock, ports.cells, cell)
    this.#rows = new SharedRows(ports.store, ports.log, () => !this.#isStopped && host.isHeld)
  }

  /** Starts with what earlier owners have stored. */
  start (): void {
    for (const job of this.#scheduler.jobs.values()) if (job.isGuest || job.delegates.size > 0) this.#unsettled.add(job.job.id)
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** The progress of these jobs is durable, so that the other cells may be told. */
  progressStored (jobs: readonly JobRecord[]): void {
    for (const job of jobs) {
      if (!job.isGuest && job.delegates.size === 0) continue
      this.#unsettled.add(job.job.id)
      this.#writeRows(job)
    }
  }

  /** The whole jobs table is about to be passed on. */
  startReplacing (): void {
    this.#rows.forgetAll()
    this.#listedGuests = new Set()
  }

  /** All rows have been passed on: other cells delegate no more than those list. */
  endReplacing (): void {
    const listed = this.#listedGuests
    this.#listedGuests = undefined
    for (const guest of this.#scheduler.delegations.guests) if (listed?.has(guest.job.id) !== true) this.#withdrawAll(guest)
  }

  /** A row that two cells share was written. `stored`: what an earlier owner of this cell has stored of the job. */
  rowChanged (name: DelegationRowName, row: StoredRow, isCancelled: boolean, stored: JobProgress | undefined): void {
    const { kind, job: id, delegate } = name
    const job = this.#scheduler.jobs.get(id)
    const isHome = job !== undefined && !job.isGuest
    const isDelegate = delegate === this.#cell
    if (isHome) job.delegates.add(delegate)
    if (kind === 'delegation') {
      if (isHome) this.#ownRowChanged(id, row)
      else if (isDelegate) this.#readDelegation(id, row, isCancelled, stored)
    } else {
      if (isDelegate) this.#ownRowChanged(id, row)
      else if (isHome) this.#readReport(job, delegate, row)
    }
  }

  // Written by this owner or an earlier one of this cell.
  #ownRowChanged (id: JobId, row: StoredRow): void {
    this.#rows.seen(row)
    this.#unsettled.add(id)
  }

  #readDelegation (id: JobId, row: StoredRow, isCancelled: boolean, stored: JobProgress | undefined): void {
    const { clock, log } = this.#ports
    const read = readDelegationRow(row.value, id)
    if (read === undefined) {
      log.error('Tasks that another cell delegates cannot be read and do not start', { row: row.key, version: row.version })
      return
    }
    this.#listedGuests?.add(id)
    const guest = this.#scheduler.jobs.get(id)
    if (read.job === undefined || Object.keys(read.delegations).length === 0) {
      if (guest?.isGuest === true) this.#withdrawAll(guest)
      return
    }
    if (isCancelled && guest === undefined) return
    const accepted = this.#scheduler.delegations.accept(read.job, read.home, read, clock.now(), stored)
    if (accepted.length > 0) log.info('Tasks of another cell are accepted', { job: id, from: read.home, tasks: accepted.length })
    this.#unsettled.add(id)
    this.#host.stateChanged()
  }

  #readReport (job: JobRecord, delegate: CellId, row: StoredRow): void {
    const { clock, log, metrics } = this.#ports
    const report = readDelegationReport(row.value)
    if (report === undefined) {
      log.error('What another cell reports of delegated tasks cannot be read', { row: row.key, version: row.version })
      return
    }
    const returned = this.#scheduler.delegations.applyReport(job, delegate, report, clock.now())
    for (const { step } of returned) this.#capacity.refused(step, delegate)
    if (returned.length > 0) {
      metrics.count('tasks.returned', returned.length, { cell: delegate })
      log.info('Tasks are given back by another cell', { job: job.job.id, from: delegate, tasks: returned.length })
    }
    this.#host.stateChanged()
  }

  /** A row that two cells share was deleted. */
  rowDeleted ({ kind, job: id, delegate }: DelegationRowName): void {
    this.#rows.forget(kind === 'delegation' ? delegationKey(id, delegate) : reportKey(id, delegate))
    const guest = this.#scheduler.jobs.get(id)
    if (kind === 'delegation' && delegate === this.#cell && guest?.isGuest === true) this.#withdrawAll(guest)
  }

  #withdrawAll (guest: JobRecord): void {
    this.#scheduler.delegations.withdrawAll(guest)
    this.#unsettled.add(guest.job.id)
    this.#host.stateChanged()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(DELEGATION_INTERVAL_MS)
      if (this.#isStopped || !this.#host.isHeld) continue
      try {
        this.#returnTasks()
        await this.#delegateTasks()
        for (const id of [...this.#unsettled]) this.#settle(id)
      } catch (thrown) {
        this.#ports.log.error('A look for tasks to delegate failed unexpectedly', { cell: this.#cell, error: String(thrown) })
      }
    }
  }

  #returnTasks (): void {
    const { clock, log } = this.#ports
    const returned = this.#scheduler.delegations.returnTasks(clock.now())
    if (returned.length === 0) return
    log.info('Tasks of other cells have no place here and are given back', { cell: this.#cell, tasks: returned.length })
    this.#host.stateChanged()
  }

  async #delegateTasks (): Promise<void> {
    const { cells, clock } = this.#ports
    const { loads } = cells
    if (loads === undefined) return
    const [first] = this.#scheduler.delegations.waitingTasks(clock.now())
    if (first === undefined) return
    if (clock.now() - this.#capacityReadAt < (first.isInterrupted ? INTERRUPTED_CAPACITY_READ_INTERVAL_MS : CAPACITY_READ_INTERVAL_MS)) return
    this.#capacityReadAt = clock.now()
    await this.#capacity.read(loads)
    if (this.#isStopped || !this.#host.isHeld) return
    let delegated = 0
    const refused = new Set<StepRecord>()
    for (const task of this.#scheduler.delegations.waitingTasks(clock.now())) {
      if (delegated >= MAX_DELEGATIONS_AT_ONCE || (!task.isInterrupted && this.#countOpen() >= MAX_OPEN_DELEGATIONS)) break
      if (refused.has(task.step)) continue
      if (this.#delegate(task)) delegated++
      else refused.add(task.step)
    }
    if (delegated > 0) this.#host.stateChanged()
  }

  #delegate (task: TaskRecord): boolean {
    const { clock, log, metrics } = this.#ports
    const { step: { job } } = task
    const to = this.#capacity.take(task, this.#scheduler.delegations.isHolding(task), clock.now())
    if (to === undefined || !this.#fitsRow(job, to)) return false
    this.#scheduler.delegations.delegate(task, to)
    if (!task.isInterrupted) this.#open.add(task)
    metrics.count('tasks.delegated', 1, { cell: to })
    log.info('Task is delegated to another cell', { task: task.name, from: this.#cell, to, hasRun: task.hasRun, number: task.delegation?.current.number })
    return true
  }

  #countOpen (): number {
    for (const task of this.#open) if (task.isDone || !task.isElsewhere || task.step.job.isFinal || (task.hasRun && task.step.shape.isLasting)) this.#open.delete(task)
    return this.#open.size
  }

  // The row must take the job and all its tasks in that cell, with what they may still bring.
  #fitsRow (job: JobRecord, to: CellId): boolean {
    const tasks = [...job.tasks()].filter(({ delegation }) => delegation?.current.cell === to).length
    return Buffer.byteLength(encodeRow(job.job)) + (tasks + 1) * TASK_BYTES + ROW_MARGIN_BYTES <= this.#ports.store.maxValueBytes
  }

  #settle (id: JobId): void {
    const job = this.#scheduler.jobs.get(id)
    if (job === undefined) this.#unsettled.delete(id)
    else this.#writeRows(job)
  }

  #writeRows (job: JobRecord): void {
    if (job.isGuest) this.#writeReport(job)
    else this.#writeDelegations(job)
  }

  #writeDelegations (job: JobRecord): void {
    const { delegations } = this.#scheduler
    let areSettled = true
    for (const delegate of job.delegates) {
      const tasks = delegations.delegatedTo(job, delegate)
      const row: DelegationRow = { ...tasks, home: this.#cell, ...(Object.keys(tasks.delegations).length === 0 ? {} : { job: job.job }) }
      if (!this.#rows.write(job.job.id, delegationKey(job.job.id, delegate), this.#encode(row))) areSettled = false
    }
    if (areSettled) this.#unsettled.delete(job.job.id)
  }

  #writeReport (guest: JobRecord): void {
    const { delegations } = this.#scheduler
    const key = reportKey(guest.job.id, this.#cell)
    if (delegations.isOver(guest)) {
      void this.#forget(guest, key)
      return
    }
    const report = delegations.reportOf(guest)
    const isNews = this.#rows.has(key) || Object.keys(report.delegations).length > 0
    if ((!isNews || this.#rows.write(guest.job.id, key, this.#encode(report))) && !delegations.isWithdrawn(guest)) this.#unsettled.delete(guest.job.id)
  }

  // Workers choose how long checkpoints are; without them the tasks begin anew.
  #encode (row: DelegationRow | DelegationReport): string {
    const whole = encodeRow(row)
    if (Buffer.byteLength(whole) <= this.#ports.store.maxValueBytes) return whole
    return encodeRow({ ...row, progress: { ...row.progress, checkpoints: {} } })
  }

  // First the row that the other cell reads, then what this one has stored.
  async #forget (guest: JobRecord, key: string): Promise<void> {
    const { id } = guest.job
    if (!await this.#rows.delete(id, key)) return
    if (this.#isStopped || this.#scheduler.jobs.get(id) !== guest || !this.#scheduler.delegations.isOver(guest)) return
    this.#scheduler.removeJob(id)
    this.#writer.deleteProgress(progressKeys(guest))
    this.#unsettled.delete(id)
  }
}
