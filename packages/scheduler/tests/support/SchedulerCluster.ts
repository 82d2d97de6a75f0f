/**
 * Several schedulers on one virtual clock and one store, to test the ownership of cells.
 */
import {
  brand, InvariantCounter, SeededRandom, SilentLog, SilentMetrics, VirtualClock, type CellId, type DataCentre, type MemberId
} from '@auburnpin/common'
import { CellDirectory, cellKey, ConfigurationFollower, LEASE_DEADLINE_MS, Membership, type CellRow } from '@auburnpin/cluster'
import { FakeLink, FakeObjectStore, FakePeers, FakeTableStore, FakeVmList, FakeVmWorker, FakeWorkers, IMMEDIATE, type CallDelivery, type FakePeerNetwork } from '@auburnpin/fakes'
import { RetryingTable } from '@auburnpin/ports'
import type { TaskSpec } from '@auburnpin/core'
import { MemoryTable } from '@auburnpin/stand-in'
import { Scheduler } from '../../src/index.ts'

const REFUSED: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'refused' }

type Running = Readonly<{
  member: string, scheduler: Scheduler, membership: Membership, directory: CellDirectory, configuration: ConfigurationFollower, peers: FakePeers
}>

export class SchedulerCluster {
  readonly clock = new VirtualClock()
  readonly memory = new MemoryTable()
  readonly #link = new FakeLink(this.clock)
  readonly vms = new Map<string, FakeVmWorker>()
  readonly vmList = new FakeVmList(this.#link)
  readonly #network: FakePeerNetwork = new Map()
  readonly #random: SeededRandom
  readonly #dataCentres: readonly DataCentre[]
  readonly #cellsPerDataCentre: number
  readonly #running = new Map<string, Running>()
  readonly #dead = new Set<string>()
  /** Number of worker lease calls, by process. */
  readonly leases = new Map<string, number>()
  deliveryOf: (from: string, operation: string) => CallDelivery = () => IMMEDIATE

  constructor (dataCentres: readonly string[], cellsPerDataCentre: number, seed = 1) {
    this.#random = new SeededRandom(seed)
    this.#dataCentres = dataCentres.map(name => brand<DataCentre>(name))
    this.#cellsPerDataCentre = cellsPerDataCentre
    this.#link.setDeliveryPolicy((from, to, operation) => {
      if (operation === 'lease') this.leases.set(from, (this.leases.get(from) ?? 0) + 1)
      return this.#dead.has(from) || this.#dead.has(to) ? REFUSED : this.deliveryOf(from, operation)
    })
  }

  get names (): string[] {
    return [...this.#running.keys()]
  }

  /** Starts a process; `member` in the form DATACENTRE.NUMBER, with a suffix for each incarnation. */
  start (member: string, incarnation = '1'): void {
    const from = `${member}#${incarnation}`
    const log = new SilentLog()
    const table = new RetryingTable(new FakeTableStore(this.memory, this.#link, from), this.clock, this.#random, LEASE_DEADLINE_MS)
    const identity = {
      member: brand<MemberId>(member), dataCentre: brand<DataCentre>(member.split('.')[0] ?? ''), roles: ['scheduler' as const], peerAddress: '127.0.0.1:1', incarnation: from
    }
    const membership = new Membership(identity, table, this.clock, this.#random, log)
    const directory = new CellDirectory(table, this.clock, log)
    const peers = new FakePeers(brand<MemberId>(from), this.#network, this.#link)
    const configuration = new ConfigurationFollower(table, peers, this.clock, log)
    const scheduler = new Scheduler({ dataCentres: this.#dataCentres, cellsPerDataCentre: this.#cellsPerDataCentre }, {
      table,
      membership,
      directory,
      configuration,
      log,
      clock: this.clock,
      random: this.#random,
      metrics: new SilentMetrics(),
      invariants: new InvariantCounter(),
      objects: new FakeObjectStore(new Map(), this.#link, from),
      workers: new FakeWorkers(this.vms, this.#link, from),
      reachable: () => [...this.#running.keys()].map(name => brand<MemberId>(name)),
      vmList: this.vmList,
      publish: () => {},
      broadcast: notice => peers.broadcast(notice)
    })
    peers.onNotice((notice, sender) => {
      if (notice.kind === 'cells-released' && sender !== from) void scheduler.reconcileNow()
    })
    for (const task of [membership, directory, configuration, scheduler]) task.start()
    this.#running.set(member, { member: from, scheduler, membership, directory, configuration, peers })
  }

  /** Submits a task to the owner of the first owned cell; does nothing if no cell is owned. */
  submit (spec: TaskSpec): void {
    const [cell] = this.owners.keys()
    const owner = this.#running.get(this.owners.values().next().value ?? '')
    if (cell !== undefined) void owner?.scheduler.handleRequest({ kind: 'submit', cell, spec })
  }

  /** Kills the process without a shutdown. */
  kill (member: string): void {
    const running = this.#running.get(member)
    if (running === undefined) return
    this.#dead.add(running.member)
    running.peers.disconnect()
    this.#running.delete(member)
  }

  /** Stops the process as planned; resolves to whether it completed within the limit. */
  async stop (member: string, limitMs: number): Promise<boolean> {
    const running = this.#running.get(member)
    if (running === undefined) return false
    const state = { isStopped: false }
    const stop = async (): Promise<void> => {
      await running.membership.leave()
      await running.scheduler.stop()
      await running.configuration.stop()
      await running.directory.stop()
      await running.membership.stop()
      state.isStopped = true
    }
    void stop()
    const isStopped = await this.until(limitMs, () => state.isStopped)
    this.#running.delete(member)
    running.peers.disconnect()
    return isStopped
  }

  /** Advances the clock until the condition holds or the limit is reached; returns whether it holds. */
  async until (limitMs: number, holds: () => boolean): Promise<boolean> {
    for (let waitedMs = 0; waitedMs < limitMs; waitedMs += 100) {
      if (holds()) return true
      await this.clock.advance(100)
    }
    return holds()
  }

  /** The running owner of each cell, if the store names the same one. */
  get owners (): ReadonlyMap<CellId, string> {
    const owners = new Map<CellId, string>()
    for (const [member, running] of this.#running) {
      for (const cell of running.scheduler.owned) {
        const row = this.memory.read(cellKey(cell))?.value as { value: CellRow } | undefined
        if (row?.value.incarnation === running.member) owners.set(cell, member)
      }
    }
    return owners
  }

  get isAllOwned (): boolean {
    return this.owners.size === this.#dataCentres.length * this.#cellsPerDataCentre
  }

  /** All terms of all cells in the order in which they were written to the store. */
  get terms (): CellRow[] {
    const rows = this.memory.history.filter(write => write.key.startsWith('cells/')).map(write => (write.value as { value: CellRow }).value)
    return rows.filter(row => row.owner !== null)
  }
}
