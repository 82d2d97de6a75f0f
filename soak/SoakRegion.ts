/**
 * A region on fakes: nine members, twelve workers and a store, with faults that can be injected between them.
 */
import { brand, SeededRandom, VirtualClock, type DataCentre, type MemberId, type RackId, type Random, type VmId } from '@auburnpin/common'
import { FakeLink, FakeVmList, FakeVmWorker, IMMEDIATE, type CallDelivery, type FakePeerNetwork } from '@auburnpin/fakes'
import type { TableStore, VmEntry } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import { Observer } from './Observer.ts'
import { memberId, SoakMember, type SoakEnvironment } from './SoakMember.ts'

/** A deliberate fault in a component, to show that the checks detect it. */
export type Mutant = Readonly<{
  wrapTable?: (table: TableStore) => TableStore
  mutateWorker?: (worker: FakeVmWorker) => void
  /** Changes the entry of a VM in the VM list. */
  mutateVm?: (vm: VmEntry) => VmEntry
}>

/** The store's state, the same for all processes. */
export type StoreState = 'well' | 'down' | 'slow' | 'failing' | 'losing-answers'

const DATA_CENTRES = ['colombo', 'negombo', 'kalutara'].map(name => brand<DataCentre>(name))
const MEMBERS = 9
const VMS = 12
const VMS_PER_RACK = 2
const VM_RESOURCES = { processors: 32, memoryMb: 125_000, accelerators: 0 }
const SLOW_RESPONSE_MS = 5_000
const MAX_SLOW_WORKER_MS = 6_000
const ONE_WAY_MS = 2
const JOB_SECONDS = /^work (\d+)/

/** Runs on a virtual clock; the same seed reproduces the same history. */
export class SoakRegion {
  readonly clock = new VirtualClock()
  readonly #random: Random
  readonly #table = new MemoryTable()
  readonly #link: FakeLink
  readonly #workers = new Map<string, FakeVmWorker>()
  readonly #vmList: FakeVmList
  readonly #environment: SoakEnvironment
  readonly #cuts = new Set<string>()
  readonly #faultyVms = new Set<string>()
  readonly #slowWorkers = new Set<string>()
  readonly observer: Observer
  #vms: VmEntry[] = []
  #members: SoakMember[] = []
  #incarnations = 0
  #store: StoreState = 'well'
  #storeCalls = 0

  constructor (seed: number, mutant: Mutant) {
    this.#random = new SeededRandom(seed)
    this.#link = new FakeLink(this.clock)
    this.#link.setDeliveryPolicy((from, to) => this.#deliveryOf(from, to))
    this.#link.setGate(process => this.#members.find(member => member.id === process)?.untilResumed)
    // No faults are injected into the VM list; it is out of date only by the polling interval.
    this.#vmList = new FakeVmList(new FakeLink(this.clock))
    this.observer = new Observer(this.#workers, this.#table)
    this.#environment = {
      clock: this.clock,
      table: this.#table,
      objects: new Map(),
      link: this.#link,
      vmList: this.#vmList,
      workers: this.#workers,
      network: new Map() as FakePeerNetwork,
      layout: { dataCentres: DATA_CENTRES, cellsPerDataCentre: 1 },
      wrapTable: mutant.wrapTable ?? (table => table)
    }
    for (let vm = 0; vm < VMS; vm++) this.#addVm(vm, mutant)
    for (let index = 0; index < MEMBERS; index++) this.#members.push(this.#newMember(index))
  }

  get members (): readonly SoakMember[] {
    return this.#members
  }

  get vms (): readonly VmEntry[] {
    return this.#vms
  }

  get random (): Random {
    return this.#random
  }

  /** One of the running members, selected by index modulo their number. */
  liveMember (index: number): SoakMember | undefined {
    const live = this.#members.filter(member => !member.isTerminated && member.untilResumed === undefined)
    return live[index % Math.max(1, live.length)]
  }

  member (index: number): SoakMember {
    return this.#members[index % MEMBERS] as SoakMember
  }

  /** Starts a new process in place of a terminated one. */
  restart (index: number): void {
    const place = index % MEMBERS
    if (!this.member(place).isTerminated) return
    this.#members[place] = this.#newMember(place)
  }

  setStore (state: StoreState): void {
    this.#store = state
  }

  /** Drops or restores messages between two parties, in both directions. */
  setCut (one: string, other: string, isCut: boolean): void {
    for (const key of [`${one}>${other}`, `${other}>${one}`]) {
      if (isCut) this.#cuts.add(key)
      else this.#cuts.delete(key)
    }
  }

