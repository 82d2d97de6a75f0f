/**
 * Keeps this process on the newest configuration that it can read; the version never decreases.
 */
import { Ok, Ticker, type AuburnpinError, type Clock, type ConfigVersion, type Instant, type Log, type MemberId, type Result } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, type Configuration } from '@auburnpin/core'
import type { TableStore } from '@auburnpin/ports'
import { readConfiguration, type CurrentVersionRow } from './acceptNote.ts'
import { CONFIGURATION_POLL_MS, CONFIGURATION_STALE_MS, PEER_CONFIGURATION_POLL_MS, STORE_UNAVAILABLE_MS } from './constants.ts'
import type { Peers } from './Peers.ts'
import { CURRENT_CONFIGURATION_KEY } from './storeKeys.ts'
import type { PeerReply } from './types.ts'

/** Learns new versions from peers' notices and by polling the store, or the peers while the store is unavailable. */
export class ConfigurationFollower {
  readonly #table: TableStore
  readonly #peers: Peers
  readonly #clock: Clock
  readonly #log: Log
  readonly #storePoll: Ticker
  readonly #peerPoll: Ticker
  readonly #listeners: Array<(configuration: Configuration) => void> = []
  #current: Configuration = EMPTY_CONFIGURATION
  #storeReadAt: Instant | undefined
  #lastContactAt: Instant
  #hasHadContact = false
  #hasPeers = true
  #nextPeer = 0

  constructor (table: TableStore, peers: Peers, clock: Clock, log: Log) {
    this.#table = table
    this.#peers = peers
    this.#clock = clock
    this.#log = log
    this.#lastContactAt = clock.now()
    const logError = (error: unknown): void => log.error(String(error))
    this.#storePoll = new Ticker(clock, CONFIGURATION_POLL_MS, () => this.poll(), logError)
    this.#peerPoll = new Ticker(clock, PEER_CONFIGURATION_POLL_MS, () => this.#pollPeers(), logError)
    peers.onNotice((notice, from) => {
      if (notice.kind === 'configuration-accepted') void this.#updateTo(notice.version, from)
    })
  }

  /** The configuration in force. */
  get current (): Configuration {
    return this.#current
  }

  /** Whether the store or a peer has replied within `CONFIGURATION_STALE_MS`; if not, a newer configuration may be in force elsewhere. */
  get isInTouch (): boolean {
    // While the store is down no note can be accepted, and a sole member has no peer with a newer configuration.
    if (!this.#hasPeers && this.#hasHadContact) return true
    return this.#clock.now() - this.#lastContactAt <= CONFIGURATION_STALE_MS
  }

  /** Sets whether there are other members that this one should be able to reach. */
  expectPeers (hasPeers: boolean): void {
    this.#hasPeers = hasPeers
  }

  /** Calls `listener` with every configuration that comes into force. */
  onChange (listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener)
  }

  start (): void {
    this.#lastContactAt = this.#clock.now()
    this.#storePoll.start()
    this.#peerPoll.start(PEER_CONFIGURATION_POLL_MS)
  }

  async stop (): Promise<void> {
    await this.#storePoll.stop()
    await this.#peerPoll.stop()
  }

  /** Answers a peer that requests a configuration newer than version `after`. */
  answer (after: ConfigVersion): PeerReply {
    return { kind: 'configuration', configuration: this.#current.version > after ? this.#current : null }
  }

  /** Polls the store once. */
  async poll (): Promise<void> {
    const row = await this.#table.read(CURRENT_CONFIGURATION_KEY)
    if (row.err) {
      this.#log.warn('The configuration could not be read', { reason: row.val.message })
      return
    }
    this.#storeReadAt = this.#clock.now()
    this.#recordContact()
    if (row.val !== null) await this.#updateTo((row.val.value as CurrentVersionRow).version)
  }

  // Each poll asks the next few peers in turn, so that an outdated or unreachable peer delays nobody.
  #pollPeers (): void {
    if (!this.#isStoreUnavailable) return
    const peers = this.#peers.others
    const polled = peers.map((_, index) => peers[(this.#nextPeer + index) % peers.length] as MemberId).slice(0, PEERS_PER_POLL)
    this.#nextPeer += PEERS_PER_POLL
    // Not awaited, so that a slow reply does not delay the next poll.
    for (const peer of polled) void this.#readFromPeer(peer)
  }

  get #isStoreUnavailable (): boolean {
    return this.#storeReadAt === undefined || this.#clock.now() - this.#storeReadAt > STORE_UNAVAILABLE_MS
  }

  async #readFromPeer (peer: MemberId): Promise<Result<void, AuburnpinError>> {
    const reply = await this.#peers.request(peer, { kind: 'read-configuration', after: this.#current.version })
    if (reply.err) return reply
    this.#recordContact()
    if (reply.val.kind === 'configuration' && reply.val.configuration !== null) this.#adopt(reply.val.configuration)
    return Ok(undefined)
  }

  #recordContact (): void {
    this.#hasHadContact = true
    this.#lastContactAt = this.#clock.now()
  }

  async #updateTo (version: ConfigVersion, from?: MemberId): Promise<void> {
    if (version <= this.#current.version) return
    const read = await this.#readFromStoreOrPeer(version, from)
    if (read.err) this.#log.warn('A configuration could not be read; the next poll tries again', { version, reason: read.val.message })
  }

  // A read from an unreachable or slow store takes long to fail, so the peer comes first while the store is unavailable.
  async #readFromStoreOrPeer (version: ConfigVersion, from: MemberId | undefined): Promise<Result<void, AuburnpinError>> {
    const isPeer = from !== undefined && this.#peers.others.includes(from)
    if (isPeer && this.#isStoreUnavailable) return await this.#readFromPeer(from)
    const read = await readConfiguration(this.#table, version)
    if (read.ok) this.#adopt(read.val)
    else if (isPeer) return await this.#readFromPeer(from)
    return read.map(() => undefined)
  }

  // Reads can overlap, so an older version may arrive last.
  #adopt (configuration: Configuration): void {
    if (configuration.version <= this.#current.version) return
    // A peer of an earlier release sends no sections that were added later.
    this.#current = { ...EMPTY_CONFIGURATION, ...configuration }
    this.#log.info('Configuration in force', { version: configuration.version })
    for (const listener of this.#listeners) listener(this.#current)
  }
}

const PEERS_PER_POLL = 3
