/**
 * Runner of an owned cell: its event queue, journal and worker links.
 */
import {
  AuburnpinError, Err, InvariantError, SerialQueue, Ok, Ticker, toAuburnpinError,
  type CellId, type Clock, type Instant, type InvariantCounter, type Log, type Metrics, type Random, type Result, type TaskId, type VmId
} from '@auburnpin/common'
import {
  Cell, ColocationPolicy, declaredTasks, DEFAULT_COLOCATION, fromSnapshot, LEASE_MARGIN_MS, LearntInterference, MAX_CALL_DELAY_MS, WORKER_LEASE_MS,
  type CellEvent, type CellStep, type Configuration, type DurableTasks, type ListedVm, type Task, type TaskReason, type TaskSpec, type Vm
} from '@auburnpin/core'
import type { ClaimedCell, EndpointsNotice } from '@auburnpin/cluster'
import type { ObjectStore, TableStore, Workers } from '@auburnpin/ports'
import { ActionRunner } from './ActionRunner.ts'
import { EndpointPublisher } from './EndpointPublisher.ts'
import { MAX_PENDING_STEPS, TICK_INTERVAL_MS } from './constants.ts'
import { JournalWriter, type JournalOutcome } from './JournalWriter.ts'
import { recoverCell, type RecoveredJournal } from './recoverCell.ts'
import { SnapshotWriter } from './SnapshotWriter.ts'
import { reportTransitions } from './reportTransitions.ts'
import { WorkerLink, type LinkHandlers } from './WorkerLink.ts'

/** Dependencies of a cell runner. */
export type CellPorts = Readonly<{
  table: TableStore
  objects: ObjectStore
  workers: Workers
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  invariants: InvariantCounter
  publish: (notice: EndpointsNotice) => void
}>

/** Number of VMs of a cell, and of tasks that are placed on them. */
export type Occupancy = Readonly<{ workers: number, tasks: number }>

type Settle = (outcome: JournalOutcome) => void
type Message = Readonly<{ event: CellEvent, settle?: Settle }>

/** Runs one cell for one term. */
export class CellRunner {
  readonly #claimed: ClaimedCell
  readonly #allCells: readonly CellId[]
  readonly #ports: CellPorts
  readonly #cell: Cell
  readonly #journal: JournalWriter
  readonly #snapshots: SnapshotWriter
  readonly #endpoints: EndpointPublisher
  readonly #actions: ActionRunner
  readonly #events: SerialQueue<Message>
  readonly #ticker: Ticker
  readonly #links = new Map<VmId, WorkerLink>()
  readonly #unrecordedReports = new Set<(isRecorded: boolean) => void>()
  readonly #onLost: () => void
  /** Number of submissions and cancellations without a result. */
  #openRequests = 0
  #isClosed = false
  #isLost = false

