/**
 * Schedules the jobs of a cell during one term of ownership.
 */
import { brand, type Epoch, type JobId, type RowVersion, type WorkerId } from '@auburnpin/common'
import { countEvacuated, freePieces, laterPieces, rackKey, type JobScheduler, type Layout, type ProgressSegment, type RackLoad, type RunOrder, type WorkerEntry, type WorkerRecord } from '@auburnpin/core'
import { cellLoad } from './cellLoad.ts'
import { CellJobs } from './CellJobs.ts'
import { CellMembership, LayoutHost, LayoutMembership, StoredMembership } from './CellMembership.ts'
import { CellMonitor } from './CellMonitor.ts'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { FEED_RETRY_DELAY_MS, FIRST_CELL, TICK_INTERVAL_MS } from './constants.ts'
import { createScheduler } from './createScheduler.ts'
import { EvacuationTracker } from './EvacuationTracker.ts'
import { EndedJobs } from './EndedJobs.ts'
import { JobTransfers, TransferHost } from './JobTransfers.ts'
import { DelegatorHost, TaskDelegator } from './TaskDelegator.ts'
import { OrderHost, OrderSender } from './OrderSender.ts'
import { OwnCommits } from './OwnCommits.ts'
import { OwnerLoad } from './OwnerLoad.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { RecordingStore } from './RecordingStore.ts'
import { allJobParts, indexOfCell, JOBS_TABLE, type Term, type UsedWorker } from './rows.ts'
import { TableFollower } from './TableFollower.ts'
import { logCapacityChange } from './logCapacityChange.ts'
import { logPlacements } from './logPlacements.ts'
import { TermRestoration } from './TermRestoration.ts'
import { TermListener, TermWriter } from './TermWriter.ts'
import { WaitReporter } from './WaitReporter.ts'
import { PollerHost, WorkerPoller } from './WorkerPoller.ts'
import { WorkerListener } from './WorkerList.ts'

/** Owns a cell from `open` until `close` or until the term is lost. */
export class CellOwner {
  readonly #ports: OwnerPorts
  readonly #claimed: ClaimedTerm
  readonly #onTermLost: () => void
  readonly #onOverload: () => void
  readonly #load: OwnerLoad
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #jobsFollower: TableFollower
  readonly #endedJobs: EndedJobs
  readonly #restoration: TermRestoration
  readonly #waitReporter: WaitReporter
  readonly #pollers = new Map<WorkerId, WorkerPoller>()
  readonly #pollerHost: PollerHost
  readonly #workerListener: WorkerListener
  readonly #membership: CellMembership
  readonly #transfers: JobTransfers
  /** Of the first cell only. */
  readonly #layout: LayoutMembership | undefined
  readonly #monitor: CellMonitor
  readonly #evacuations: EvacuationTracker
  /** Epoch offsets of the workers that earlier owners used; the rack of one that isn't listed is unknown. */
  readonly #recordedOffsets = new Map<WorkerId, number>()
  /** The whole list of workers, also those of other cells. */
  #entries = new Map<WorkerId, WorkerEntry>()
  readonly #jobs: CellJobs
  readonly #delegator: TaskDelegator
  readonly #orders: OrderSender
  #isClosed = false
  #isRestored = false
  #isPassScheduled = false
  #wasReconciled = false
  #isGauged = false
  #hasAnyFallenSilent = false

