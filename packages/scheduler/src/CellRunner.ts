/**
 * One owned cell: its mailbox, its journal, its workers.
 */
import {
  AuburnpinError, Err, InvariantError, Mailbox, Ok, Ticker,
  type CellId, type Clock, type InvariantCounter, type Log, type Metrics, type Random, type Result, type TaskId, type VmId
} from '@auburnpin/common'
import {
  Cell, declaredTasks, PlainPolicy, SpreadPolicy, type CellEvent, type CellStep, type Configuration, type ListedVm, type Task, type TaskSpec
} from '@auburnpin/core'
import type { ClaimedCell, EndpointsNotice } from '@auburnpin/cluster'
import type { TableStore, Workers } from '@auburnpin/platform'
import { ActionRunner } from './ActionRunner.ts'
import { TICK_MS } from './constants.ts'
import { JournalWriter } from './JournalWriter.ts'
import { recoverCell } from './recoverCell.ts'
import { WorkerLink } from './WorkerLink.ts'

/** What a cell's runner needs from outside. */
export type CellPorts = Readonly<{
  table: TableStore
  workers: Workers
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  invariants: InvariantCounter
  publish: (notice: EndpointsNotice) => void
}>

type Message = Readonly<{ event: CellEvent, onDurable?: () => void }>

/** Runs one cell for the time of one ownership. */
export class CellRunner {
  readonly #claimed: ClaimedCell
  readonly #allCells: readonly CellId[]
  readonly #ports: CellPorts
  readonly #cell: Cell
  readonly #journal: JournalWriter
  readonly #actions: ActionRunner
  readonly #mailbox: Mailbox<Message>
  readonly #ticker: Ticker
  readonly #links = new Map<VmId, WorkerLink>()
  #revision = 0

  private constructor (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, cell: Cell, journal: JournalWriter) {
    this.#claimed = claimed
    this.#allCells = allCells
    this.#ports = ports
    this.#cell = cell
    this.#journal = journal
    this.#actions = new ActionRunner(claimed, ports.workers, ports.log)
    this.#mailbox = new Mailbox(message => this.#handle(message), error => this.#fail(error))
    this.#ticker = new Ticker(ports.clock, TICK_MS, () => this.#mailbox.post({ event: { kind: 'tick' } }), error => this.#fail(error))
  }

  /** Rebuilds the cell from its journal and starts to run it. */
  static async open (claimed: ClaimedCell, allCells: readonly CellId[], ports: CellPorts, onFenced: () => void): Promise<Result<CellRunner, AuburnpinError>> {
    const recovered = await recoverCell(ports.table, claimed.cell)
    if (recovered.err) return recovered
    const cell = new Cell(claimed, new PlainPolicy(new SpreadPolicy()))
    cell.restore(recovered.val.transitions, ports.clock.now())
    const journal = new JournalWriter(ports.table, ports.clock, ports.random, ports.log, { claimed, last: recovered.val.last, onFenced })
    const runner = new CellRunner(claimed, allCells, ports, cell, journal)
    runner.#ticker.start()
    ports.log.info('Cell taken', { cell: claimed.cell, epoch: claimed.epoch, tasks: cell.state.tasks.size })
    return Ok(runner)
  }

  get claimed (): ClaimedCell {
    return this.#claimed
  }

  get tasks (): ReadonlyMap<TaskId, Task> {
    return this.#cell.state.tasks
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

  /** Accepts a task; resolves once it is durable, also when it was accepted before. */
  async submit (spec: TaskSpec): Promise<Result<Task, AuburnpinError>> {
    await this.#postDurably({ kind: 'submitted', spec })
    return this.#find(spec.id)
  }

  /** Withdraws a task; resolves once that is durable. */
  async cancel (task: TaskId): Promise<Result<Task, AuburnpinError>> {
    await this.#postDurably({ kind: 'cancelled', task })
    return this.#find(task)
  }

  /** Stops deciding. With `isFenced` nothing more is written. */
  async close (isFenced: boolean): Promise<void> {
    await this.#ticker.stop()
    await Promise.all([...this.#links.values()].map(link => link.stop()))
    await this.#mailbox.close()
    await this.#journal.close(isFenced)
  }

  #postDurably (event: CellEvent): Promise<void> {
    return new Promise(resolve => this.#mailbox.post({ event, onDurable: resolve }))
  }

  #find (id: TaskId): Result<Task, AuburnpinError> {
    const task = this.#cell.state.tasks.get(id)
    if (task === undefined) return Err(new AuburnpinError('not-found', `Task "${id}" is not known in cell ${this.#claimed.cell}`, 'List the tasks with `auburnpin jobs list`.'))
    return Ok(task)
  }

  #handle (message: Message): void {
    const step = this.#cell.step(message.event, this.#ports.clock.now())
    if (message.event.kind === 'vms-listed') this.#followVms()
    this.#count(step)
    if (step.transitions.length === 0 && step.actions.length === 0 && message.onDurable === undefined) return
    this.#journal.append(step.transitions, () => {
      this.#carryOut(step)
      message.onDurable?.()
    })
  }

  #carryOut (step: CellStep): void {
    let isPublished = false
    for (const action of step.actions) {
      if (action.kind !== 'publish-endpoints') void this.#actions.run(action)
      else if (!isPublished) isPublished = this.#publish()
    }
  }

  #publish (): boolean {
    const { cell, epoch } = this.#claimed
    this.#ports.publish({ kind: 'endpoints', cell, epoch, revision: ++this.#revision, endpoints: this.#cell.endpoints })
    return true
  }

  #followVms (): void {
    const { clock, random, log, workers } = this.#ports
    for (const vm of this.#cell.state.vms.values()) {
      const isFollowed = this.#links.has(vm.id)
      if (isFollowed || vm.missingSince !== undefined) continue
      const link = new WorkerLink(vm, this.#claimed, workers.at(vm.address), clock, random, log, event => this.#mailbox.post({ event }))
      this.#links.set(vm.id, link)
      link.start()
    }
    for (const [id, link] of this.#links) {
      const vm = this.#cell.state.vms.get(id)
      if (vm !== undefined && vm.missingSince === undefined) continue
      this.#links.delete(id)
      void link.stop()
    }
  }

  #count (step: CellStep): void {
    const { metrics } = this.#ports
    const { cell } = this.#claimed
    for (const transition of step.transitions) {
      if (transition.kind === 'assigned') metrics.count('tasks.started', 1, { cell })
      if (transition.kind !== 'ended') continue
      if (transition.end === 'finished') metrics.count('tasks.finished', 1, { cell })
      const task = this.#cell.state.tasks.get(transition.task)
      // A stopped attempt of a withdrawn task does not run again, so it is no eviction.
      if (transition.end === 'stopped' && task?.state === 'queued') metrics.count('tasks.evicted', 1, { cell, reason: task.reason?.kind ?? 'unknown' })
    }
  }

  #fail (error: unknown): void {
    if (error instanceof InvariantError) this.#ports.invariants.record(error)
    this.#ports.log.error(error instanceof Error ? error.message : String(error), { cell: this.#claimed.cell })
  }
}