  private constructor (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, cell: Cell, recovered: RecoveredJournal, onLost: () => void) {
    this.#claimed = claimed
    this.#allCells = allCells
    this.#ports = ports
    this.#cell = cell
    this.#onLost = onLost
    this.#snapshots = new SnapshotWriter(ports, claimed, recovered.snapshotPointer, recovered.transitions.length)
    this.#journal = new JournalWriter(ports.table, ports.clock, ports.random, ports.log, {
      claimed,
      last: recovered.last,
      onFenced: () => this.#loseOwnership(),
      configured: () => this.#cell.configuredVersion,
      onRecord: (sequence, transitions) => this.#snapshots.handleRecord(sequence, transitions, this.tasks, this.#cell.configuredVersion)
    })
    this.#endpoints = new EndpointPublisher(cell, ports.publish, ports.clock.now())
    this.#actions = new ActionRunner(claimed, ports.workers, ports.log)
    this.#events = new SerialQueue(message => this.#handle(message), error => this.#reportError(error))
    this.#ticker = new Ticker(ports.clock, TICK_INTERVAL_MS, () => this.#events.enqueue({ event: { kind: 'tick' } }), error => this.#reportError(error))
  }

  /**
   * Recovers the cell from its journal and starts it. `onLost` is called when another owner has taken over, or
   * when a step has thrown an error and the cell must be recovered again.
   */
  static async open (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, onLost: () => void): Promise<Result<CellRunner, AuburnpinError>> {
    const recovered = await recoverCell(ports.table, ports.objects, ports.log, claimed.cell)
    if (recovered.err) return recovered
    // Cells of a region are of similar size, so each gets an equal share of every quota.
    const settings = { ...DEFAULT_COLOCATION, quotaShare: 1 / Math.max(1, allCells.length) }
    const cell = new Cell(claimed, new ColocationPolicy(new LearntInterference(), ports.random, settings))
    const restored = restoreCell(cell, claimed, recovered.val, ports.clock.now())
    if (restored.err) return restored
    const runner = new CellRunner(claimed, allCells, ports, cell, recovered.val, onLost)
    runner.#ticker.start()
    ports.log.info('Cell taken', { cell: claimed.cell, epoch: claimed.epoch, tasks: cell.state.tasks.size })
    return Ok(runner)
  }

  get claimed (): ClaimedCell {
    return this.#claimed
  }

  /** The durable state of the tasks. */
  get tasks (): DurableTasks {
    return this.#cell.state.durable
  }

  /** Number of VMs of the cell, and of tasks that are placed on one. */
  get occupancy (): Occupancy {
    const { vms } = this.#cell.state
    let tasks = 0
    for (const id of vms.keys()) tasks += this.#cell.state.placedOn(id).size
    return { workers: vms.size, tasks }
  }

  /** Returns the VM that the task is placed on, if any; `null` if the VM has not been listed in this term. */
  vmOf (task: Task): Vm | null | undefined {
    return task.placement === undefined ? undefined : this.#cell.state.vms.get(task.placement.vm) ?? null
  }

  /** Returns the reason for the state of the task, if there is one. */
  explain (id: TaskId): TaskReason | undefined {
    return this.#cell.explain(id, this.#ports.clock.now())
  }

  /** Number of events, steps and calls to workers that are pending. */
  get backlog (): number {
    return this.#journal.pendingSteps + this.#events.length + this.#actions.pending
  }

  /** Applies the configuration to the declared tasks. */
  configure (configuration: Configuration): void {
    const declared = declaredTasks(configuration, this.#allCells, this.#claimed.cell)
    this.#events.enqueue({ event: { kind: 'configured', configuration, declared } })
  }

  /** Replaces the VMs of the cell by those of the current VM list. */
  updateVms (vms: readonly ListedVm[]): void {
    this.#events.enqueue({ event: { kind: 'vms-listed', vms } })
  }

  /**
   * Accepts a task; resolves once it is durable, even if it was accepted before. After the errors `overloaded` and
   * `fenced` the task has certainly not been accepted; after `unknown-outcome` only the next owner has the result.
   */
  async submit (spec: TaskSpec): Promise<Result<Task, AuburnpinError>> {
    const outcome = await this.#postDurably({ kind: 'submitted', spec })
    return outcome.err ? outcome : this.#find(spec.id)
  }

  /** Withdraws a task; resolves once the withdrawal is durable. Errors are those of `submit`. */
  async cancel (task: TaskId): Promise<Result<Task, AuburnpinError>> {
    const outcome = await this.#postDurably({ kind: 'cancelled', task })
    return outcome.err ? outcome : this.#find(task)
  }

  /** Stops the cell; with `isFenced` nothing more is written. Every open request gets a result. */
  async close (isFenced: boolean): Promise<void> {
    this.#isClosed = true
    if (isFenced) await this.#journal.close(true)
    await this.#ticker.stop()
    for (const resolve of this.#unrecordedReports) resolve(false)
    await Promise.all([...this.#links.values()].map(link => link.stop()))
    await this.#events.close()
    await this.#journal.close(isFenced)
    if (!isFenced) await this.#snapshots.close()
  }

  #postDurably (event: CellEvent): Promise<JournalOutcome> {
    if (this.#isClosed) return Promise.resolve(Err(this.#fencedError()))
    if (this.#journal.isStalled || this.#openRequests >= MAX_PENDING_STEPS) return Promise.resolve(Err(this.#overloadedError()))
    this.#openRequests++
    return new Promise(resolve => {
      const settle = (outcome: JournalOutcome): void => {
        this.#openRequests--
        resolve(outcome)
      }
      this.#events.enqueue({ event, settle })
    })
  }

  #find (id: TaskId): Result<Task, AuburnpinError> {
    const task = this.tasks.get(id)
    if (task === undefined) return Err(new AuburnpinError('not-found', `Task "${id}" does not exist in cell ${this.#claimed.cell}`, 'List the tasks with `auburnpin jobs list`.'))
    return Ok(task)
  }

  #handle ({ event, settle }: Message): void {
    if (this.#isLost) {
      settle?.(Err(this.#fencedError()))
      return
    }
    // These events recur, so they are dropped instead of queued while the journal is stalled.
    if (PERIODIC_EVENTS.has(event.kind) && this.#journal.isStalled) {
      settle?.(Err(this.#overloadedError()))
      return
    }
    const step = this.#decide(event)
    if (step.err) {
      settle?.(step)
      return
    }
    if (event.kind === 'vms-listed') this.#syncWorkerLinks()
    if (event.kind === 'reported') this.#endpoints.recordReport(event.vm)
    reportTransitions(step.val.transitions, this.#claimed, this.#cell.state, this.#ports.log, this.#ports.metrics)
    this.#publishIfRequested(step.val)
    if (step.val.transitions.length === 0 && step.val.actions.length === 0 && settle === undefined) return
    this.#journal.append(step.val.transitions, outcome => {
      if (outcome.ok) this.#execute(step.val)
      settle?.(outcome)
    })
  }

  // A step that throws leaves an inconsistent state, which must not be used; the journal has the last consistent one.
  #decide (event: CellEvent): Result<CellStep, AuburnpinError> {
    try {
      return Ok(this.#cell.step(event, this.#ports.clock.now()))
    } catch (error) {
      this.#reportError(error)
      this.#loseOwnership()
      return Err(toAuburnpinError(error, 'invariant', 'Report this as a bug with the log around it.'))
    }
  }

  #loseOwnership (): void {
    if (this.#isLost) return
    this.#isLost = true
    void this.close(true)
    this.#onLost()
  }

  #execute (step: CellStep): void {
    this.#cell.markDurable(step.transitions, this.#ports.clock.now())
    for (const action of step.actions) {
      if (action.kind !== 'publish-endpoints') this.#actions.run(action)
    }
  }

  // Endpoints are published without waiting for the journal: whether one runs or leaves does not depend on the store.
  #publishIfRequested (step: CellStep): void {
    if (step.actions.some(action => action.kind === 'publish-endpoints')) this.#endpoints.requestPublication()
    this.#endpoints.publishIfReady(this.#ports.clock.now())
  }

  #syncWorkerLinks (): void {
    const { clock, random, log, workers } = this.#ports
    for (const vm of this.#cell.state.vms.values()) {
      const current = this.#links.get(vm.id)
      if (current !== undefined && !this.#isOutdated(current, vm)) continue
      void current?.stop()
      const link = new WorkerLink(vm, this.#claimed, workers.at(vm.address), clock, random, log, this.#linkHandlers)
      this.#links.set(vm.id, link)
      link.start()
    }
    for (const [id, link] of this.#links) {
      if (this.#cell.state.vms.has(id)) continue
      this.#links.delete(id)
      void link.stop()
    }
  }

  get #linkHandlers (): LinkHandlers {
    return {
      post: event => this.#events.enqueue({ event }),
      record: event => this.#record(event),
      onFenced: () => this.#loseOwnership(),
      isListed: ({ id, address }) => {
        const vm = this.#cell.state.vms.get(id)
        return vm?.address === address && vm.missingSince === undefined
      }
    }
  }

  // The worker at the address of before may run attempts under its lease, of which the one at the other knows nothing.
  #isOutdated (link: WorkerLink, { address, unansweredAt }: Vm): boolean {
    const silentSince = Math.max(link.respondedAt, unansweredAt === undefined ? 0 : unansweredAt + MAX_CALL_DELAY_MS)
    return link.address !== address && this.#ports.clock.now() - silentSince >= WORKER_LEASE_MS + LEASE_MARGIN_MS
  }

  // A link must not wait for the store while the cell is being closed.
  #record (event: CellEvent): Promise<boolean> {
    if (this.#isClosed) return Promise.resolve(false)
    return new Promise(resolve => {
      this.#unrecordedReports.add(resolve)
      const settle = (outcome: JournalOutcome): void => {
        this.#unrecordedReports.delete(resolve)
        resolve(outcome.ok)
      }
      this.#events.enqueue({ event, settle })
    })
  }

  #reportError (error: unknown): void {
    if (error instanceof InvariantError) this.#ports.invariants.record(error)
    this.#ports.log.error(error instanceof Error ? error.message : String(error), { cell: this.#claimed.cell, epoch: this.#claimed.epoch })
  }

  #fencedError (): AuburnpinError {
    return new AuburnpinError('fenced', `This member no longer owns cell ${this.#claimed.cell}`, 'Repeat the request; the next owner handles it.')
  }

  #overloadedError (): AuburnpinError {
    return new AuburnpinError('overloaded', `Cell ${this.#claimed.cell} cannot write its journal at the moment; the request was not accepted`, 'Retry in a few seconds.')
  }
}

const PERIODIC_EVENTS: ReadonlySet<CellEvent['kind']> = new Set(['tick', 'reported', 'usage'])

// An inconsistent journal must stop only this cell, not the process with its other cells.
const restoreCell = (cell: Cell, { cell: id }: ClaimedCell, recovered: RecoveredJournal, now: Instant): Result<void, AuburnpinError> => {
  const { snapshot, transitions, configured } = recovered
  try {
    cell.restore(transitions, now, snapshot === undefined ? [] : fromSnapshot(snapshot, now), configured)
    return Ok(undefined)
  } catch (thrown) {
    if (!(thrown instanceof InvariantError)) throw thrown
    return Err(new AuburnpinError('corrupt', `The journal of cell ${id} is inconsistent: ${thrown.message}`, 'Restore the journal from the platform\'s backup; other cells are not affected.', { cause: thrown }))
  }
}