  /** `onOverload` is called repeatedly while this process can't keep up with the cell, or if it can't restore it in time. */
  constructor (sharedPorts: OwnerPorts, claimed: ClaimedTerm, onTermLost: () => void, onOverload: () => void) {
    const commits = new OwnCommits(JOBS_TABLE)
    const ports = { ...sharedPorts, store: new RecordingStore(sharedPorts.store, commits) }
    this.#ports = ports
    this.#claimed = claimed
    this.#onTermLost = onTermLost
    this.#onOverload = onOverload
    const { store, clock, log } = ports
    this.#load = new OwnerLoad(ports, claimed.cell)
    this.#scheduler = createScheduler(ports, claimed)
    this.#writer = new TermWriter(store, clock, log, ports.metrics, this.#scheduler, new OwnerTermListener(this), claimed)
    this.#workerListener = new OwnerWorkerListener(this)
    this.#evacuations = new EvacuationTracker(ports, claimed.cell)
    this.#monitor = new CellMonitor(store, clock, claimed.term.cells)
    if (claimed.cell === FIRST_CELL) {
      this.#layout = new LayoutMembership(new OwnerLayoutHost(this), clock, log, ports.workersPerCell, store.maxValueBytes)
      this.#membership = this.#layout
    } else this.#membership = new StoredMembership(store, clock, log, indexOfCell(claimed.cell), () => this.membersChanged())
    this.#delegator = new TaskDelegator(ports, claimed.cell, this.#scheduler, this.#writer, new OwnerDelegatorHost(this))
    this.#jobs = new CellJobs(ports, claimed, this.#scheduler, this.#writer, this.#delegator, () => this.stateChanged())
    this.#jobsFollower = new TableFollower(store, clock, log, JOBS_TABLE, allJobParts(), this.#jobs, { commits, onPage: () => this.#restoration.recordProgress() })
    this.#pollerHost = new OwnerPollerHost(this)
    this.#orders = new OrderSender(ports, this.#scheduler, new OwnerOrderHost(this), this.#load)
    this.#transfers = new JobTransfers(ports, claimed.cell, this.#scheduler, this.#writer, new OwnerTransferHost(this))
    this.#endedJobs = new EndedJobs(ports, claimed.cell, this.#scheduler, this.#writer, this.#jobs)
    this.#restoration = new TermRestoration(ports, claimed, { scheduler: this.#scheduler, writer: this.#writer, jobs: this.#jobs, jobsFollower: this.#jobsFollower, membership: this.#membership, layout: this.#layout, recordedOffsets: this.#recordedOffsets })
    this.#waitReporter = new WaitReporter(ports, this.#scheduler, claimed.cell, this.#load)
  }

  get isHeld (): boolean {
    return !this.#isClosed && this.#writer.isHeld
  }

  get isClosed (): boolean {
    return this.#isClosed
  }

  get evacuations (): EvacuationTracker {
    return this.#evacuations
  }

  pollerOf (worker: WorkerId): WorkerPoller | undefined {
    return this.#pollers.get(worker)
  }

  /** Whether any worker has fallen silent a short time ago, as of the last scheduling pass. */
  get hasAnyFallenSilent (): boolean {
    return this.#hasAnyFallenSilent
  }

  get jobs (): CellJobs {
    return this.#jobs
  }

  get writer (): TermWriter {
    return this.#writer
  }

