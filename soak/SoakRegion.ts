/**
 * A region on fakes: nine members, twelve workers, a store, and everything that can go wrong between them.
 */
import { brand, SeededRandom, VirtualClock, type DataCentre, type MemberId, type RackId, type Random, type VmId } from '@auburnpin/common'
import { FakeLink, FakeVmList, FakeVmWorker, PROMPT, type Fate, type FakePeerNetwork } from '@auburnpin/fakes'
import type { TableStore, VmEntry } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import { Observer } from './Observer.ts'
import { memberId, SoakMember, type SoakSurroundings } from './SoakMember.ts'

/** A deliberately broken part, to show that the checks catch it. */
export type Mutant = Readonly<{
  wrapTable?: (table: TableStore) => TableStore
  spoilWorker?: (worker: FakeVmWorker) => void
  /** Changes what the VM list says of a VM. */
  spoilVm?: (vm: VmEntry) => VmEntry
}>

/** The store's state as seen by everyone. */
export type StoreState = 'well' | 'down' | 'slow' | 'failing' | 'losing-answers'

const DATA_CENTRES = ['colombo', 'negombo', 'kalutara'].map(name => brand<DataCentre>(name))
const MEMBERS = 9
const VMS = 12
const VMS_PER_RACK = 2
const ROOM = { processors: 32, memoryMb: 125_000, accelerators: 0 }
const SLOW_STORE_MS = 5_000
const SLOW_WORKER_MS = 6_000
const ORDINARY_MS = 2
const JOB_SECONDS = /^work (\d+)/

/** Runs on a virtual clock; a seed gives the same history every time. */
export class SoakRegion {
  readonly clock = new VirtualClock()
  readonly #random: Random
  readonly #table = new MemoryTable()
  readonly #link: FakeLink
  readonly #workers = new Map<string, FakeVmWorker>()
  readonly #vmList: FakeVmList
  readonly #surroundings: SoakSurroundings
  readonly #cuts = new Set<string>()
  readonly #bad = new Set<string>()
  readonly #slowWorkers = new Set<string>()
  readonly observer: Observer
  #vms: VmEntry[] = []
  #members: SoakMember[] = []
  #incarnations = 0
  #store: StoreState = 'well'
  #calls = 0

