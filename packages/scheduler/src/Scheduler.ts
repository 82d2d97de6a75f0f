/**
 * The scheduler role: claims the cells assigned to this member and runs them.
 */
import { AuburnpinError, Ticker, type CellId, type DataCentre, type MemberId, type Result, type TaskId } from '@auburnpin/common'
import { summariseTasks, type CellSummary, type Configuration, type Task } from '@auburnpin/core'
import type { ConfigurationFollower, PeerReply, PeerRequest } from '@auburnpin/cluster'
import type { VmEntry, VmList } from '@auburnpin/ports'
import { cellOfVm, cellsOfRegion } from './cellOfVm.ts'
import { CellOwnership, type OwnershipPorts } from './CellOwnership.ts'
import type { CellRunner } from './CellRunner.ts'
import { EvacuationLog, type OccupiedCell } from './EvacuationLog.ts'
import { OrphanLeaseRenewer } from './OrphanLeaseRenewer.ts'
import { VM_LIST_POLL_INTERVAL_MS } from './constants.ts'

/** Data centres of the region and the number of cells in each. */
export type RegionLayout = Readonly<{ dataCentres: readonly DataCentre[], cellsPerDataCentre: number }>

/** Dependencies of the scheduler. */
export type SchedulerPorts = OwnershipPorts & Readonly<{
  vmList: VmList
  configuration: ConfigurationFollower
  /** Members that this one can reach now. */
  reachable: () => readonly MemberId[]
}>

/** Owns some of the cells of a region; any number of schedulers share the region. */
export class Scheduler {
  readonly #ports: SchedulerPorts
  readonly #layout: RegionLayout
  readonly #cells: readonly CellId[]
  readonly #dataCentreOf: ReadonlyMap<CellId, DataCentre>
  readonly #evacuationLog: EvacuationLog
  readonly #ownership: CellOwnership
  readonly #leaseRenewer: OrphanLeaseRenewer
  readonly #vmPoll: Ticker

  constructor (layout: RegionLayout, ports: SchedulerPorts) {
    this.#ports = ports
    this.#layout = layout
    this.#cells = cellsOfRegion(layout.dataCentres, layout.cellsPerDataCentre)
    const locations = layout.dataCentres.flatMap(dataCentre =>
      cellsOfRegion([dataCentre], layout.cellsPerDataCentre).map(cell => ({ cell, dataCentre })))
    this.#dataCentreOf = new Map(locations.map(({ cell, dataCentre }) => [cell, dataCentre]))
    this.#evacuationLog = new EvacuationLog(ports.log)
    this.#ownership = new CellOwnership(locations, ports, runner => this.#initialise(runner))
    this.#leaseRenewer = new OrphanLeaseRenewer(ports, vm => cellOfVm(vm.dataCentre, vm.rack, layout.cellsPerDataCentre))
    this.#vmPoll = new Ticker(ports.clock, VM_LIST_POLL_INTERVAL_MS, () => this.#pollVms(), error => ports.log.error(String(error)))
    ports.configuration.onChange(configuration => this.#configure(configuration))
  }

  get cells (): readonly CellId[] {
    return this.#cells
  }

  /** Cells of the data centres that are not evacuated. */
  get openCells (): readonly CellId[] {
    return this.#cells.filter(cell => !this.#isEvacuated(cell))
  }

  /** What is placed in each cell of an evacuated data centre that this member owns. */
  get evacuatedCells (): readonly OccupiedCell[] {
    return this.#occupiedCells.filter(({ cell }) => this.#isEvacuated(cell))
  }

  /** Cells that this member currently owns. */
  get owned (): readonly CellId[] {
    return [...this.#ownership.runners.keys()]
  }

  /** Task summaries of the cells that this member owns. */
  get summaries (): ReadonlyMap<CellId, CellSummary> {
    return new Map([...this.#ownership.runners].map(([cell, runner]) => [cell, summariseTasks(runner.tasks.values())]))
  }

  start (): void {
    this.startPolling()
    this.startClaiming()
  }

  /** Starts polling the VM list and renewing leases of workers without a reachable owner; claims no cells. */
  startPolling (): void {
    this.#vmPoll.start()
    this.#leaseRenewer.start()
  }

  /** Starts claiming cells. Must be called only once all members are known to use the same region layout. */
  startClaiming (): void {
    this.#ownership.start()
  }

  /** Stops polling and hands over all cells. */
  async stop (): Promise<void> {
    await this.#leaseRenewer.stop()
    await this.#vmPoll.stop()
    await this.#ownership.stop()
  }

  /** Checks without delay whether this member should claim released cells. */
  async reconcileNow (): Promise<void> {
    await this.#ownership.reconcileNow()
  }

  /** Handles a peer request about a cell that this member owns. */
  async handleRequest (request: PeerRequest): Promise<PeerReply> {
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

  get #occupiedCells (): readonly OccupiedCell[] {
    return [...this.#ownership.runners].map(([cell, { occupancy }]) => ({ cell, dataCentre: this.#dataCentreOf.get(cell) as DataCentre, occupancy }))
  }

  #isEvacuated (cell: CellId): boolean {
    return this.#ports.configuration.current.evacuations[this.#dataCentreOf.get(cell) as DataCentre] !== undefined
  }

  #configure (configuration: Configuration): void {
    this.#evacuationLog.record(configuration, this.#occupiedCells)
    for (const runner of this.#ownership.runners.values()) runner.configure(configuration)
  }

  #initialise (runner: CellRunner): void {
    runner.configure(this.#ports.configuration.current)
    void this.#pollVms()
  }

  async #pollVms (): Promise<void> {
    const vms = await this.#ports.vmList.read()
    if (vms.err) {
      this.#ports.log.warn('VM list could not be read', { reason: vms.val.message })
      return
    }
    this.#leaseRenewer.updateVms(vms.val)
    for (const [cell, runner] of this.#ownership.runners) {
      runner.updateVms(vms.val.filter(vm => this.#belongsTo(vm, cell)).map(vm => ({ ...vm, isLeaving: this.#isLeaving(vm) })))
    }
  }

  // A VM that an operator drains is treated as if the VM list marked it as leaving.
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
  new AuburnpinError('unreachable', `This member does not own cell ${cell}`, 'Retry shortly; the cell is moving to another owner.')

const notAboutCell = (): AuburnpinError =>
  new AuburnpinError('invalid-request', 'The request names no cell', 'Send requests without a cell to the member itself.')
