/**
 * One owned cell: its mailbox, its journal, its workers.
 */
import {
  AuburnpinError, Err, InvariantError, Mailbox, Ok, Ticker, toAuburnpinError,
  type CellId, type Clock, type Instant, type InvariantCounter, type Log, type Metrics, type Random, type Result, type TaskId, type VmId
} from '@auburnpin/common'
import {
  Cell, ColocationPolicy, declaredTasks, DEFAULT_COLOCATION, fromSnapshot, LearntInterference,
  type CellEvent, type CellStep, type Configuration, type DurableTasks, type ListedVm, type Task, type TaskReason, type TaskSpec, type Vm
} from '@auburnpin/core'
import type { ClaimedCell, EndpointsNotice } from '@auburnpin/cluster'
import type { ObjectStore, TableStore, Workers } from '@auburnpin/ports'
import { ActionRunner } from './ActionRunner.ts'
import { EndpointPublisher } from './EndpointPublisher.ts'
import { MAX_WAITING_STEPS, TICK_MS } from './constants.ts'
import { JournalWriter, type JournalOutcome } from './JournalWriter.ts'
import { recoverCell, type RecoveredJournal } from './recoverCell.ts'
import { SnapshotWriter } from './SnapshotWriter.ts'
import { tellTransitions } from './tellTransitions.ts'
import { WorkerLink } from './WorkerLink.ts'

/** What a cell's runner needs from outside. */
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

type Settle = (outcome: JournalOutcome) => void
type Message = Readonly<{ event: CellEvent, settle?: Settle }>

/** Runs one cell for the time of one ownership. */
export class CellRunner {
  readonly #claimed: ClaimedCell
  readonly #allCells: readonly CellId[]
  readonly #ports: CellPorts
  readonly #cell: Cell
  readonly #journal: JournalWriter
  readonly #snapshots: SnapshotWriter
  readonly #endpoints: EndpointPublisher
  readonly #actions: ActionRunner
  readonly #mailbox: Mailbox<Message>
  readonly #ticker: Ticker
  readonly #links = new Map<VmId, WorkerLink>()
  readonly #onLost: () => void
  /** Submissions and cancellations without an answer yet. */
  #open = 0
  #isClosed = false
  #isLost = false

