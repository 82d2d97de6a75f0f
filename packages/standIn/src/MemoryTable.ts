/**
 * Rows and transactions in memory: the behaviour of the platform's table service without its network.
 */

/** A stored row. */
export type MemoryRow = Readonly<{ key: string, version: number, value: unknown }>

/** A transaction as it comes over the wire. */
export type MemoryTransaction = Readonly<{
  id: string
  checks: ReadonlyArray<Readonly<{ kind: 'version', key: string, version: number }> | Readonly<{ kind: 'absent', key: string }>>
  puts: ReadonlyArray<Readonly<{ key: string, value: unknown }>>
  deletes: readonly string[]
}>

/** How a transaction ended. */
export type MemoryOutcome =
  | Readonly<{ outcome: 'committed', version: number }>
  | Readonly<{ outcome: 'conflict', key: string, row: MemoryRow | null }>

/** One write of the history, for observers. */
export type MemoryWrite = Readonly<{ version: number, transaction: string, key: string, value: unknown, isDelete: boolean }>

/** Serialises transactions; versions rise over the whole table. */
export class MemoryTable {
  readonly #rows = new Map<string, MemoryRow>()
  readonly #history: MemoryWrite[] = []
  #version = 0

  read (key: string): MemoryRow | null {
    return this.#rows.get(key) ?? null
  }

  /** Rows with the prefix after a key, in order. */
  list (prefix: string, after: string, limit: number): Readonly<{ rows: readonly MemoryRow[], hasMore: boolean }> {
    const keys = [...this.#rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const rows = keys.slice(0, limit).map(key => this.#rows.get(key) as MemoryRow)
    return { rows, hasMore: keys.length > limit }
  }

  /** Everything written, oldest first. */
  get history (): readonly MemoryWrite[] {
    return this.#history
  }

  transact (transaction: MemoryTransaction): MemoryOutcome {
    for (const check of transaction.checks) {
      const row = this.read(check.key)
      const holds = check.kind === 'absent' ? row === null : row?.version === check.version
      if (!holds) return { outcome: 'conflict', key: check.key, row }
    }
    const version = ++this.#version
    for (const { key, value } of transaction.puts) {
      this.#rows.set(key, { key, version, value })
      this.#history.push({ version, transaction: transaction.id, key, value, isDelete: false })
    }
    for (const key of transaction.deletes) {
      this.#rows.delete(key)
      this.#history.push({ version, transaction: transaction.id, key, value: null, isDelete: true })
    }
    return { outcome: 'committed', version }
  }
}
