/**
 * Runs the board of one cell for one term of ownership.
 */
import { assertNever, brand, type AuburnpinError, type Clock, type Instant, type Log, type Metrics, type Result, type RowVersion, type WorkerId } from '@auburnpin/common'
import { JobBoard, type JobProgress, type RunOrder, type WorkerEntry, type WorkerRecord } from '@auburnpin/core'
import { CELL, FEED_RETRY_MS, RESTORE_LIMIT_MS, TICK_MS, WORKER_LEASE_MS } from './constants.ts'
import { JobSweeper } from './JobSweeper.ts'
import { LatenessWatch } from './LatenessWatch.ts'
import { readAll } from './readAll.ts'
import type { RowStore, StoredRow } from './RowStore.ts'
import { cancelledBy, JOBS_TABLE, jobParts, LEARNT_KEY, PROGRESS_TABLE, readJob, readLearnt, readProgress, readUsedWorkers, TERMS_TABLE, USED_WORKERS_KEY, type Term, type UsedWorker } from './rows.ts'
import { TableFollower, TableReader } from './TableFollower.ts'
import { TellingObserver } from './TellingObserver.ts'
import { TermListener, TermWriter } from './TermWriter.ts'
import type { WorkerCalls } from './WorkerCalls.ts'
import { LineOwner, WorkerLine } from './WorkerLine.ts'
import { WorkerListener, type WorkerList } from './WorkerList.ts'

/** What an owner needs from outside. */
export type OwnerPorts = Readonly<{
  store: RowStore
  workerList: WorkerList
  calls: WorkerCalls
  clock: Clock
  log: Log
  metrics: Metrics
  /** How long clients are promised a final job's phase, in milliseconds. */
  stateKeptMs: number
}>

/** A term just won: its row's version, and when its claim was sent. */
export type WonTerm = Readonly<{ term: Term, version: RowVersion, claimedAt: Instant, claimedAtWall: number }>

/** Time between an event and the pass that answers it, in milliseconds; events that come together share a pass. */
const PASS_DELAY_MS = 3

/** Owner of a cell from `open` to `close` or until the term is lost. */
export class JobOwner {
  readonly #ports: OwnerPorts
  readonly #won: WonTerm
  readonly #onLost: () => void
  readonly #onLate: () => void
  readonly #lateness = new LatenessWatch()
  readonly #board: JobBoard
  readonly #writer: TermWriter
  readonly #jobs: TableFollower
  readonly #sweeper: JobSweeper
  readonly #lines = new Map<WorkerId, WorkerLine>()
  readonly #lineOwner: LineOwner
  #progress = new Map<string, JobProgress>()
  #isClosed = false
  #isRestored = false
  #isPassDue = false
  #wasOpen = false

  /** `onLate`: this process can't keep up with the cell. */
  constructor (ports: OwnerPorts, won: WonTerm, onLost: () => void, onLate: () => void) {
    this.#ports = ports
    this.#won = won
    this.#onLost = onLost
    this.#onLate = onLate
    const { store, clock, log } = ports
    this.#board = new JobBoard(won.term.epoch, { leaseMs: WORKER_LEASE_MS }, clock.now(), new TellingObserver(ports))
    this.#writer = new TermWriter(store, clock, log, this.#board, new OwnerListener(this), won.term, won.version, won.claimedAt, won.claimedAtWall)
    this.#jobs = new TableFollower(store, clock, log, JOBS_TABLE, jobParts(), new JobsReader(this))
    this.#lineOwner = new OwnerOfLines(this)
    this.#sweeper = new JobSweeper(ports, this.#board, this.#writer)
  }

  get isHeld (): boolean {
    return !this.#isClosed && this.#writer.isHeld
  }

  get writer (): TermWriter {
    return this.#writer
  }

