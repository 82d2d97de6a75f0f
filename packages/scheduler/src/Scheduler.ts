/**
 * The scheduler role: claims the cells that this member should own and runs them.
 */
import { AuburnpinError, Ticker, type CellId, type DataCentre, type MemberId, type Result, type TaskId } from '@auburnpin/common'
import { summariseTasks, type CellSummary, type Configuration, type Task } from '@auburnpin/core'
import type { ConfigurationFollower, PeerReply, PeerRequest } from '@auburnpin/cluster'
import type { VmEntry, VmList } from '@auburnpin/ports'
import { cellOfVm, cellsOfRegion } from './cellOfVm.ts'
import { CellOwnership, type OwnershipPorts } from './CellOwnership.ts'
import type { CellRunner } from './CellRunner.ts'
import { LeaseKeeper } from './LeaseKeeper.ts'
import { VM_LIST_POLL_MS } from './constants.ts'

/** The region's cells. */
export type RegionLayout = Readonly<{ dataCentres: readonly DataCentre[], cellsPerDataCentre: number }>

/** What the scheduler needs from outside. */
export type SchedulerPorts = OwnershipPorts & Readonly<{
  vmList: VmList
  configuration: ConfigurationFollower
  /** Members that this one can talk to just now. */
  reachable: () => readonly MemberId[]
}>

/** Owns cells; any number of schedulers share a region. */
export class Scheduler {
  readonly #ports: SchedulerPorts
  readonly #layout: RegionLayout
  readonly #cells: readonly CellId[]
  readonly #ownership: CellOwnership
  readonly #keeper: LeaseKeeper
  readonly #vmPoll: Ticker

  constructor (layout: RegionLayout, ports: SchedulerPorts) {
    this.#ports = ports
    this.#layout = layout
    this.#cells = cellsOfRegion(layout.dataCentres, layout.cellsPerDataCentre)
    const places = layout.dataCentres.flatMap(dataCentre =>
      cellsOfRegion([dataCentre], layout.cellsPerDataCentre).map(cell => ({ cell, dataCentre })))
    this.#ownership = new CellOwnership(places, ports, runner => this.#prepare(runner))
    this.#keeper = new LeaseKeeper(ports, vm => cellOfVm(vm.dataCentre, vm.rack, layout.cellsPerDataCentre))
    this.#vmPoll = new Ticker(ports.clock, VM_LIST_POLL_MS, () => this.#pollVms(), error => ports.log.error(String(error)))
    ports.configuration.onChange(configuration => this.#configure(configuration))
  }

  get cells (): readonly CellId[] {
    return this.#cells
  }

  /** Cells that this member owns now. */
  get owned (): readonly CellId[] {
    return [...this.#ownership.runners.keys()]
  }

  /** Tasks of the cells that this member owns, in figures. */
  get summaries (): ReadonlyMap<CellId, CellSummary> {
    return new Map([...this.#ownership.runners].map(([cell, runner]) => [cell, summariseTasks(runner.tasks.values())]))
  }

  start (): void {
    this.startWatching()
    this.startClaiming()
  }

  /** Follows the VM list and keeps orphaned workers' leases, without owning anything. */
  startWatching (): void {
    this.#vmPoll.start()
    this.#keeper.start()
  }

  /** Claims cells; only once it is sure that all members mean the same cells. */
  startClaiming (): void {
    this.#ownership.start()
  }

  /** Hands all cells over. */
  async stop (): Promise<void> {
    await this.#keeper.stop()
    await this.#vmPoll.stop()
    await this.#ownership.stop()
  }

  /** Looks at once whether this member should claim cells that were given up. */
  async reconsider (): Promise<void> {
    await this.#ownership.reconsider()
  }

  /** Answers a question about a cell that this member owns. */
  async answer (request: PeerRequest): Promise<PeerReply> {
    if (!('cell' in request)) return { kind: 'failed', error: notAboutCell().toReport() }
    const runner = this.#ownership.runners.get(request.cell)
    if (runner === undefined) return { kind: 'failed', error: notOwner(request.cell).toReport() }
    switch (request.kind) {
      case 'submit':
        return toReply(await runner.submit(request.spec))
      case 'cancel':
        return toReply(await runner.cancel(request.task))
      case 'find-task':
        return findTask(runner, request.task)
      case 'summarise-cell':
        return { kind: 'cell-summary', summary: summariseTasks(runner.tasks.values()) }
      case 'list-tasks':
        return { kind: 'tasks', tasks: [...runner.tasks.values()] }
    }
  }

  #configure (configuration: Configuration): void {
    for (const runner of this.#ownership.runners.values()) runner.configure(configuration)
  }

  #prepare (runner: CellRunner): void {
    runner.configure(this.#ports.configuration.current)
    void this.#pollVms()
  }

  async #pollVms (): Promise<void> {
    const vms = await this.#ports.vmList.read()
    if (vms.err) {
      this.#ports.log.warn('The VM list could not be read', { reason: vms.val.message })
      return
    }
    this.#keeper.listVms(vms.val)
    for (const [cell, runner] of this.#ownership.runners) {
      runner.listVms(vms.val.filter(vm => this.#belongsTo(vm, cell)).map(vm => ({ ...vm, isLeaving: this.#isLeaving(vm) })))
    }
  }

  // An operator's drain counts like the VM list's own word.
  #isLeaving (vm: VmEntry): boolean {
    return vm.state === 'leaving' || this.#ports.configuration.current.drains[vm.id] !== undefined
  }

  #belongsTo (vm: VmEntry, cell: CellId): boolean {
    return cellOfVm(vm.dataCentre, vm.rack, this.#layout.cellsPerDataCentre) === cell
  }
}

const toReply = (result: Result<Task, AuburnpinError>): PeerReply => {
  if (result.err) return { kind: 'failed', error: result.val.toReport() }
  return { kind: 'accepted', task: result.val }
}

const findTask = (runner: CellRunner, id: TaskId): PeerReply => {
  const task = runner.tasks.get(id) ?? null
  if (task === null) return { kind: 'task', task }
  return { kind: 'task', task, vm: runner.vmOf(task), reason: runner.explain(id) }
}

const notOwner = (cell: CellId): AuburnpinError =>
  new AuburnpinError('unreachable', `This member does not own cell ${cell}`, 'Ask again in a moment; the cell is moving.')

const notAboutCell = (): AuburnpinError =>
  new AuburnpinError('invalid-request', 'The question concerns no cell', 'Ask the member itself.')
