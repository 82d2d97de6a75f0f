/**
 * A process of auburnpin with the real components, on fakes of everything outside it and without sockets.
 */
import { brand, InvariantCounter, SilentLog, SilentMetrics, type CellId, type Clock, type DataCentre, type MemberId, type Random } from '@auburnpin/common'
import { CellDirectory, ConfigurationFollower, EndpointDirectory, Membership, STORE_DEADLINE_MS } from '@auburnpin/cluster'
import { FakeObjectStore, FakePeers, FakeTableStore, FakeWorkers, PausableClock, type FakeLink, type FakePeerNetwork, type FakeVmList, type FakeVmWorker } from '@auburnpin/fakes'
import type { ActionPorts } from '@auburnpin/gateway'
import { RetryingTable, type TableStore } from '@auburnpin/ports'
import { Scheduler, type RegionLayout } from '@auburnpin/scheduler'
import type { MemoryTable } from '@auburnpin/stand-in'

/** Everything outside the processes, shared by all of them. */
export type SoakEnvironment = Readonly<{
  clock: Clock
  table: MemoryTable
  objects: Map<string, Uint8Array>
  link: FakeLink
  vmList: FakeVmList
  workers: ReadonlyMap<string, FakeVmWorker>
  network: FakePeerNetwork
  layout: RegionLayout
  /** Wraps the store client; mutants replace it by a faulty one. */
  wrapTable: (table: TableStore) => TableStore
}>

/** Runs from `start` until `stop`, or until `kill`, after which none of its code runs. */
export class SoakMember {
  readonly #id: MemberId
  readonly #clock: PausableClock
  readonly #peers: FakePeers
  readonly #membership: Membership
  readonly #directory: CellDirectory
  readonly #configuration: ConfigurationFollower
  readonly #scheduler: Scheduler
  readonly #invariants = new InvariantCounter()
  readonly #ports: ActionPorts
  #isTerminated = false

  constructor (id: MemberId, dataCentre: DataCentre, random: Random, environment: SoakEnvironment) {
    const { link, network, layout } = environment
    this.#id = id
    this.#clock = new PausableClock(environment.clock)
    const log = new SilentLog()
    const table = new RetryingTable(environment.wrapTable(new FakeTableStore(environment.table, link, id)), this.#clock, random, STORE_DEADLINE_MS)
    this.#peers = new FakePeers(id, network, link)
    this.#directory = new CellDirectory(table, this.#clock, log)
    this.#configuration = new ConfigurationFollower(table, this.#peers, this.#clock, log)
    const endpoints = new EndpointDirectory()
    const identity = { member: id, dataCentre, roles: ['gateway', 'scheduler'] as const, peerAddress: id, incarnation: random.id(12) }
    this.#membership = new Membership(identity, table, this.#clock, random, log)
    this.#scheduler = new Scheduler(layout, {
      table,
      objects: new FakeObjectStore(environment.objects, link, id),
      workers: new FakeWorkers(environment.workers, link, id),
      clock: this.#clock,
      random,
      log,
      metrics: new SilentMetrics(),
      invariants: this.#invariants,
      publish: notice => this.#peers.broadcast(notice),
      broadcast: notice => this.#peers.broadcast(notice),
      vmList: environment.vmList,
      membership: this.#membership,
      directory: this.#directory,
      configuration: this.#configuration,
      reachable: () => this.#peers.reachable
    })
    this.#peers.onNotice((notice, from) => {
      if (notice.kind === 'endpoints') endpoints.record(notice)
      if (notice.kind === 'cells-released' && from !== id && !this.#isTerminated) void this.#scheduler.reconcileNow()
    })
    this.#peers.onRequest(request => this.#scheduler.handleRequest(request))
    this.#configuration.onChange(configuration => this.#membership.setConfigVersion(configuration.version))
    this.#ports = {
      table,
      clock: this.#clock,
      random,
      peers: this.#peers,
      membership: this.#membership,
      directory: this.#directory,
      configuration: this.#configuration,
      endpoints,
      cells: this.#scheduler.cells,
      openCells: () => this.#scheduler.openCells,
      vmList: environment.vmList
    }
  }

  get id (): MemberId {
    return this.#id
  }

  get isTerminated (): boolean {
    return this.#isTerminated
  }

  /** The ports that operators' actions use at this member. */
  get ports (): ActionPorts {
    return this.#ports
  }

  get configVersion (): number {
    return this.#configuration.current.version
  }

  get brokenInvariants (): number {
    return this.#invariants.total
  }

  get ownedCells (): readonly CellId[] {
    return this.#scheduler.owned
  }

  /** Resolves once the paused process resumes; `undefined` while it runs. */
  get untilResumed (): Promise<void> | undefined {
    return this.#clock.running
  }

  start (): void {
    this.#membership.start()
    this.#directory.start()
    this.#configuration.start()
    this.#scheduler.start()
  }

  /** Stops the process in the planned way: it leaves the membership and releases its cells first. */
  async stop (): Promise<void> {
    this.#isTerminated = true
    await this.#membership.leave()
    await this.#scheduler.stop()
    await this.#configuration.stop()
    await this.#directory.stop()
    await this.#membership.stop()
    this.#peers.disconnect()
  }

  /** Crashes the process: its clock never resumes and its connections are closed. */
  kill (): void {
    this.#isTerminated = true
    this.#clock.pause()
    this.#peers.disconnect()
  }

  pause (): void {
    this.#clock.pause()
  }

  resume (): void {
    if (!this.#isTerminated) this.#clock.resume()
  }
}

/** The id of the member with the given index, counted from 0. */
export const memberId = (index: number): MemberId => brand<MemberId>(`entry-${index + 1}`)
