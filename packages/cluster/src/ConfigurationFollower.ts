/**
 * Keeps this process on the newest configuration it can learn of; it never goes back.
 */
import { Ok, Ticker, type AuburnpinError, type Clock, type ConfigVersion, type Instant, type Log, type MemberId, type Result } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, type Configuration } from '@auburnpin/core'
import type { TableStore } from '@auburnpin/ports'
import { readConfiguration, type CurrentRow } from './acceptNote.ts'
import { CONFIGURATION_POLL_MS, CONFIGURATION_TOUCH_MS, PEER_POLL_MS, STORE_SILENCE_MS } from './constants.ts'
import type { Peers } from './Peers.ts'
import { CURRENT_CONFIGURATION_KEY } from './storeKeys.ts'
import type { PeerReply } from './types.ts'

/** Follows by peers' notices and by a poll of the store; while the store is silent, by a poll of the peers. */
export class ConfigurationFollower {
  readonly #table: TableStore
  readonly #peers: Peers
  readonly #clock: Clock
  readonly #log: Log
  readonly #storePoll: Ticker
  readonly #peerPoll: Ticker
  readonly #listeners: Array<(configuration: Configuration) => void> = []
  #current: Configuration = EMPTY_CONFIGURATION
  #storeHeardAt: Instant | undefined
  #heardAt: Instant
  #hasHeard = false
  #hasPeers = true
  #nextPeer = 0

  constructor (table: TableStore, peers: Peers, clock: Clock, log: Log) {
    this.#table = table
    this.#peers = peers
    this.#clock = clock
    this.#log = log
    this.#heardAt = clock.now()
    const logError = (error: unknown): void => log.error(String(error))
    this.#storePoll = new Ticker(clock, CONFIGURATION_POLL_MS, () => this.poll(), logError)
    this.#peerPoll = new Ticker(clock, PEER_POLL_MS, () => this.#askPeers(), logError)
    peers.onNotice((notice, from) => {
      if (notice.kind === 'configuration-accepted') void this.#reach(notice.version, from)
    })
  }

  /** The configuration in force. */
  get current (): Configuration {
    return this.#current
  }

  /** Whether the store or a peer has answered within the last seconds; else a newer configuration may be in force elsewhere. */
  get isInTouch (): boolean {
    // With the store down for all, the only member can miss nothing.
    if (!this.#hasPeers && this.#hasHeard) return true
    return this.#clock.now() - this.#heardAt <= CONFIGURATION_TOUCH_MS
  }

  /** Tells whether there are other members that this one should be able to reach. */
  expectPeers (hasPeers: boolean): void {
    this.#hasPeers = hasPeers
  }

  /** Calls `listener` with every configuration that comes into force. */
  onChange (listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener)
  }

  start (): void {
    this.#heardAt = this.#clock.now()
    this.#storePoll.start()
    this.#peerPoll.start(PEER_POLL_MS)
  }

  async stop (): Promise<void> {
    await this.#storePoll.stop()
    await this.#peerPoll.stop()
  }

  /** Answers a peer that asks for anything newer than what it has. */
  answer (after: ConfigVersion): PeerReply {
    return { kind: 'configuration', configuration: this.#current.version > after ? this.#current : null }
  }

  /** Looks at the store once. */
  async poll (): Promise<void> {
    const row = await this.#table.read(CURRENT_CONFIGURATION_KEY)
    if (row.err) {
      this.#log.warn('The configuration could not be read', { reason: row.val.message })
      return
    }
    this.#storeHeardAt = this.#clock.now()
    this.#hear()
    if (row.val !== null) await this.#reach((row.val.value as CurrentRow).version)
  }

  // Each look asks some other peers, so that one that is behind, or gone, holds nobody up.
  #askPeers (): void {
    if (!this.#isStoreSilent) return
    const peers = this.#peers.others
    const asked = peers.map((_, index) => peers[(this.#nextPeer + index) % peers.length] as MemberId).slice(0, PEERS_ASKED)
    this.#nextPeer += PEERS_ASKED
    // Not awaited: an answer that takes long must not put off the next look.
    for (const peer of asked) void this.#ask(peer)
  }

  get #isStoreSilent (): boolean {
    return this.#storeHeardAt === undefined || this.#clock.now() - this.#storeHeardAt > STORE_SILENCE_MS
  }

  async #ask (peer: MemberId): Promise<Result<void, AuburnpinError>> {
    const reply = await this.#peers.request(peer, { kind: 'read-configuration', after: this.#current.version })
    if (reply.err) return reply
    this.#hear()
    if (reply.val.kind === 'configuration' && reply.val.configuration !== null) this.#adopt(reply.val.configuration)
    return Ok(undefined)
  }

  #hear (): void {
    this.#hasHeard = true
    this.#heardAt = this.#clock.now()
  }

  async #reach (version: ConfigVersion, from?: MemberId): Promise<void> {
    if (version <= this.#current.version) return
    const read = await this.#readEither(version, from)
    if (read.err) this.#log.warn('A configuration could not be read; it is tried again', { version, reason: read.val.message })
  }

  // A read of a store that is cut off or slow takes long to fail, so a silent store is not asked first.
  async #readEither (version: ConfigVersion, from: MemberId | undefined): Promise<Result<void, AuburnpinError>> {
    const isPeer = from !== undefined && this.#peers.others.includes(from)
    if (isPeer && this.#isStoreSilent) return await this.#ask(from)
    const read = await readConfiguration(this.#table, version)
    if (read.ok) this.#adopt(read.val)
    else if (isPeer) return await this.#ask(from)
    return read.map(() => undefined)
  }

  // Readings overlap, and the older may end last.
  #adopt (configuration: Configuration): void {
    if (configuration.version <= this.#current.version) return
    this.#current = configuration
    this.#log.info('Configuration in force', { version: configuration.version })
    for (const listener of this.#listeners) listener(configuration)
  }
}

const PEERS_ASKED = 3
