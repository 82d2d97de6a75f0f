/**
 * Gives tasks that a cell can't hold to other cells, and runs those that it gets from them.
 */
import { type CellId, type JobId, type RowVersion } from '@auburnpin/common'
import type { JobProgress, JobRecord, JobScheduler, StepRecord, TaskRecord } from '@auburnpin/core'
import { DELEGATION_INTERVAL_MS, MAX_DELEGATIONS_AT_ONCE, MAX_WAITING_DELEGATIONS, ROOM_READ_INTERVAL_MS } from './constants.ts'
import { DelegateRoom } from './DelegateRoom.ts'
import { delegationKey, readDelegationReport, readDelegationRow, reportKey, type DelegationReport, type DelegationRow, type DelegationRowName } from './delegationRows.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import type { StoredRow } from './RowStore.ts'
import { ABSENT_ROW_VERSION, encodeRow, jobPart, JOBS_TABLE, progressKeys } from './rows.ts'
import type { TermWriter } from './TermWriter.ts'

/** What the delegator needs from the owner of the cell. */
export abstract class DelegatorHost {
  abstract get isHeld (): boolean
  abstract stateChanged (): void
}

type KnownRow = Readonly<{ version: RowVersion, value: string }>

/** Room that a row has besides what one more task adds to it, in bytes; attempt numbers and a checkpoint are short. */
const ROW_MARGIN_BYTES = 2_000
const TASK_BYTES = 400

/**
 * Two cells share a job by two rows beside it in the jobs table, which each owner follows anyway. One, written by the owner
 * of the job's own cell, lists the tasks that are delegated; the other, written by the owner of the other cell, lists what it
 * has stored of them. Each is a copy of what its writer has made durable under its term, and is written only if the row is
 * still the one that the writer has seen. So a transaction of a former owner that is applied late changes nothing after the
 * next one has written the row, and says nothing before that which isn't durable.
 */
export class TaskDelegator {
  readonly #ports: OwnerPorts
  readonly #cell: CellId
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #host: DelegatorHost
  readonly #room: DelegateRoom
  /** The rows that the owner of this cell writes, as the store has them. */
  readonly #known = new Map<string, KnownRow>()
  /** Jobs whose rows may have to be written. */
  readonly #unsettled = new Set<JobId>()
  readonly #inProgress = new Set<string>()
  /** Delegated tasks that have not run, as far as this owner knows. */
  readonly #waiting = new Set<TaskRecord>()
  /** During a read of the whole table: jobs of which tasks are delegated to this cell. */
  #listedGuests: Set<JobId> | undefined
  #roomReadAt = -Infinity
  #isStopped = false