  /** Reads what earlier owners left and begins to schedule. */
  async open (): Promise<void> {
    this.#writer.start()
    void this.#tick()
    while (!this.#isClosed) {
      const restored = await this.#restore()
      if (restored.ok) break
      this.#ports.log.warn('Jobs could not be read at the start of a term', { epoch: this.#won.term.epoch, error: restored.val.message })
      await this.#ports.clock.sleep(FEED_RETRY_MS)
    }
    if (this.#isClosed) return
    this.#isRestored = true
    this.#writer.noteBoardWhole()
    this.#ports.log.info('Term begun', { epoch: this.#won.term.epoch, jobs: this.#board.jobs.size, workers: this.#board.workers.size })
    this.#jobs.start()
    this.#ports.workerList.listen(new OwnerWorkers(this))
    this.#sweeper.start()
  }

  /** Stops deciding; with `isReleased` the term is given up for the next owner to take at once. */
  async close (isReleased: boolean): Promise<void> {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#jobs.stop()
    this.#writer.stop()
    this.#sweeper.stop()
    this.#ports.workerList.silence()
    for (const line of this.#lines.values()) line.stop()
    if (isReleased) await this.#writer.release()
  }

  /** The term is over for this process. */
  lose (why: string): void {
    if (this.#isClosed) return
    this.#ports.log.warn('Term lost', { epoch: this.#won.term.epoch, why })
    void this.close(false)
    this.#onLost()
  }

  async #restore (): Promise<Result<void, AuburnpinError>> {
    const { store, clock } = this.#ports
    const [progress, used] = await Promise.all([
      readAll(store, PROGRESS_TABLE, CELL),
      store.range({ table: TERMS_TABLE, part: CELL, from: '', to: '' })
    ])
    if (progress.err) return progress
    if (used.err) return used
    this.#progress = new Map(progress.val.rows.map(row => [row.key, readProgress(row.value)]))
    const read = await this.#jobs.readWhole()
    if (read.err) return read
    this.#progress.clear()
    const now = clock.now()
    for (const row of used.val.rows) {
      if (row.key === LEARNT_KEY) this.#board.disturbance.restore(readLearnt(row.value), now)
      if (row.key !== USED_WORKERS_KEY) continue
      const workers = readUsedWorkers(row.value)
      for (const worker of workers) {
        this.#board.noteWorker(unlistedEntry(worker), now)
        this.#board.dropWorker(worker.id)
      }
      this.#writer.use(workers)
    }
    return read
  }

  /** Takes in all rows of jobs. */
  replaceJobs (rows: readonly StoredRow[]): void {
    this.changeJobs(rows)
    const present = new Set(rows.map(row => row.key))
    for (const id of this.#progress.keys()) if (!present.has(id)) this.#writer.dropProgress(brand(id))
  }

  /** Takes in rows of jobs that changed. */
  changeJobs (rows: readonly StoredRow[]): void {
    const now = this.#ports.clock.now()
    for (const row of rows) {
      if (cancelledBy(row.key) === undefined) this.#board.accept(readJob(row.value), now, this.#progress.get(row.key))
    }
    for (const row of rows) {
      const cancelled = cancelledBy(row.key)
      if (cancelled !== undefined) this.#board.cancel(cancelled, now)
    }
    this.learnt()
  }

  /** Takes in the list of workers. */
  replaceWorkers (entries: readonly WorkerEntry[]): void {
    this.#board.listWorkers(entries, this.#ports.clock.now())
    this.#followWorkers()
  }

  /** Takes in changed and removed entries. */
  changeWorkers (entries: readonly WorkerEntry[], gone: readonly WorkerId[]): void {
    const now = this.#ports.clock.now()
    for (const entry of entries) this.#board.noteWorker(entry, now)
    for (const id of gone) this.#board.dropWorker(id)
    this.#followWorkers()
  }

  #followWorkers (): void {
    const workers = [...this.#board.workers.values()]
    if (workers.some(({ entry }) => !this.#writer.isUsable(entry))) {
      this.#writer.use(workers.map(({ entry: { id, incarnation, address, service } }) => ({ id, incarnation, address, service })))
    }
    for (const [id, line] of this.#lines) {
      if (this.#board.workers.has(id)) continue
      line.stop()
      this.#lines.delete(id)
    }
    for (const { entry: { id } } of workers) {
      if (this.#lines.has(id)) continue
      const { calls, clock, log } = this.#ports
      const line = new WorkerLine(id, this.#won.term.epoch, this.#board, calls, clock, log, this.#lineOwner)
      this.#lines.set(id, line)
      line.start()
    }
    this.learnt()
  }

  /** Effects are durable. */
  committed (): void {
    for (const line of this.#lines.values()) line.wake()
  }

  /** Something was learnt: the writer and a pass follow soon. */
  learnt (): void {
    if (this.#board.dirtyCount > 0 || this.#board.hasUnsettledEnds) this.#writer.ask()
    if (this.#isPassDue || this.#isClosed) return
    this.#isPassDue = true
    this.#ports.clock.after(PASS_DELAY_MS, () => {
      this.#isPassDue = false
      this.#pass()
    })
  }

  async #tick (): Promise<void> {
    while (!this.#isClosed) {
      const dueAt = this.#ports.clock.now() + TICK_MS
      await this.#ports.clock.sleep(TICK_MS)
      const now = this.#ports.clock.now()
      const isLate = this.#lateness.note(now - dueAt) || (!this.#isRestored && now - this.#won.claimedAt > RESTORE_LIMIT_MS)
      if (isLate && !this.#isClosed) this.#onLate()
      this.learnt()
    }
  }

  #pass (): void {
    if (!this.#isRestored || !this.isHeld) return
    const { clock } = this.#ports
    const orders = this.#board.decide(clock.now(), clock.wallTime())
    if (this.#board.isOpen !== this.#wasOpen) {
      this.#wasOpen = this.#board.isOpen
      this.#ports.log.info('All earlier runs are known or over; tasks may start', { epoch: this.#won.term.epoch, workers: this.#board.workers.size })
    }
    this.#tellPlacings(orders)
    for (const order of orders) void this.#carryOut(order)
    if (this.#board.dirtyCount > 0) this.#writer.ask()
  }

  // One line a step and pass: under load a pass starts many tasks of a step.
  #tellPlacings (orders: readonly RunOrder[]): void {
    const workersOfStep = new Map<string, string[]>()
    for (const order of orders) {
      if (order.kind !== 'start') continue
      const step = order.task.slice(0, order.task.lastIndexOf('.'))
      const placing = `${order.task.slice(step.length + 1)}#${order.attempt}@${order.worker}`
      const placings = workersOfStep.get(step)
      if (placings === undefined) workersOfStep.set(step, [placing])
      else placings.push(placing)
    }
    for (const [step, placings] of workersOfStep) {
      this.#ports.log.info('Tasks placed', { step, epoch: this.#won.term.epoch, count: placings.length, runs: placings.join(' ') })
    }
  }

  async #carryOut (order: RunOrder): Promise<void> {
    const worker = this.#board.workers.get(order.worker)
    if (worker === undefined) return
    switch (order.kind) {
      case 'start':
        await this.#start(order, worker)
        break
      case 'stop':
        await this.#stop(order, worker)
        break
      case 'pace':
        await this.#pace(order, worker)
        return
      default:
        assertNever(order, 'order')
    }
    this.learnt()
  }

  async #start (order: RunOrder & { kind: 'start' }, worker: WorkerRecord): Promise<void> {
    const { clock, calls, log } = this.#ports
    const leaseEndMs = worker.leaseEnd(WORKER_LEASE_MS, clock.now())
    if (leaseEndMs === undefined) {
      this.#board.startAnswered(order.worker, order.task, order.attempt, 'unavailable', clock.now())
      return
    }
    worker.extend(leaseEndMs)
    const { outcome, clockMs } = await calls.start(worker.entry, { ...order, leaseEndMs, epoch: this.#won.term.epoch })
    if (this.#isClosed) return
    const now = clock.now()
    if (clockMs !== undefined && worker === this.#board.workers.get(order.worker)) worker.hear(clockMs, now)
    this.#ports.metrics.count('runs.ordered', 1, { outcome })
    if (outcome !== 'started') log.warn('Start not taken', { task: order.task, attempt: order.attempt, worker: order.worker, epoch: this.#won.term.epoch, outcome })
    if (this.#board.startAnswered(order.worker, order.task, order.attempt, outcome, now)) this.lose(`worker ${order.worker} follows a later owner`)
    const line = this.#lines.get(order.worker)
    if (outcome === 'unknown' || outcome === 'superseded') line?.reportNow()
    else line?.wake()
  }

  async #pace (order: RunOrder & { kind: 'pace' }, worker: WorkerRecord): Promise<void> {
    this.#ports.metrics.count('runs.paced')
    const answer = await this.#ports.calls.pace(worker.entry, order, order.percent, this.#won.term.epoch)
    if (this.#isClosed) return
    this.#ports.log.info('Pace ordered', { task: order.task, attempt: order.attempt, worker: order.worker, percent: order.percent, answer })
    if (answer === 'fenced') this.lose(`worker ${order.worker} follows a later owner`)
    if (answer === 'failed') this.#board.paceFailed(order.worker, order.task, order.attempt)
  }

  async #stop (order: RunOrder & { kind: 'stop' }, worker: WorkerRecord): Promise<void> {
    const { clock, calls, log } = this.#ports
    const answer = await calls.stop(worker.entry, order, this.#won.term.epoch)
    if (this.#isClosed) return
    log.info('Stop ordered', { task: order.task, attempt: order.attempt, worker: order.worker, epoch: this.#won.term.epoch, answer })
    if (answer === 'fenced') this.lose(`worker ${order.worker} follows a later owner`)
    if (answer === 'taken') this.#board.stopAnswered(order.worker, order.task, order.attempt, clock.now())
  }
}

/** An entry of a worker that an earlier owner used; it takes no work until it is listed. */
const unlistedEntry = (worker: UsedWorker): WorkerEntry =>
  ({ ...worker, zone: '', isDraining: false, labels: [], processors: 0, memoryMb: 0, accelerators: 0 })

class OwnerListener extends TermListener {
  readonly #owner: JobOwner

  constructor (owner: JobOwner) {
    super()
    this.#owner = owner
  }

  committed (): void {
    this.#owner.committed()
  }

  lost (why: string): void {
    this.#owner.lose(why)
  }
}

class JobsReader extends TableReader {
  readonly #owner: JobOwner

  constructor (owner: JobOwner) {
    super()
    this.#owner = owner
  }

  replaceAll (rows: readonly StoredRow[]): void {
    this.#owner.replaceJobs(rows)
  }

  change (changed: readonly StoredRow[]): void {
    this.#owner.changeJobs(changed)
  }
}

class OwnerWorkers extends WorkerListener {
  readonly #owner: JobOwner

  constructor (owner: JobOwner) {
    super()
    this.#owner = owner
  }

  replaceAll (entries: readonly WorkerEntry[]): void {
    this.#owner.replaceWorkers(entries)
  }

  change (entries: readonly WorkerEntry[], gone: readonly WorkerId[]): void {
    this.#owner.changeWorkers(entries, gone)
  }
}

class OwnerOfLines extends LineOwner {
  readonly #owner: JobOwner

  constructor (owner: JobOwner) {
    super()
    this.#owner = owner
  }

  get isHeld (): boolean {
    return this.#owner.isHeld
  }

  isUsable ({ entry }: WorkerRecord): boolean {
    return this.#owner.writer.isUsable(entry)
  }

  learnt (): void {
    this.#owner.learnt()
  }

  fenced (worker: WorkerId): void {
    this.#owner.lose(`worker ${worker} follows a later owner`)
  }
}
