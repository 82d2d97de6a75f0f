/**
 * One process of auburnpin on fakes: the real shells, without sockets.
 */
import { brand, InvariantCounter, SilentLog, SilentMetrics, type CellId, type Clock, type DataCentre, type MemberId, type Random } from '@auburnpin/common'
import { CellDirectory, ConfigurationFollower, EndpointDirectory, Membership, STORE_DEADLINE_MS } from '@auburnpin/cluster'
import { FakeObjectStore, FakePeers, FakeTableStore, FakeWorkers, PausableClock, type FakeLink, type FakePeerNetwork, type FakeVmList, type FakeVmWorker } from '@auburnpin/fakes'
import type { ActionPorts } from '@auburnpin/gateway'
import { ReliableTable, type TableStore } from '@auburnpin/ports'
import { Scheduler, type RegionLayout } from '@auburnpin/scheduler'
import type { MemoryTable } from '@auburnpin/stand-in'

/** What all processes share: the outside world. */
export type SoakSurroundings = Readonly<{
  clock: Clock
  table: MemoryTable
  objects: Map<string, Uint8Array>
  link: FakeLink
  vmList: FakeVmList
  workers: ReadonlyMap<string, FakeVmWorker>
  network: FakePeerNetwork
  layout: RegionLayout
  /** Lets a test break the store client on purpose. */
  wrapTable: (table: TableStore) => TableStore
}>

/** Runs from `start` until it is stopped, or killed without any code of its own running. */
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
  #isGone = false

  constructor (id: MemberId, dataCentre: DataCentre, random: Random, surroundings: SoakSurroundings) {
    const { link, network, layout } = surroundings
    this.#id = id
    this.#clock = new PausableClock(surroundings.clock)
    const log = new SilentLog()
    const table = new ReliableTable(surroundings.wrapTable(new FakeTableStore(surroundings.table, link, id)), this.#clock, random, STORE_DEADLINE_MS)
    this.#peers = new FakePeers(id, network, link)
    this.#directory = new CellDirectory(table, this.#clock, log)
    this.#configuration = new ConfigurationFollower(table, this.#peers, this.#clock, log)
    const endpoints = new EndpointDirectory()
    const identity = { member: id, dataCentre, roles: ['gateway', 'scheduler'] as const, peerAddress: id, incarnation: random.id(12) }
    this.#membership = new Membership(identity, table, this.#clock, random, log)
    this.#scheduler = new Scheduler(layout, {
      table,
      objects: new FakeObjectStore(surroundings.objects, link, id),
      workers: new FakeWorkers(surroundings.workers, link, id),
      clock: this.#clock,
      random,
      log,
      metrics: new SilentMetrics(),
      invariants: this.#invariants,
      publish: notice => this.#peers.broadcast(notice),
      announce: notice => this.#peers.broadcast(notice),
      vmList: surroundings.vmList,
      membership: this.#membership,
      directory: this.#directory,
      configuration: this.#configuration,
      reachable: () => this.#peers.reachable
    })
    this.#peers.onNotice((notice, from) => {
      if (notice.kind === 'endpoints') endpoints.publish(notice)
      if (notice.kind === 'cells-released' && from !== id && !this.#isGone) void this.#scheduler.reconsider()
    })
    this.#peers.onRequest(request => this.#scheduler.answer(request))
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
      cells: this.#scheduler.cells
    }
  }

  get id (): MemberId {
    return this.#id
  }

  get isGone (): boolean {
    return this.#isGone
  }

  /** What an operator's action works with at this member. */
  get ports (): ActionPorts {
    return this.#ports
  }

  get configVersion (): number {
    return this.#configuration.current.version
  }

  get brokenInvariants (): number {
    return this.#invariants.total
  }

  get owned (): readonly CellId[] {
    return this.#scheduler.owned
  }

  /** Resolves once the process runs; `undefined` while it does. */
  get running (): Promise<void> | undefined {
    return this.#clock.running
  }

  start (): void {
    this.#membership.start()
    this.#directory.start()
    this.#configuration.start()
    this.#scheduler.start()
  }

  /** A planned stop. */
  async stop (): Promise<void> {
    this.#isGone = true
    await this.#membership.leave()
    await this.#scheduler.stop()
    await this.#configuration.stop()
    await this.#directory.stop()
    await this.#membership.stop()
    this.#peers.disconnect()
  }

  /** The process dies: it never runs again. */
  kill (): void {
    this.#isGone = true
    this.#clock.pause()
    this.#peers.disconnect()
  }

  pause (): void {
    this.#clock.pause()
  }

  resume (): void {
    if (!this.#isGone) this.#clock.resume()
  }
}

/** The id of the member with an index from 0. */
export const memberId = (index: number): MemberId => brand<MemberId>(`entry-${index + 1}`)
