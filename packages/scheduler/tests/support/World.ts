/**
 * Workers, a store and any number of owners of one cell on a virtual clock, with checks that are independent of the owners.
 */
import {
  brand, InvariantCounter, SeededRandom, SilentLog, SilentMetrics, VirtualClock,
  type CellId, type DataCentre, type Epoch, type MemberId, type RackId, type TaskId, type TeamName
} from '@auburnpin/common'
import type { ListedVm, TaskSpec } from '@auburnpin/core'
import { cellKey, claimCell, type CellRow, type EndpointsNotice } from '@auburnpin/cluster'
import { FakeLink, FakeObjectStore, FakeTableStore, FakeVmWorker, FakeWorkers, type FakeTaskBehaviour } from '@auburnpin/fakes'
import { RetryingTable, type TableStore } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import { CellRunner } from '../../src/index.ts'

export const CELL = brand<CellId>('colombo-0')
export const VM_CAPACITY = { processors: 4, memoryMb: 8_000, accelerators: 1 }
const STORE_DEADLINE_MS = 10_000
const STEP_MS = 250

/** Builds the spec of a batch task; `overrides` replaces fields. */
export const specOf = (id: string, overrides: Partial<TaskSpec> = {}): TaskSpec => ({
  id: brand<TaskId>(id),
  kind: 'batch',
  isUrgent: false,
  team: brand<TeamName>('buyers'),
  resources: { processors: 2, memoryMb: 1_000, accelerators: 0 },
  command: 'work',
  acceptedAt: 1,
  ...overrides
})

/** Description of a violated rule. */
export type Breach = string

/** Everything that the owners of the cell depend on. */
export class World {
  readonly clock = new VirtualClock()
  readonly link = new FakeLink(this.clock)
  readonly table = new MemoryTable()
  readonly objects = new Map<string, Uint8Array>()
  readonly vms = new Map<string, FakeVmWorker>()
  readonly invariants = new InvariantCounter()
  readonly breaches: Breach[] = []
  readonly published: EndpointsNotice[] = []
  readonly #behaviourOf: (id: string) => FakeTaskBehaviour
  listed: ListedVm[] = []

  constructor (vmCount: number, behaviourOf: (id: string) => FakeTaskBehaviour) {
    this.#behaviourOf = behaviourOf
    for (let index = 1; index <= vmCount; index++) this.#addVm(`vm-${index}`)
  }

  /** Claims the cell for `member` and runs it; `undefined` if either fails. */
  async open (member: string, onLost: () => void = () => {}): Promise<CellRunner | undefined> {
    const random = new SeededRandom(member.length + member.charCodeAt(0))
    const table = new RetryingTable(new FakeTableStore(this.table, this.link, member), this.clock, random, STORE_DEADLINE_MS)
    const row = await table.read(cellKey(CELL))
    if (row.err) return undefined
    const observed = row.val === null ? undefined : { row: row.val.value as CellRow, version: row.val.version }
    const identity = { member: brand<MemberId>(member), dataCentre: brand<DataCentre>('colombo'), roles: [], peerAddress: '', incarnation: member }
    const claimed = await claimCell(table, random, identity, CELL, observed)
    if (claimed.err || claimed.val === null) return undefined
    const opened = await CellRunner.open(claimed.val, [CELL], this.ports(member, table), onLost)
    if (opened.err) return undefined
    opened.val.updateVms(this.listed)
    return opened.val
  }

  /** Dependencies of a runner of `member`. */
  ports (member: string, table: TableStore): Parameters<typeof CellRunner.open>[2] {
    return {
      table,
      objects: new FakeObjectStore(this.objects, this.link, member),
      workers: new FakeWorkers(this.vms, this.link, member),
      clock: this.clock,
      random: new SeededRandom(member.length),
      log: new SilentLog(),
      metrics: new SilentMetrics(),
      invariants: this.invariants,
      publish: notice => this.published.push(notice)
    }
  }

  /** Opens the cell while the virtual clock advances. */
  async openWithin (member: string, limitMs: number, onLost: () => void = () => {}): Promise<CellRunner | undefined> {
    const opening: { runner?: CellRunner, isDone: boolean } = { isDone: false }
    const open = async (): Promise<void> => {
      opening.runner = await this.open(member, onLost)
      opening.isDone = true
    }
    void open()
    await this.until(limitMs, () => opening.isDone)
    return opening.runner
  }

  /** Advances the clock until the condition holds or the limit is reached; returns whether it holds. */
  async until (limitMs: number, holds: () => boolean): Promise<boolean> {
    for (let waited = 0; waited < limitMs; waited += STEP_MS) {
      if (holds()) return true
      await this.clock.advance(STEP_MS)
    }
    return holds()
  }

  /** Number of times that the task finished at the workers. */
  finishes (id: string): number {
    return this.#events().filter(event => event.kind === 'ended' && event.id === id && event.end === 'finished').length
  }

  /** Number of times that the task was started at the workers. */
  starts (id: string): number {
    return this.#events().filter(event => event.kind === 'started' && event.id === id).length
  }

  /** Names of the VMs that run the task now. */
  runningOn (id: string): string[] {
    const names: string[] = []
    for (const [name, vm] of this.vms) {
      if (vm.state.entries.some(entry => entry.start.id === id && entry.state === 'running')) names.push(name)
    }
    return names
  }

  /** All breaches so far, over-committed VMs and violated invariants included. */
  allBreaches (): Breach[] {
    const found = [...this.breaches]
    for (const [name, vm] of this.vms) {
      if (vm.state.overCommitments > 0 || vm.state.peakCommitted.processors > VM_CAPACITY.processors) found.push(`${name} over-committed`)
    }
    if (this.invariants.total > 0) found.push(`${this.invariants.total} invariants broken`)
    return found
  }

  #addVm (name: string): void {
    const vm = new FakeVmWorker(VM_CAPACITY, this.clock, start => {
      const places = this.runningOn(start.id)
      if (places.length > 1) this.breaches.push(`${start.id} runs on ${places.join(' and ')} at ${this.clock.now()}`)
      return this.#behaviourOf(start.id)
    })
    this.vms.set(name, vm)
    this.listed.push({
      id: brand(name), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: name, resources: VM_CAPACITY, isLeaving: false
    })
  }

  #events () {
    return [...this.vms.values()].flatMap(vm => [...vm.events])
  }
}

/** Returns the epoch in the cell's row. */
export const epochIn = (world: World): Epoch => (world.table.read(cellKey(CELL))?.value as { value: CellRow }).value.epoch