  constructor (ports: OwnerPorts, cell: CellId, scheduler: JobScheduler, writer: TermWriter, host: DelegatorHost) {
    this.#ports = ports
    this.#cell = cell
    this.#scheduler = scheduler
    this.#writer = writer
    this.#host = host
    this.#room = new DelegateRoom(ports.store, ports.clock, ports.cells, cell)
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
    this.#known.clear()
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
    const isFromHome = kind === 'delegation'
    const job = this.#scheduler.jobs.get(id)
    const isOwn = job !== undefined && !job.isGuest
    if (isFromHome ? isOwn : delegate === this.#cell) {
      if (row.version > (this.#known.get(row.key)?.version ?? ABSENT_ROW_VERSION)) this.#known.set(row.key, row)
      this.#unsettled.add(id)
      if (isOwn) job.delegates.add(delegate)
    } else if (isFromHome && delegate === this.#cell) this.#readDelegation(id, row, isCancelled, stored)
    else if (isOwn) this.#readReport(job, delegate, row)
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
    for (const { step } of returned) this.#room.refused(step, delegate)
    if (returned.length > 0) {
      metrics.count('tasks.returned', returned.length, { cell: delegate })
      log.info('Tasks are given back by another cell', { job: job.job.id, from: delegate, tasks: returned.length })
    }
    this.#host.stateChanged()
  }

  /** A row that two cells share was deleted. */
  rowDeleted ({ kind, job: id, delegate }: DelegationRowName): void {
    this.#known.delete(kind === 'delegation' ? delegationKey(id, delegate) : reportKey(id, delegate))
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
      this.#returnTasks()
      await this.#delegateTasks()
      for (const id of [...this.#unsettled]) this.#settle(id)
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
    if (first === undefined || (!first.isInterrupted && clock.now() - this.#roomReadAt < ROOM_READ_INTERVAL_MS)) return
    this.#roomReadAt = clock.now()
    await this.#room.read(loads)
    if (this.#isStopped || !this.#host.isHeld) return
    let delegated = 0
    const refused = new Set<StepRecord>()
    for (const task of this.#scheduler.delegations.waitingTasks(clock.now())) {
      if (delegated >= MAX_DELEGATIONS_AT_ONCE || (!task.isInterrupted && this.#countWaiting() >= MAX_WAITING_DELEGATIONS)) break
      if (refused.has(task.step)) continue
      if (this.#delegate(task)) delegated++
      else refused.add(task.step)
    }
    if (delegated > 0) this.#host.stateChanged()
  }

  #delegate (task: TaskRecord): boolean {
    const { clock, log, metrics } = this.#ports
    const { step: { job } } = task
    const to = this.#room.take(task, this.#scheduler.delegations.isHolding(task), clock.now())
    if (to === undefined || !this.#fitsRow(job, to)) return false
    this.#scheduler.delegations.delegate(task, to)
    if (!task.isInterrupted) this.#waiting.add(task)
    metrics.count('tasks.delegated', 1, { cell: to })
    log.info('Task is delegated to another cell', { task: task.name, from: this.#cell, to, hasRun: task.hasRun, number: task.delegation?.current.number })
    return true
  }

  #countWaiting (): number {
    for (const task of this.#waiting) if (task.isDone || !task.isElsewhere || task.step.job.isFinal || (task.hasRun && task.step.shape.isLasting)) this.#waiting.delete(task)
    return this.#waiting.size
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
      if (!this.#write(job, delegationKey(job.job.id, delegate), this.#encode(row))) areSettled = false
    }
    if (areSettled) this.#unsettled.delete(job.job.id)
  }

  #writeReport (guest: JobRecord): void {
    const { delegations } = this.#scheduler
    const key = reportKey(guest.job.id, this.#cell)
    if (delegations.isOver(guest)) void this.#forget(guest, key)
    else if (this.#write(guest, key, this.#encode(delegations.reportOf(guest))) && !delegations.isWithdrawn(guest)) this.#unsettled.delete(guest.job.id)
  }

  // Workers choose how long checkpoints are; without them the tasks begin anew.
  #encode (row: DelegationRow | DelegationReport): string {
    const whole = encodeRow(row)
    if (Buffer.byteLength(whole) <= this.#ports.store.maxValueBytes) return whole
    return encodeRow({ ...row, progress: { ...row.progress, checkpoints: {} } })
  }

  // Whether the store has this value already.
  #write (job: JobRecord, key: string, value: string): boolean {
    if (this.#known.get(key)?.value === value) return true
    void this.#put(job.job.id, key, value)
    return false
  }

  async #put (id: JobId, key: string, value: string | undefined): Promise<boolean> {
    if (this.#inProgress.has(key) || this.#isStopped || !this.#host.isHeld) return false
    this.#inProgress.add(key)
    const row = { table: JOBS_TABLE, key }
    const outcome = await this.#ports.store.transact({
      part: jobPart(id),
      checks: [{ ...row, version: this.#known.get(key)?.version ?? ABSENT_ROW_VERSION }],
      puts: value === undefined ? [] : [{ ...row, value }],
      deletes: value === undefined ? [row] : []
    })
    this.#inProgress.delete(key)
    if (outcome.err) return false
    const { val } = outcome
    if (val.kind === 'conflict') {
      const current = val.rows.find(other => other.key === key)
      if (current === undefined) this.#known.delete(key)
      else this.#known.set(key, current)
      return false
    }
    if (value === undefined) this.#known.delete(key)
    else this.#known.set(key, { version: val.version, value })
    return true
  }

  // First the row that the other cell reads, then what this one has stored.
  async #forget (guest: JobRecord, key: string): Promise<void> {
    const { id } = guest.job
    if (this.#known.has(key) && !await this.#put(id, key, undefined)) return
    if (this.#isStopped || this.#scheduler.jobs.get(id) !== guest || !this.#scheduler.delegations.isOver(guest)) return
    this.#scheduler.removeJob(id)
    this.#writer.deleteProgress(progressKeys(guest))
    this.#unsettled.delete(id)
  }
}
