/**
 * One auburnpin process: creates and connects the components of the roles in its settings.
 */
import {
  AuburnpinError, brand, InvariantCounter, SilentMetrics, SystemClock, SystemRandom, type DataCentre, type Log, type MemberId, type Metrics
} from '@auburnpin/common'
import {
  callClassOf, CellDirectory, ConfigurationFollower, EndpointDirectory, LayoutGuard, LEASE_DEADLINE_MS, Membership, RegionSynchroniser, STORE_DEADLINE_MS, WebSocketPeers,
  type LayoutRow, type PeerReply, type PeerRequest
} from '@auburnpin/cluster'
import type { LiveGateway } from '@auburnpin/core'
import { CallerServer, OperatorServer } from '@auburnpin/gateway'
import {
  RateLimitedTable, HttpClient, HttpObjectStore, HttpTableStore, HttpVmList, HttpWorkers, RetryingTable, splitAddress, StoreGate, type TableStore
} from '@auburnpin/ports'
import { Scheduler } from '@auburnpin/scheduler'
import type { Settings } from './settings/settingsSchema.ts'
import { GaugeReporter } from './metrics/GaugeReporter.ts'
import { RecentMetrics } from './metrics/RecentMetrics.ts'
import { StatsdMetrics } from './metrics/StatsdMetrics.ts'
import { TeeMetrics } from './metrics/TeeMetrics.ts'

/** Addresses that a running member listens at. */
export type MemberAddresses = Readonly<{ peers: string, callers?: string, operators?: string }>

const STORE_SOCKETS = 32
const SOCKETS_PER_WORKER = 4
const INCARNATION_LENGTH = 12
/** How long the listener stays open after the health check reports leaving, so that load balancers stop sending requests, in milliseconds. */
const BALANCER_DRAIN_MS = 2_000

/** A member; it runs from `start` to `stop`. */
export class Member {
  readonly #settings: Settings
  readonly #log: Log
  readonly #clock = new SystemClock()
  readonly #random = new SystemRandom()
  readonly #invariants = new InvariantCounter()
  readonly #recentMetrics = new RecentMetrics(this.#clock)
  readonly #statsd: StatsdMetrics | undefined
  readonly #metrics: Metrics
  readonly #storeClient = new HttpClient(STORE_SOCKETS)
  readonly #workerClient = new HttpClient(SOCKETS_PER_WORKER)
  readonly #gate: StoreGate
  readonly #store: RateLimitedTable
  readonly #table: TableStore
  readonly #vmList: HttpVmList
  readonly #peers: WebSocketPeers
  readonly #directory: CellDirectory
  readonly #configuration: ConfigurationFollower
  readonly #endpoints = new EndpointDirectory()
  readonly #fatalErrorListeners: Array<(error: AuburnpinError) => void> = []
  readonly #layoutGuard: LayoutGuard
  #membership: Membership | undefined
  #region: RegionSynchroniser | undefined
  #scheduler: Scheduler | undefined
  #gaugeReporter: GaugeReporter | undefined
  #callerServer: CallerServer | undefined
  #operatorServer: OperatorServer | undefined