  /** Restores the durable state of earlier owners and starts to schedule. */
  async open (): Promise<void> {
    this.#writer.start()
    void this.#tick()
    while (!this.#isClosed) {
      const restored = await this.#restoration.run()
      if (restored.ok) break
      this.#ports.log.warn('Reading the jobs at the start of a term failed', { epoch: this.#claimed.term.epoch, rows: this.#restoration.rowCount, error: restored.val.message })
      await this.#ports.clock.sleep(FEED_RETRY_DELAY_MS)
    }
    if (this.#isClosed) return
    this.#isRestored = true
    this.#writer.markRestored()
    this.#ports.log.info('Term started', { cell: this.#claimed.cell, epoch: this.#claimed.term.epoch, jobs: this.#scheduler.jobs.size, workers: this.#scheduler.workers.size, rows: this.#restoration.rowCount, tookMs: Math.round(this.#ports.clock.now() - this.#claimed.claimedAt) })
    this.#jobsFollower.start()
    this.#ports.workerList.subscribe(this.#workerListener)
    this.#membership.start()
    if (this.#layout !== undefined) this.#monitor.start()
    this.#endedJobs.start()
    this.#transfers.start()
    this.#delegator.start()
    void this.#waitReporter.run()
  }

  /** Stops scheduling. With `isReleasing` the term is released, so that the next owner can claim it at once. */
  async close (isReleasing: boolean): Promise<void> {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#jobsFollower.stop()
    this.#writer.stop()
    this.#endedJobs.stop()
    this.#transfers.stop()
    this.#delegator.stop()
    this.#waitReporter.stop()
    this.#ports.workerList.unsubscribe(this.#workerListener)
    this.#membership.stop()
    this.#monitor.stop()
    this.#evacuations.stop()
    for (const poller of this.#pollers.values()) poller.stop()
    if (this.#isGauged) this.#gaugeCell(0, 0)
    if (isReleasing) await this.#writer.release()
  }

  /** Stops scheduling because the term is lost. */
  loseTerm (why: string): void {
    if (this.#isClosed) return
    this.#ports.log.warn('Term lost', { cell: this.#claimed.cell, epoch: this.#claimed.term.epoch, why })
    void this.close(false)
    this.#onTermLost()
  }

  /** Applies the whole list of workers. */
  replaceWorkers (entries: readonly WorkerEntry[]): void {
    this.#entries = new Map(entries.map(entry => [entry.id, entry]))
    this.#membership.update(this.#entries, entries)
    this.#scheduler.replaceWorkers(entries.filter(entry => this.#membership.has(entry)), this.#ports.clock.now())
    this.#updatePollers()
  }

  /** The racks of the cell have changed. */
  membersChanged (): void {
    this.replaceWorkers([...this.#entries.values()])
  }

  /** Stores a layout together with the workers that this owner uses. */
  storeLayout (layout: Layout): void {
    this.#writer.setUsedWorkers(this.#usedWorkers())
    this.#writer.setLayout(layout)
  }

  /** The workers that this owner still has, by their racks; `undefined` while the rack of one is unknown. */
  rackLoads (): readonly RackLoad[] | undefined {
    const loads = new Map<string, RackLoad>()
    for (const { entry, runs, isListed } of this.#scheduler.workers.values()) {
      // After a takeover, only the ids are known of earlier workers that aren't listed.
      if (!isListed && entry.rack === '' && !this.#entries.has(entry.id)) return undefined
      const rack = rackKey(this.#entries.get(entry.id) ?? entry)
      const { workers, runs: runsBefore, longRunningRuns } = loads.get(rack) ?? { workers: 0, runs: 0, longRunningRuns: 0 }
      const longRunning = [...runs.values()].filter(run => run.task.step.shape.isLasting).length
      loads.set(rack, { rack, workers: workers + 1, runs: runsBefore + runs.size, longRunningRuns: longRunningRuns + longRunning })
    }
    return [...loads.values()]
  }

  #usedWorkers (): UsedWorker[] {
    return [...this.#scheduler.workers.values()].map(({ entry }) => {
      const { id, incarnation, address, service } = entry
      const epochOffset = this.#epochOffset(entry)
      return epochOffset === 0 ? { id, incarnation, address, service } : { id, incarnation, address, service, epochOffset }
    })
  }

  #epochOffset (entry: WorkerEntry): number {
    return Math.max(this.#membership.epochOffset(entry), this.#recordedOffsets.get(entry.id) ?? 0)
  }

  /** The fencing epoch of calls to this incarnation of a worker; `undefined` before it may be called. */
  epochOf ({ entry }: WorkerRecord): Epoch | undefined {
    const epoch = this.#writer.epochOf(entry)
    return epoch === undefined ? undefined : brand<Epoch>(epoch + this.#epochOffset(entry))
  }

  /** Applies changed and removed entries of the list of workers. */
  updateWorkers (entries: readonly WorkerEntry[], removed: readonly WorkerId[]): void {
    const now = this.#ports.clock.now()
    for (const entry of entries) this.#entries.set(entry.id, entry)
    for (const id of removed) this.#entries.delete(id)
    this.#membership.update(this.#entries, entries)
    for (const entry of entries) {
      if (!this.#membership.has(entry)) continue
      logCapacityChange(this.#scheduler.workers.get(entry.id), entry, this.#ports.log)
      this.#scheduler.upsertWorker(entry, now)
    }
    for (const id of removed) this.#scheduler.unlistWorker(id)
    this.#updatePollers()
  }

  #updatePollers (): void {
    const workers = [...this.#scheduler.workers.values()]
    if (workers.some(({ entry }) => !this.#writer.isUsable(entry))) {
      this.#writer.setUsedWorkers(this.#usedWorkers())
    }
    for (const [id, poller] of this.#pollers) {
      if (this.#scheduler.workers.has(id) && !poller.hasEnded) continue
      poller.stop()
      this.#pollers.delete(id)
    }
    for (const { entry: { id } } of workers) {
      if (this.#pollers.has(id)) continue
      const { calls, clock, log } = this.#ports
      const poller = new WorkerPoller(id, this.#scheduler, calls, clock, log, this.#pollerHost, this.#load)
      this.#pollers.set(id, poller)
      poller.start()
    }
    this.stateChanged()
  }

  /** The load of this cell and, in the first of several cells, the state of all; empty in a deployment with one cell. */
  publishedLoad (): Pick<Term, 'loadPercent' | 'evacuatedWorkers' | 'free' | 'freeLater' | 'cells'> {
    const { durableLayout } = this.#writer
    if (this.#layout !== undefined && durableLayout.cells.length <= 1) return {}
    const { loadPercent, workers } = this.#scheduler
    this.#monitor.setCellCount(durableLayout.cells.length)
    if (this.#isClosed) return { loadPercent }
    this.#gaugeCell(workers.size, loadPercent)
    const evacuatedWorkers = countEvacuated(workers.values())
    const now = this.#ports.clock.now()
    return { loadPercent, free: freePieces(workers.values(), now), freeLater: laterPieces(workers.values(), now), evacuatedWorkers: evacuatedWorkers === 0 ? undefined : evacuatedWorkers, cells: this.#layout === undefined ? undefined : this.#monitor.publish(durableLayout.version, cellLoad(workers.size, evacuatedWorkers, loadPercent, true)) }
  }

  #gaugeCell (workers: number, loadPercent: number): void {
    this.#isGauged = true
    this.#ports.metrics.gauge('cell.workers', workers, { cell: this.#claimed.cell })
    this.#ports.metrics.gauge('cell.load', loadPercent, { cell: this.#claimed.cell })
  }

  /** A report of a worker was applied to the scheduler's state. One that it has shown to be reborn is not in the record yet. */
  workerReported (id: WorkerId): void {
    this.#load.recordReport()
    const worker = this.#scheduler.workers.get(id)
    if (worker !== undefined && !this.#writer.isUsed(worker.entry)) this.#writer.setUsedWorkers(this.#usedWorkers())
    else if (worker !== undefined) this.#writer.workerReported(worker.entry)
    this.stateChanged()
  }

  /** A commit succeeded, so that pollers may acknowledge ends and use newly recorded workers. */
  committed (segments: readonly ProgressSegment[]): void {
    const jobs = segments.map(({ job }) => job)
    this.#transfers.progressStored(jobs)
    this.#delegator.progressStored(jobs)
    for (const poller of this.#pollers.values()) poller.wake()
  }

  /** The scheduler's state may have changed: requests a commit if there is something to write, and a scheduling pass. */
  stateChanged (): void {
    if (this.#scheduler.dirtyCount > 0 || this.#scheduler.hasNonDurableEnds) this.#writer.requestCommit()
    if (this.#isPassScheduled || this.#isClosed) return
    this.#isPassScheduled = true
    this.#ports.clock.after(this.#load.passDelayMs, () => {
      this.#isPassScheduled = false
      this.#runPassSafely()
    })
  }

  async #tick (): Promise<void> {
    while (!this.#isClosed) {
      const dueAt = this.#ports.clock.now() + TICK_INTERVAL_MS
      await this.#ports.clock.sleep(TICK_INTERVAL_MS)
      const now = this.#ports.clock.now()
      const isOverloaded = this.#load.recordTick(now - dueAt) || (!this.#isRestored && this.#restoration.isStalled)
      if (isOverloaded && !this.#isClosed) this.#onOverload()
      // A new owner waits for all recorded workers, so those that have left for certain are removed from the record.
      if (this.#isRestored) this.#updateUsedWorkers()
      this.stateChanged()
    }
  }

  #updateUsedWorkers (): void {
    const workers = [...this.#scheduler.workers.values()]
    if (this.#writer.usedWorkerIds.size > workers.length || workers.some(({ entry }) => !this.#writer.isUsed(entry))) this.#writer.setUsedWorkers(this.#usedWorkers())
    else this.#writer.updateLeaseEnds()
  }

  // An unexpected error must end neither the process nor the renewal of leases; the next pass tries again.
  #runPassSafely (): void {
    try {
      this.#runPass()
    } catch (thrown) {
      this.#ports.log.error('A scheduling pass failed unexpectedly', { cell: this.#claimed.cell, error: thrown instanceof Error ? thrown.stack : String(thrown) })
    }
  }

  #runPass (): void {
    if (!this.#isRestored || !this.isHeld) return
    const { clock } = this.#ports
    const startedAt = clock.now()
    this.#hasAnyFallenSilent = false
    for (const worker of this.#scheduler.workers.values()) {
      worker.isLeasable = this.#writer.isLeasable(worker.entry)
      if (worker.isUnresponsive && this.#pollers.get(worker.entry.id)?.hasBeenSilentForLong !== true) this.#hasAnyFallenSilent = true
    }
    this.#evacuations.update(this.#scheduler.workers.values(), this.#entries, startedAt)
    const orders = this.#scheduler.decide(startedAt, clock.wallTime(), this.#evacuations.isKnown ? this.#orders.freeStarts : 0)
    this.#load.recordPass(clock.now() - startedAt)
    if (this.#scheduler.isReconciled !== this.#wasReconciled) {
      this.#wasReconciled = this.#scheduler.isReconciled
      this.#ports.log.info('All earlier runs are reported or have ended; tasks may start', { epoch: this.#claimed.term.epoch, workers: this.#scheduler.workers.size })
    }
    logPlacements(orders, this.#claimed.term.epoch, this.#ports.log)
    for (const order of orders) void this.#orders.send(order)
    if (this.#scheduler.dirtyCount > 0) this.#writer.requestCommit()
  }
}

class OwnerTermListener extends TermListener {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  committed (segments: readonly ProgressSegment[]): void {
    this.#owner.committed(segments)
  }

  lost (reason: string): void {
    this.#owner.loseTerm(reason)
  }

  publishedLoad (): Pick<Term, 'loadPercent' | 'evacuatedWorkers' | 'free' | 'freeLater' | 'cells'> {
    return this.#owner.publishedLoad()
  }
}

class OwnerTransferHost extends TransferHost {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  get isHeld (): boolean {
    return this.#owner.isHeld
  }

  jobMoved (id: JobId, version: RowVersion): void {
    this.#owner.jobs.jobMoved(id, version)
  }
}

class OwnerDelegatorHost extends DelegatorHost {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  get isHeld (): boolean {
    return this.#owner.isHeld
  }

  stateChanged (): void {
    this.#owner.stateChanged()
  }
}

class OwnerLayoutHost extends LayoutHost {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  get epoch (): Epoch {
    return this.#owner.writer.epoch
  }

  get usedWorkers (): ReadonlySet<WorkerId> {
    return this.#owner.writer.usedWorkerIds
  }

  rackLoads (): readonly RackLoad[] | undefined {
    return this.#owner.rackLoads()
  }

  storeLayout (layout: Layout): void {
    this.#owner.storeLayout(layout)
  }

  membersChanged (): void {
    this.#owner.membersChanged()
  }
}

class OwnerWorkerListener extends WorkerListener {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  replaceAll (entries: readonly WorkerEntry[]): void {
    this.#owner.replaceWorkers(entries)
  }

  update (entries: readonly WorkerEntry[], removed: readonly WorkerId[]): void {
    this.#owner.updateWorkers(entries, removed)
  }
}

class OwnerPollerHost extends PollerHost {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  get isHeld (): boolean {
    return this.#owner.isHeld
  }

  epochOf (worker: WorkerRecord): Epoch | undefined {
    return this.#owner.epochOf(worker)
  }

  isLeasable ({ entry }: WorkerRecord): boolean {
    return this.#owner.writer.isLeasable(entry)
  }

  get hasAnyFallenSilent (): boolean {
    return this.#owner.hasAnyFallenSilent
  }

  reported (worker: WorkerId): void {
    this.#owner.workerReported(worker)
  }

  fenced (worker: WorkerId): void {
    this.#owner.loseTerm(`worker ${worker} has accepted a later owner`)
  }
}

class OwnerOrderHost extends OrderHost {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  get isHeld (): boolean {
    return this.#owner.isHeld
  }

  get isClosed (): boolean {
    return this.#owner.isClosed
  }

  isLeasable ({ entry }: WorkerRecord): boolean {
    return this.#owner.writer.isLeasable(entry)
  }

  epochOf (worker: WorkerRecord): Epoch | undefined {
    return this.#owner.epochOf(worker)
  }

  admits (order: RunOrder, worker: WorkerRecord): boolean {
    return this.#owner.evacuations.admits(order, worker)
  }

  pollerOf (worker: WorkerId): WorkerPoller | undefined {
    return this.#owner.pollerOf(worker)
  }

  fenced (worker: WorkerId): void {
    this.#owner.loseTerm(`worker ${worker} has accepted a later owner`)
  }

  stateChanged (): void {
    this.#owner.stateChanged()
  }
}