  constructor (seed: number, mutant: Mutant) {
    this.#random = new SeededRandom(seed)
    this.#link = new FakeLink(this.clock)
    this.#link.setFates((from, to) => this.#fateOf(from, to))
    this.#link.setGate(process => this.#members.find(member => member.id === process)?.running)
    // The VM list has no faults of its own here; its lag is the poll's.
    this.#vmList = new FakeVmList(new FakeLink(this.clock))
    this.observer = new Observer(this.#workers, this.#table)
    this.#surroundings = {
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

  /** A member that runs, chosen from `index` on. */
  liveMember (index: number): SoakMember | undefined {
    const live = this.#members.filter(member => !member.isGone && member.running === undefined)
    return live[index % Math.max(1, live.length)]
  }

  member (index: number): SoakMember {
    return this.#members[index % MEMBERS] as SoakMember
  }

  /** A new process in the place of one that is gone. */
  restart (index: number): void {
    const place = index % MEMBERS
    if (!this.member(place).isGone) return
    this.#members[place] = this.#newMember(place)
  }

  setStore (state: StoreState): void {
    this.#store = state
  }

  /** Cuts or mends the way between two parties. */
  setCut (one: string, other: string, isCut: boolean): void {
    for (const key of [`${one}>${other}`, `${other}>${one}`]) {
      if (isCut) this.#cuts.add(key)
      else this.#cuts.delete(key)
    }
  }

  setBad (vm: VmEntry, isBad: boolean): void {
    if (isBad) this.#bad.add(vm.id)
    else this.#bad.delete(vm.id)
  }

  setSlow (vm: VmEntry, isSlow: boolean): void {
    if (isSlow) this.#slowWorkers.add(vm.address)
    else this.#slowWorkers.delete(vm.address)
  }

  /** The VM dies; the VM list drops it. */
  killVm (vm: VmEntry): void {
    this.#workers.get(vm.address)?.kill()
    this.#vms = this.#vms.filter(other => other.id !== vm.id)
    this.#vmList.set(this.#vms)
  }

  /** The platform announces that the VM will go. */
  drainVm (vm: VmEntry): void {
    this.#vms = this.#vms.map(other => other.id === vm.id ? { ...other, state: 'leaving' } : other)
    this.#vmList.set(this.#vms)
  }

  /** Ends every fault and brings every process back. */
  heal (): void {
    this.#store = 'well'
    this.#cuts.clear()
    this.#bad.clear()
    this.#slowWorkers.clear()
    for (const [index, member] of this.#members.entries()) {
      if (member.isGone) this.restart(index)
      else member.resume()
    }
  }

  /** Lets time pass and looks at every process once a second. */
  async advance (seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      await this.clock.advance(1_000)
      for (const member of this.#members) {
        if (!member.isGone) this.observer.sawVersion(`${member.id}/${member.ports.membership.identity.incarnation}`, member.configVersion)
      }
    }
  }

  #newMember (index: number): SoakMember {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] as DataCentre
    const member = new SoakMember(memberId(index), dataCentre, new SeededRandom(1_000 + this.#incarnations++), this.#surroundings)
    member.start()
    return member
  }

  #addVm (index: number, mutant: Mutant): void {
    const rackIndex = Math.floor(index / VMS_PER_RACK)
    const dataCentre = DATA_CENTRES[rackIndex % DATA_CENTRES.length] as DataCentre
    const id = brand<VmId>(`vm-${index + 1}`)
    const address = `10.0.0.${index + 1}:1`
    const worker = new FakeVmWorker(ROOM, this.clock, start => {
      this.observer.started(start)
      const durationMs = Number(JOB_SECONDS.exec(start.command)?.[1] ?? 0) * 1_000
      if (this.#bad.has(id)) return { kind: 'fail', afterMs: 100 }
      return durationMs > 0 ? { kind: 'finish', afterMs: durationMs } : { kind: 'stay' }
    })
    mutant.spoilWorker?.(worker)
    this.#workers.set(address, worker)
    const vm: VmEntry = { id, dataCentre, rack: brand<RackId>(`rack-${rackIndex}`), address, resources: ROOM, state: 'live' }
    this.#vms.push(mutant.spoilVm?.(vm) ?? vm)
    this.#vmList.set(this.#vms)
  }

  #fateOf (from: string, to: string): Fate {
    if (this.#cuts.has(`${from}>${to}`)) return { ...PROMPT, loss: 'there' }
    if (to === 'store') return this.#storeFate()
    if (this.#slowWorkers.has(to)) return { thereMs: this.#random.below(SLOW_WORKER_MS), backMs: this.#random.below(SLOW_WORKER_MS), loss: 'none' }
    if (this.#cuts.has(`all>${to}`)) return { ...PROMPT, loss: 'there' }
    return { thereMs: ORDINARY_MS, backMs: ORDINARY_MS, loss: 'none' }
  }

  #storeFate (): Fate {
    this.#calls++
    const prompt: Fate = { thereMs: ORDINARY_MS, backMs: ORDINARY_MS, loss: 'none' }
    if (this.#store === 'down') return { ...prompt, loss: 'refused' }
    if (this.#store === 'slow') return { ...prompt, backMs: SLOW_STORE_MS }
    if (this.#store === 'failing' && this.#calls % 2 === 0) return { ...prompt, loss: 'refused' }
    if (this.#store === 'losing-answers' && this.#calls % 3 === 0) return { ...prompt, loss: 'back' }
    return prompt
  }

  /** Everyone who may be named in a cut. */
  get memberIds (): readonly MemberId[] {
    return this.#members.map(member => member.id)
  }
}