  private constructor (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, cell: Cell, recovered: RecoveredJournal, onLost: () => void) {
    this.#claimed = claimed
    this.#allCells = allCells
    this.#ports = ports
    this.#cell = cell
    this.#onLost = onLost
    this.#snapshots = new SnapshotWriter(ports, claimed, recovered.seen, recovered.transitions.length)
    this.#journal = new JournalWriter(ports.table, ports.clock, ports.random, ports.log, {
      claimed,
      last: recovered.last,
      onFenced: () => this.#lose(),
      configured: () => this.#cell.configured,
      onRecord: (sequence, transitions) => this.#snapshots.note(sequence, transitions, this.tasks, this.#cell.configured)
    })
    this.#endpoints = new EndpointPublisher(cell, ports.publish, ports.clock.now())
    this.#actions = new ActionRunner(claimed, ports.workers, ports.log)
    this.#mailbox = new Mailbox(message => this.#handle(message), error => this.#fail(error))
    this.#ticker = new Ticker(ports.clock, TICK_MS, () => this.#mailbox.post({ event: { kind: 'tick' } }), error => this.#fail(error))
  }

  /**
   * Rebuilds the cell from its journal and starts to run it. `onLost` is called when another owner has taken
   * over, or when a step broke off and the cell must be rebuilt.
   */
  static async open (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, onLost: () => void): Promise<Result<CellRunner, AuburnpinError>> {
    const recovered = await recoverCell(ports.table, ports.objects, ports.log, claimed.cell)
    if (recovered.err) return recovered
    // Cells of a region are of like size, so each has a like part of every quota.
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

  /** The tasks as far as they are durable. */
  get tasks (): DurableTasks {
    return this.#cell.state.durable
  }

  /** The VM that the task is placed on, if any; `null` if it is on no list since this owner took over. */
  vmOf (task: Task): Vm | null | undefined {
    return task.placement === undefined ? undefined : this.#cell.state.vms.get(task.placement.vm) ?? null
  }

  /** Why the task is where it is. */
  explain (id: TaskId): TaskReason | undefined {
    return this.#cell.explain(id, this.#ports.clock.now())
  }

  /** Steps and calls to workers that wait. */
  get backlog (): number {
    return this.#journal.waiting + this.#mailbox.length + this.#actions.pending
  }

  /** Brings the declared tasks into line with the configuration. */
  configure (configuration: Configuration): void {
    const declared = declaredTasks(configuration, this.#allCells, this.#claimed.cell)
    this.#mailbox.post({ event: { kind: 'configured', configuration, declared } })
  }

  /** Takes in the cell's part of the VM list. */
  listVms (vms: readonly ListedVm[]): void {
    this.#mailbox.post({ event: { kind: 'vms-listed', vms } })
  }

  /**
   * Accepts a task; resolves once it is durable, also when it was accepted before. Errors: `overloaded` and
   * `fenced` mean surely not accepted, `unknown-outcome` that the next owner knows.
   */
  async submit (spec: TaskSpec): Promise<Result<Task, AuburnpinError>> {
    const outcome = await this.#postDurably({ kind: 'submitted', spec })
    return outcome.err ? outcome : this.#find(spec.id)
  }

  /** Withdraws a task; resolves once that is durable. Errors as for `submit`. */
  async cancel (task: TaskId): Promise<Result<Task, AuburnpinError>> {
    const outcome = await this.#postDurably({ kind: 'cancelled', task })
    return outcome.err ? outcome : this.#find(task)
  }

  /** Stops deciding. With `isFenced` nothing more is written. Every open submission gets its answer. */
  async close (isFenced: boolean): Promise<void> {
    this.#isClosed = true
    if (isFenced) await this.#journal.close(true)
    await this.#ticker.stop()
    await Promise.all([...this.#links.values()].map(link => link.stop()))
    await this.#mailbox.close()
    await this.#journal.close(isFenced)
    if (!isFenced) await this.#snapshots.close()
  }

  #postDurably (event: CellEvent): Promise<JournalOutcome> {
    if (this.#isClosed) return Promise.resolve(Err(this.#closed()))
    if (this.#journal.isStalled || this.#open >= MAX_WAITING_STEPS) return Promise.resolve(Err(this.#overloaded()))
    this.#open++
    return new Promise(resolve => {
      const settle = (outcome: JournalOutcome): void => {
        this.#open--
        resolve(outcome)
      }
      this.#mailbox.post({ event, settle })
    })
  }

  #find (id: TaskId): Result<Task, AuburnpinError> {
    const task = this.tasks.get(id)
    if (task === undefined) return Err(new AuburnpinError('not-found', `Task "${id}" is not known in cell ${this.#claimed.cell}`, 'List the tasks with `auburnpin jobs list`.'))
    return Ok(task)
  }

  #handle ({ event, settle }: Message): void {
    if (this.#isLost) {
      settle?.(Err(this.#closed()))
      return
    }
    // A worker tells the same again with its next report, so nothing piles up here.
    if (REPEATED_EVENTS.has(event.kind) && this.#journal.isStalled) return
    const step = this.#decide(event)
    if (step.err) {
      settle?.(step)
      return
    }
    if (event.kind === 'vms-listed') this.#followVms()
    if (event.kind === 'reported') this.#endpoints.hear(event.vm)
    tellTransitions(step.val.transitions, this.#claimed, this.#cell.state, this.#ports.log, this.#ports.metrics)
    this.#publishIfAsked(step.val)
    if (step.val.transitions.length === 0 && step.val.actions.length === 0 && settle === undefined) return
    this.#journal.append(step.val.transitions, outcome => {
      if (outcome.ok) this.#carryOut(step.val)
      settle?.(outcome)
    })
  }

  // A step that breaks off half-way leaves a state that nobody may act on; the journal holds the last whole one.
  #decide (event: CellEvent): Result<CellStep, AuburnpinError> {
    try {
      return Ok(this.#cell.step(event, this.#ports.clock.now()))
    } catch (error) {
      this.#fail(error)
      this.#lose()
      return Err(toAuburnpinError(error, 'invariant', 'Report this as a bug with the log around it.'))
    }
  }

  #lose (): void {
    if (this.#isLost) return
    this.#isLost = true
    void this.close(true)
    this.#onLost()
  }

  #carryOut (step: CellStep): void {
    this.#cell.settle(step.transitions, this.#ports.clock.now())
    for (const action of step.actions) {
      if (action.kind !== 'publish-endpoints') this.#actions.run(action)
    }
  }

  // Gateways need not wait for the journal: an endpoint is running or leaving whatever the store does.
  #publishIfAsked (step: CellStep): void {
    if (step.actions.some(action => action.kind === 'publish-endpoints')) this.#endpoints.ask()
    this.#endpoints.publishIfDue(this.#ports.clock.now())
  }

  #followVms (): void {
    const { clock, random, log, workers } = this.#ports
    for (const vm of this.#cell.state.vms.values()) {
      if (this.#links.has(vm.id)) continue
      const link = new WorkerLink(vm, this.#claimed, workers.at(vm.address), clock, random, log, event => this.#mailbox.post({ event }), () => this.#lose())
      this.#links.set(vm.id, link)
      link.start()
    }
    for (const [id, link] of this.#links) {
      if (this.#cell.state.vms.has(id)) continue
      this.#links.delete(id)
      void link.stop()
    }
  }

  #fail (error: unknown): void {
    if (error instanceof InvariantError) this.#ports.invariants.record(error)
    this.#ports.log.error(error instanceof Error ? error.message : String(error), { cell: this.#claimed.cell, epoch: this.#claimed.epoch })
  }

  #closed (): AuburnpinError {
    return new AuburnpinError('fenced', `This member no longer runs cell ${this.#claimed.cell}`, 'Ask again; the next owner answers.')
  }

  #overloaded (): AuburnpinError {
    return new AuburnpinError('overloaded', `Cell ${this.#claimed.cell} can record nothing just now; this was not accepted`, 'Try again in some seconds.')
  }
}

const REPEATED_EVENTS: ReadonlySet<CellEvent['kind']> = new Set(['tick', 'reported', 'usage'])

// A journal that contradicts itself must stop this cell alone, not the process with its other cells.
const restoreCell = (cell: Cell, { cell: id }: ClaimedCell, recovered: RecoveredJournal, now: Instant): Result<void, AuburnpinError> => {
  const { snapshot, transitions, configured } = recovered
  try {
    cell.restore(transitions, now, snapshot === undefined ? [] : fromSnapshot(snapshot, now), configured)
    return Ok(undefined)
  } catch (thrown) {
    if (!(thrown instanceof InvariantError)) throw thrown
    return Err(new AuburnpinError('corrupt', `The journal of cell ${id} contradicts itself: ${thrown.message}`, 'Restore the journal from the platform\'s backup; other cells go on.', { cause: thrown }))
  }
}
