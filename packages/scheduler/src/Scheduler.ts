/**
 * The scheduler role: claims the cells that this member should own and runs them.
 */
import { AuburnpinError, Ticker, type CellId, type DataCentre, type MemberId, type Result } from '@auburnpin/common'
import type { Configuration, Task } from '@auburnpin/core'
import {
  claimCell, releaseCell, type CellDirectory, type ClaimedCell, type ConfigurationFollower, type Membership, type PeerReply, type PeerRequest
} from '@auburnpin/cluster'
import type { VmEntry, VmList } from '@auburnpin/platform'
import { cellOfVm, cellsOfRegion } from './cellOfVm.ts'
import { CellRunner, type CellPorts } from './CellRunner.ts'
import { chooseOwner } from './chooseOwner.ts'
import { OWNERSHIP_MS, VM_LIST_POLL_MS } from './constants.ts'

/** The region's cells. */
export type RegionLayout = Readonly<{ dataCentres: readonly DataCentre[], cellsPerDataCentre: number }>

/** What the scheduler needs from outside. */
export type SchedulerPorts = CellPorts & Readonly<{
  vmList: VmList
  membership: Membership
  directory: CellDirectory
  configuration: ConfigurationFollower
}>

/** Owns cells; any number of schedulers share a region. */
export class Scheduler {
  readonly #ports: SchedulerPorts
  readonly #layout: RegionLayout
  readonly #cells: readonly CellId[]
  readonly #runners = new Map<CellId, CellRunner>()
  readonly #ownership: Ticker
  readonly #vmPoll: Ticker
  #isStopping = false

  constructor (layout: RegionLayout, ports: SchedulerPorts) {
    this.#ports = ports
    this.#layout = layout
    this.#cells = cellsOfRegion(layout.dataCentres, layout.cellsPerDataCentre)
    const logError = (error: unknown): void => ports.log.error(String(error))
    this.#ownership = new Ticker(ports.clock, OWNERSHIP_MS, () => this.#takeCells(), logError)
    this.#vmPoll = new Ticker(ports.clock, VM_LIST_POLL_MS, () => this.#pollVms(), logError)
    ports.configuration.onChange(configuration => this.#configure(configuration))
  }

  get cells (): readonly CellId[] {
    return this.#cells
  }

  /** Cells that this member owns now. */
  get owned (): readonly CellId[] {
    return [...this.#runners.keys()]
  }

  start (): void {
    this.#ownership.start()
    this.#vmPoll.start()
  }

  /** Hands all cells over. */
  async stop (): Promise<void> {
    this.#isStopping = true
    await this.#ownership.stop()
    await this.#vmPoll.stop()
    for (const runner of this.#runners.values()) {
      await runner.close(false)
      await releaseCell(this.#ports.table, this.#ports.random, runner.claimed)
    }
    this.#runners.clear()
  }

  /** Answers a question about a cell that this member owns. */
  async answer (request: PeerRequest): Promise<PeerReply> {
    if (request.kind === 'list-endpoints') return { kind: 'endpoints', published: [] }
    const runner = this.#runners.get(request.cell)
    if (runner === undefined) return { kind: 'failed', error: notOwner(request.cell).toReport() }
    switch (request.kind) {
      case 'submit':
        return toReply(await runner.submit(request.spec))
      case 'cancel':
        return toReply(await runner.cancel(request.task))
      case 'find-task':
        return { kind: 'task', task: runner.tasks.get(request.task) ?? null }
      case 'list-tasks':
        return { kind: 'tasks', tasks: [...runner.tasks.values()] }
    }
  }

  #configure (configuration: Configuration): void {
    for (const runner of this.#runners.values()) runner.configure(configuration)
  }

  async #takeCells (): Promise<void> {
    this.#dropTaken()
    if (this.#isStopping || !this.#ports.membership.isLeaseHeld) return
    for (const cell of this.#cells) {
      if (!this.#shouldTake(cell)) continue
      const claimed = await claimCell(this.#ports.table, this.#ports.random, this.#ports.membership.identity, cell, this.#ports.directory.cells.get(cell))
      if (claimed.err) this.#ports.log.warn('A cell could not be claimed', { cell, reason: claimed.val.message })
      else if (claimed.val !== null) await this.#open(claimed.val)
    }
  }

  // A paused owner with nothing to append would never learn from its journal that it was replaced.
  #dropTaken (): void {
    for (const [cell, runner] of this.#runners) {
      const seen = this.#ports.directory.cells.get(cell)?.row
      if (seen !== undefined && seen.epoch > runner.claimed.epoch) this.#drop(cell)
    }
  }

  #shouldTake (cell: CellId): boolean {
    if (this.#runners.has(cell)) return false
    const { directory, membership } = this.#ports
    // A claim whose answer was lost has made this process the owner; nobody else will take the cell.
    if (directory.cells.get(cell)?.row.incarnation === membership.identity.incarnation) return true
    const dataCentre = this.#layout.dataCentres.find(candidate => cell.startsWith(`${candidate}-`)) as DataCentre
    if (chooseOwner(cell, dataCentre, membership.live) !== membership.identity.member) return false
    const seen = directory.cells.get(cell)?.row
    if (seen === undefined || seen.owner === null || seen.incarnation === null) return true
    const isOwn: boolean = seen.owner === (membership.identity.member as MemberId)
    return isOwn || membership.isLapsed(seen.owner, seen.incarnation)
  }

  async #open (claimed: ClaimedCell): Promise<void> {
    const opened = await CellRunner.open(claimed, this.#cells, this.#ports, () => this.#drop(claimed.cell))
    if (opened.err) {
      this.#ports.log.error('A cell could not be recovered', { cell: claimed.cell, reason: opened.val.message })
      return
    }
    this.#runners.set(claimed.cell, opened.val)
    opened.val.configure(this.#ports.configuration.current)
  }

  #drop (cell: CellId): void {
    const runner = this.#runners.get(cell)
    this.#runners.delete(cell)
    void runner?.close(true)
  }

  async #pollVms (): Promise<void> {
    const vms = await this.#ports.vmList.read()
    if (vms.err) {
      this.#ports.log.warn('The VM list could not be read', { reason: vms.val.message })
      return
    }
    for (const [cell, runner] of this.#runners) {
      runner.listVms(vms.val.filter(vm => this.#belongsTo(vm, cell)).map(vm => ({ ...vm, isLeaving: vm.state === 'leaving' })))
    }
  }

  #belongsTo (vm: VmEntry, cell: CellId): boolean {
    return cellOfVm(vm.dataCentre, vm.rack, this.#layout.cellsPerDataCentre) === cell
  }
}

const toReply = (result: Result<Task, AuburnpinError>): PeerReply => {
  if (result.err) return { kind: 'failed', error: result.val.toReport() }
  return { kind: 'accepted', task: result.val }
}

const notOwner = (cell: CellId): AuburnpinError =>
  new AuburnpinError('unreachable', `This member does not own cell ${cell}`, 'Ask again in a moment; the cell is moving.')