  setFaulty (vm: VmEntry, isFaulty: boolean): void {
    if (isFaulty) this.#faultyVms.add(vm.id)
    else this.#faultyVms.delete(vm.id)
  }

  setSlow (vm: VmEntry, isSlow: boolean): void {
    if (isSlow) this.#slowWorkers.add(vm.address)
    else this.#slowWorkers.delete(vm.address)
  }

  /** Crashes the VM and removes it from the VM list. */
  killVm (vm: VmEntry): void {
    this.#workers.get(vm.address)?.kill()
    this.#vms = this.#vms.filter(other => other.id !== vm.id)
    this.#vmList.set(this.#vms)
  }

  /** Marks the VM as leaving in the VM list. */
  drainVm (vm: VmEntry): void {
    this.#vms = this.#vms.map(other => other.id === vm.id ? { ...other, state: 'leaving' } : other)
    this.#vmList.set(this.#vms)
  }

  /** Ends all faults, restarts terminated processes and resumes paused ones. */
  heal (): void {
    this.#store = 'well'
    this.#cuts.clear()
    this.#faultyVms.clear()
    this.#slowWorkers.clear()
    for (const [index, member] of this.#members.entries()) {
      if (member.isTerminated) this.restart(index)
      else member.resume()
    }
  }

  /** Advances the clock and records the configuration version of each process once a second. */
  async advance (seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      await this.clock.advance(1_000)
      for (const member of this.#members) {
        if (!member.isTerminated) this.observer.recordVersion(`${member.id}/${member.ports.membership.identity.incarnation}`, member.configVersion)
      }
    }
  }

  #newMember (index: number): SoakMember {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] as DataCentre
    const member = new SoakMember(memberId(index), dataCentre, new SeededRandom(1_000 + this.#incarnations++), this.#environment)
    member.start()
    return member
  }

  #addVm (index: number, mutant: Mutant): void {
    const rackIndex = Math.floor(index / VMS_PER_RACK)
    const dataCentre = DATA_CENTRES[rackIndex % DATA_CENTRES.length] as DataCentre
    const id = brand<VmId>(`vm-${index + 1}`)
    const address = `10.0.0.${index + 1}:1`
    const worker = new FakeVmWorker(VM_RESOURCES, this.clock, start => {
      this.observer.recordStart(start)
      const durationMs = Number(JOB_SECONDS.exec(start.command)?.[1] ?? 0) * 1_000
      if (this.#faultyVms.has(id)) return { kind: 'fail', afterMs: 100 }
      return durationMs > 0 ? { kind: 'finish', afterMs: durationMs } : { kind: 'stay' }
    })
    mutant.mutateWorker?.(worker)
    this.#workers.set(address, worker)
    const vm: VmEntry = { id, dataCentre, rack: brand<RackId>(`rack-${rackIndex}`), address, resources: VM_RESOURCES, state: 'live' }
    this.#vms.push(mutant.mutateVm?.(vm) ?? vm)
    this.#vmList.set(this.#vms)
  }

  #deliveryOf (from: string, to: string): CallDelivery {
    if (this.#cuts.has(`${from}>${to}`)) return { ...IMMEDIATE, loss: 'there' }
    if (to === 'store') return this.#storeDelivery()
    if (this.#slowWorkers.has(to)) return { requestDelayMs: this.#random.below(MAX_SLOW_WORKER_MS), responseDelayMs: this.#random.below(MAX_SLOW_WORKER_MS), loss: 'none' }
    if (this.#cuts.has(`all>${to}`)) return { ...IMMEDIATE, loss: 'there' }
    return { requestDelayMs: ONE_WAY_MS, responseDelayMs: ONE_WAY_MS, loss: 'none' }
  }

  #storeDelivery (): CallDelivery {
    this.#storeCalls++
    const prompt: CallDelivery = { requestDelayMs: ONE_WAY_MS, responseDelayMs: ONE_WAY_MS, loss: 'none' }
    if (this.#store === 'down') return { ...prompt, loss: 'refused' }
    if (this.#store === 'slow') return { ...prompt, responseDelayMs: SLOW_RESPONSE_MS }
    if (this.#store === 'failing' && this.#storeCalls % 2 === 0) return { ...prompt, loss: 'refused' }
    if (this.#store === 'losing-answers' && this.#storeCalls % 3 === 0) return { ...prompt, loss: 'back' }
    return prompt
  }

  /** Ids of the members. */
  get memberIds (): readonly MemberId[] {
    return this.#members.map(member => member.id)
  }
}
