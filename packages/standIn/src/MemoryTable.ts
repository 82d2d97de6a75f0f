/**
 * Rows and transactions in memory: the behaviour of the platform's table service without the network.
 */

/** A stored row. */
export type MemoryRow = Readonly<{ key: string, version: number, value: unknown }>

/** A transaction as it is received over the wire. */
export type MemoryTransaction = Readonly<{
  id: string
  checks: ReadonlyArray<Readonly<{ kind: 'version', key: string, version: number }> | Readonly<{ kind: 'absent', key: string }>>
  puts: ReadonlyArray<Readonly<{ key: string, value: unknown }>>
  deletes: readonly string[]
}>

/** The result of a transaction; a conflict contains the row that a check failed on. */
export type MemoryOutcome =
  | Readonly<{ outcome: 'committed', version: number }>
  | Readonly<{ outcome: 'conflict', key: string, row: MemoryRow | null }>

/** One committed put or delete, for tests and observers. */
export type MemoryWrite = Readonly<{ version: number, transaction: string, key: string, value: unknown, isDelete: boolean }>

/** Executes transactions one at a time; versions increase across the whole table. */
export class MemoryTable {
  readonly #rows = new Map<string, MemoryRow>()
  readonly #history: MemoryWrite[] = []
  #version = 0

  read (key: string): MemoryRow | null {
    return this.#rows.get(key) ?? null
  }

  /** Rows whose key starts with the prefix and sorts after `after`, in key order. */
  list (prefix: string, after: string, limit: number): Readonly<{ rows: readonly MemoryRow[], hasMore: boolean }> {
    const keys = [...this.#rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const rows = keys.slice(0, limit).map(key => this.#rows.get(key) as MemoryRow)
    return { rows, hasMore: keys.length > limit }
  }

  /** All committed writes, oldest first. */
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