  constructor (settings: Settings, log: Log) {
    this.#settings = settings
    this.#log = log
    if (settings.metrics !== undefined) this.#statsd = new StatsdMetrics(settings.metrics.address, settings.member, error => log.warn(error.message))
    this.#metrics = new TeeMetrics([this.#recentMetrics, this.#statsd ?? new SilentMetrics()])
    this.#gate = new StoreGate(this.#clock, this.#random, this.#metrics)
    this.#store = new RateLimitedTable(new HttpTableStore(this.#storeClient, settings.platform.table), this.#gate, callClassOf)
    this.#table = new RetryingTable(this.#store, this.#clock, this.#random, STORE_DEADLINE_MS)
    this.#vmList = new HttpVmList(this.#storeClient, settings.platform.vmList)
    const [host, port] = splitAddress(settings.listen.peers)
    const member = brand<MemberId>(settings.member)
    this.#peers = new WebSocketPeers({ member, host, port, keys: settings.peerKeys, contacts: settings.contacts }, this.#clock, this.#random, log.forComponent('peers'))
    this.#directory = new CellDirectory(this.#table, this.#clock, log.forComponent('cells'))
    this.#configuration = new ConfigurationFollower(this.#table, this.#peers, this.#clock, log.forComponent('configuration'))
    this.#layoutGuard = new LayoutGuard(layoutOf(settings), this.#table, this.#clock, this.#random, log.forComponent('layout'), {
      onConfirmed: () => this.#startClaiming(),
      onMismatch: error => this.#reportFatalError(error)
    })
  }

  get invariants (): InvariantCounter {
    return this.#invariants
  }

  get configuration (): ConfigurationFollower {
    return this.#configuration
  }

  /**
   * Calls `listener` when this process must stop: a later process has taken its member id, or its settings divide the
   * region into cells differently from those of the other members.
   */
  onFatalError (listener: (error: AuburnpinError) => void): void {
    this.#fatalErrorListeners.push(listener)
  }

  /** Changes the keys with which members authenticate each other; open connections stay open. */
  setPeerKeys (keys: Settings['peerKeys']): void {
    this.#peers.setKeys(keys)
  }

  /** Opens all listeners, then joins the region. */
  async start (): Promise<MemberAddresses> {
    const peers = await this.#peers.listen()
    this.#peers.onNotice(notice => {
      if (notice.kind === 'endpoints') this.#endpoints.record(notice)
    })
    const membership = this.#createMembership(peers)
    const scheduler = this.#createScheduler(membership)
    this.#peers.onNotice((notice, from) => {
      if (notice.kind === 'cells-released' && from !== membership.identity.member) void scheduler.reconcileNow()
    })
    const region = new RegionSynchroniser({ membership, directory: this.#directory, endpoints: this.#endpoints }, this.#peers, this.#clock, this.#log.forComponent('region'))
    this.#region = region
    this.#peers.onRequest(request => this.#handlePeerRequest(request, scheduler, region))
    const gateway = await this.#openGateway(membership, scheduler)
    this.#gaugeReporter = new GaugeReporter({ membership, scheduler, configuration: this.#configuration, invariants: this.#invariants }, this.#clock, this.#metrics, this.#log)
    membership.start()
    this.#gaugeReporter.start()
    this.#directory.start()
    this.#configuration.start()
    region.start()
    this.#layoutGuard.start()
    if (this.#settings.roles.includes('scheduler')) scheduler.startPolling()
    this.#log.info('Member started', { member: this.#settings.member, peers, ...gateway })
    return { peers, ...gateway }
  }

  /** Leaves the region; requests and streams in progress are completed first. */
  async stop (): Promise<void> {
    this.#callerServer?.leave()
    await this.#membership?.leave()
    await this.#layoutGuard.stop()
    await this.#scheduler?.stop()
    await this.#clock.sleep(BALANCER_DRAIN_MS)
    await this.#callerServer?.close()
    await this.#operatorServer?.close()
    await this.#configuration.stop()
    await this.#region?.stop()
    await this.#directory.stop()
    await this.#membership?.stop()
    await this.#peers.close()
    await this.#gaugeReporter?.stop()
    await this.#statsd?.close()
    this.#storeClient.close()
    this.#workerClient.close()
    this.#log.info('Member stopped', { member: this.#settings.member })
  }

  #startClaiming (): void {
    if (this.#settings.roles.includes('scheduler')) this.#scheduler?.startClaiming()
  }

  #reportFatalError (error: AuburnpinError): void {
    this.#log.error(error.message, { kind: error.kind, remedy: error.remedy })
    for (const listener of this.#fatalErrorListeners) listener(error)
  }

  #createMembership (peerAddress: string): Membership {
    const { member, dataCentre, roles } = this.#settings
    const identity = {
      member: brand<MemberId>(member),
      dataCentre: brand<DataCentre>(dataCentre),
      roles,
      peerAddress,
      incarnation: this.#random.id(INCARNATION_LENGTH)
    }
    // A late lease renewal has no effect, so its deadline is shorter than that of other writes.
    const leaseTable = new RetryingTable(this.#store, this.#clock, this.#random, LEASE_DEADLINE_MS)
    const membership = new Membership(identity, leaseTable, this.#clock, this.#random, this.#log.forComponent('membership'))
    membership.onReplaced(() => this.#reportFatalError(memberReplacedError(member)))
    membership.onPoll(() => this.#configuration.expectPeers(membership.live.length > 1))
    membership.onPoll(() => this.#gate.setProcessCount(membership.live.length))
    membership.onPoll(() => this.#peers.setMembers(new Map(membership.live.map(row => [row.member, row.peerAddress]))))
    this.#configuration.onChange(configuration => membership.setConfigVersion(configuration.version))
    this.#membership = membership
    return membership
  }

  #createScheduler (membership: Membership): Scheduler {
    const { platform } = this.#settings
    this.#scheduler = new Scheduler(layoutOf(this.#settings), {
      table: this.#table,
      objects: new HttpObjectStore(this.#storeClient, platform.objects),
      workers: new HttpWorkers(this.#workerClient),
      clock: this.#clock,
      random: this.#random,
      log: this.#log.forComponent('scheduler'),
      metrics: this.#metrics,
      invariants: this.#invariants,
      publish: notice => this.#peers.broadcast(notice),
      broadcast: notice => this.#peers.broadcast(notice),
      vmList: this.#vmList,
      membership,
      directory: this.#directory,
      configuration: this.#configuration,
      reachable: () => this.#peers.reachable
    })
    return this.#scheduler
  }

  async #openGateway (membership: Membership, scheduler: Scheduler): Promise<Omit<MemberAddresses, 'peers'>> {
    const { listen, operators, roles } = this.#settings
    if (!roles.includes('gateway') || listen.callers === undefined || listen.operators === undefined) return {}
    const shared = { clock: this.#clock, random: this.#random, configuration: this.#configuration, endpoints: this.#endpoints }
    const callers = new CallerServer({
      ...shared,
      self: membership.identity.member,
      log: this.#log.forComponent('callers'),
      metrics: this.#metrics,
      limits: this.#settings.limits,
      sessionKeys: () => this.#settings.sessionKeys ?? this.#settings.peerKeys,
      gateways: () => this.#reachableGateways(membership),
      streams: this.#peers
    })
    membership.onPoll(() => callers.refresh())
    this.#callerServer = callers
    this.#operatorServer = new OperatorServer({
      ...shared,
      table: this.#table,
      peers: this.#peers,
      membership,
      directory: this.#directory,
      cells: scheduler.cells,
      openCells: () => scheduler.openCells,
      vmList: this.#vmList
    }, operators, this.#log.forComponent('operators'))
    return {
      callers: await this.#callerServer.listen(...splitAddress(listen.callers)),
      operators: await this.#operatorServer.listen(...splitAddress(listen.operators))
    }
  }

  // Without an open connection a gateway can't be queried, even if its lease is valid.
  #reachableGateways (membership: Membership): readonly LiveGateway[] {
    const { member, dataCentre } = membership.identity
    const gateways: LiveGateway[] = [{ member, dataCentre }]
    const reachable = new Set(this.#peers.reachable)
    for (const row of membership.live) {
      const isCandidate = row.member !== member && !row.isLeaving && row.roles.includes('gateway')
      if (isCandidate && reachable.has(row.member)) gateways.push({ member: row.member, dataCentre: row.dataCentre })
    }
    return gateways
  }

  async #handlePeerRequest (request: PeerRequest, scheduler: Scheduler, region: RegionSynchroniser): Promise<PeerReply> {
    if (request.kind === 'list-endpoints') return region.answerEndpoints(request.known ?? [])
    if (request.kind === 'read-region') return region.answerRegion()
    if (request.kind === 'read-configuration') return this.#configuration.answer(request.after)
    if (request.kind === 'read-figures') return { kind: 'figures', figures: this.#recentMetrics.read(this.#invariants.total) }
    return await scheduler.handleRequest(request)
  }
}

const layoutOf = ({ region }: Settings): LayoutRow => ({
  dataCentres: region.dataCentres.map(name => brand<DataCentre>(name)), cellsPerDataCentre: region.cellsPerDataCentre
})

const memberReplacedError = (member: string): AuburnpinError =>
  new AuburnpinError('fenced', `Another process has taken member id ${member}`, 'Give each process a member id of its own.')
