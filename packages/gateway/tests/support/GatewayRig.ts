/**
 * Test rig with gateways and endpoints on loopback.
 */
import {
  brand, SeededRandom, SilentLog, SilentMetrics, SystemClock, type CellId, type ConfigVersion, type DataCentre, type EndpointId, type Epoch,
  type MemberId, type NoteId, type ServiceName, type TeamName, type VmId
} from '@auburnpin/common'
import { EMPTY_CONFIGURATION, ownerOfEndpoint, serviceSchema, type Configuration, type Endpoint, type LiveGateway, type Service } from '@auburnpin/core'
import { EndpointDirectory, WebSocketPeers } from '@auburnpin/cluster'
import { StandInEndpoint } from '@auburnpin/stand-in'
import { processLoopbackAddress } from '@auburnpin/fakes'
import { CallerServer, DEFAULT_LIMITS, type GatewayLimits, type SessionKey } from '../../src/index.ts'

/** Parameters of a rig. */
export type RigOptions = Readonly<{
  endpoints?: number
  serviceMs?: number
  slots?: number
  queueMs?: number
  limits?: Partial<GatewayLimits>
}>

/** One gateway and the parts of it that tests control. */
export type RigGateway = Readonly<{
  member: MemberId
  server: CallerServer
  peers: WebSocketPeers
  directory: EndpointDirectory
  address: string
}>

const SERVICE = brand<ServiceName>('stockline')
const COLOMBO = brand<DataCentre>('colombo')
const KEYS = [{ id: 'test', secret: 'rig-peer-secret' }]

/** Runs endpoints and any number of gateways in this process. */
export class GatewayRig {
  readonly endpoints: StandInEndpoint[] = []
  readonly gateways: RigGateway[] = []
  readonly #options: RigOptions
  readonly #addresses: string[] = []
  readonly #leavingEndpoints = new Set<number>()
  readonly #clock = new SystemClock()
  #revision = 0
  sessionKeys: readonly SessionKey[] = [{ id: 'first', secret: 'rig-session-secret' }]

  constructor (options: RigOptions = {}) {
    this.#options = options
  }

  async start (gateways: number): Promise<this> {
    const { endpoints = 2, serviceMs = 0, slots } = this.#options
    for (let index = 0; index < endpoints; index++) {
      const endpoint = new StandInEndpoint(serviceMs, slots)
      this.endpoints.push(endpoint)
      this.#addresses.push(await endpoint.listen(0, processLoopbackAddress()))
    }
    for (let index = 0; index < gateways; index++) await this.addGateway()
    return this
  }

  /** Adds an endpoint that the rig did not start. */
  addEndpoint (address: string): void {
    this.#addresses.push(address)
    this.publish()
  }

  /** Starts another gateway and connects it to the others. */
  async addGateway (): Promise<RigGateway> {
    const member = brand<MemberId>(`entry-${this.#nextMember++}`)
    const random = new SeededRandom(this.#nextMember)
    const peers = new WebSocketPeers({ member, host: '127.0.0.1', port: 0, keys: KEYS }, this.#clock, random, new SilentLog())
    const peerAddress = await peers.listen()
    const directory = new EndpointDirectory()
    const server = new CallerServer({
      self: member,
      clock: this.#clock,
      random,
      log: new SilentLog(),
      metrics: new SilentMetrics(),
      limits: { ...DEFAULT_LIMITS, ...this.#options.limits },
      configuration: { current: this.#configuration(), isInTouch: true },
      endpoints: directory,
      sessionKeys: () => this.sessionKeys,
      gateways: () => this.#liveGateways(peers),
      streams: peers
    })
    const gateway = { member, server, peers, directory, address: await server.listen('127.0.0.1', 0) }
    this.gateways.push(gateway)
    this.#peerAddresses.set(member, peerAddress)
    this.connectGateways()
    this.publish()
    return gateway
  }

  readonly #peerAddresses = new Map<MemberId, string>()
  readonly #excluded = new Set<MemberId>()
  #nextMember = 0

  /** Removes the gateway from the live gateways in the others' view; its own servers stay open. */
  exclude (gateway: RigGateway): void {
    this.#excluded.add(gateway.member)
    this.refresh()
  }

  /** The gateway that owns an endpoint's slots, and one that doesn't. */
  ownerAndOther (index: number): [RigGateway, RigGateway] {
    const gateways = this.gateways.map(({ member }) => ({ member, dataCentre: COLOMBO }))
    const owner = ownerOfEndpoint(this.#describe('', index), gateways)
    const [first, second] = [...this.gateways].sort((left, right) => Number(right.member === owner) - Number(left.member === owner))
    return [first as RigGateway, second as RigGateway]
  }

  /** Makes every gateway recompute which endpoints it owns. */
  refresh (): void {
    for (const { server } of this.gateways) server.refresh()
  }

  connectGateways (): void {
    for (const { peers } of this.gateways) peers.setMembers(this.#peerAddresses)
  }

  /** Whether every gateway is connected to every other. */
  get isConnected (): boolean {
    return this.gateways.every(({ peers }) => peers.reachable.length === this.gateways.length)
  }

  /** Publishes the endpoints to all gateways, those in `leaving` as leaving. */
  publish (leaving: readonly number[] = []): void {
    for (const index of leaving) this.#leavingEndpoints.add(index)
    this.#revision++
    const endpoints = this.#addresses.map((address, index) => this.#describe(address, index))
    for (const { directory } of this.gateways) {
      directory.record({ kind: 'endpoints', cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(1), revision: this.#revision, endpoints })
    }
  }

  get runs (): Array<StandInEndpoint['handledRequests'][number]> {
    return this.endpoints.flatMap(endpoint => [...endpoint.handledRequests])
  }

  /** Sends the gateway no more requests, as a load balancer does after a failed health check. */
  removeFromBalancer (gateway: RigGateway): void {
    const index = this.gateways.indexOf(gateway)
    if (index >= 0) this.gateways.splice(index, 1)
  }

  /** Stops a gateway permanently. */
  async remove (gateway: RigGateway): Promise<void> {
    this.removeFromBalancer(gateway)
    this.#peerAddresses.delete(gateway.member)
    await gateway.server.close()
    await gateway.peers.close()
    this.connectGateways()
    this.refresh()
  }

  async stop (): Promise<void> {
    for (const gateway of [...this.gateways]) await this.remove(gateway)
    await Promise.all(this.endpoints.map(endpoint => endpoint.close()))
  }

  #liveGateways (own: WebSocketPeers): readonly LiveGateway[] {
    const [self] = own.reachable
    return own.reachable.filter(member => member === self || !this.#excluded.has(member)).map(member => ({ member, dataCentre: COLOMBO }))
  }

  #describe (address: string, index: number): Endpoint {
    return {
      id: brand<EndpointId>(`replica-${index}/1`),
      service: SERVICE,
      vm: brand<VmId>(`vm-${index}`),
      dataCentre: COLOMBO,
      address,
      slots: this.#options.slots ?? 8,
      connections: 64,
      isLeaving: this.#leavingEndpoints.has(index)
    }
  }

  #configuration (): Configuration {
    const declared = serviceSchema.parse({ replicas: 2, resources: { processors: 1, memoryMb: 1 }, command: 'serve', team: 'franchise' })
    const value: Service = { ...declared, team: brand<TeamName>(declared.team), queueMs: this.#options.queueMs ?? 20_000 }
    const changedBy = brand<NoteId>('rig')
    const version = brand<ConfigVersion>(1)
    return { ...EMPTY_CONFIGURATION, version, services: { [SERVICE]: { value, changedBy, changedIn: version } } }
  }
}
