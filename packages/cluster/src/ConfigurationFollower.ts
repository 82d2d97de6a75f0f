/**
 * Keeps this process on the newest configuration it can learn of; it never goes back.
 */
import { Ticker, type Clock, type ConfigVersion, type Log } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, type Configuration } from '@auburnpin/core'
import type { TableStore } from '@auburnpin/platform'
import { readConfiguration, type CurrentRow } from './acceptNote.ts'
import { CONFIGURATION_POLL_MS } from './constants.ts'
import type { Peers } from './Peers.ts'
import { CURRENT_CONFIGURATION_KEY } from './storeKeys.ts'

/** Follows by peers' notices and by a poll of the store. */
export class ConfigurationFollower {
  readonly #table: TableStore
  readonly #log: Log
  readonly #ticker: Ticker
  readonly #listeners: Array<(configuration: Configuration) => void> = []
  #current: Configuration = EMPTY_CONFIGURATION

  constructor (table: TableStore, peers: Peers, clock: Clock, log: Log) {
    this.#table = table
    this.#log = log
    this.#ticker = new Ticker(clock, CONFIGURATION_POLL_MS, () => this.poll(), error => log.error(String(error)))
    peers.onNotice(notice => {
      if (notice.kind === 'configuration-accepted') void this.#reach(notice.version)
    })
  }

  /** The configuration in force. */
  get current (): Configuration {
    return this.#current
  }

  /** Calls `listener` with every configuration that comes into force. */
  onChange (listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener)
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Looks at the store once. */
  async poll (): Promise<void> {
    const row = await this.#table.read(CURRENT_CONFIGURATION_KEY)
    if (row.err) this.#log.warn('The configuration could not be read', { reason: row.val.message })
    else if (row.val !== null) await this.#reach((row.val.value as CurrentRow).version)
  }

  async #reach (version: ConfigVersion): Promise<void> {
    if (version <= this.#current.version) return
    const read = await readConfiguration(this.#table, version)
    if (read.err) {
      this.#log.warn('A configuration could not be read', { version, reason: read.val.message })
      return
    }
    // Another reading may have come first while this one waited.
    if (read.val.version <= this.#current.version) return
    this.#current = read.val
    this.#log.info('Configuration in force', { version: read.val.version })
    for (const listener of this.#listeners) listener(read.val)
  }
}
