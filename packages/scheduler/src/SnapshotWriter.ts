/**
 * Writes a cell's snapshots and trims the journal behind them.
 */
import { brand, Err, newWith, Ok, type AuburnpinError, type Clock, type ConfigVersion, type Instant, type JournalSequence, type Log, type Random, type Result } from '@auburnpin/common'
import { CELL_FORMAT, toSnapshot, type DurableTasks } from '@auburnpin/core'
import { journalKey, snapshotKey, snapshotPointerKey, type ClaimedCell } from '@auburnpin/cluster'
import { newTransactionId, type ObjectStore, type RowCheck, type TableStore } from '@auburnpin/ports'
import { SNAPSHOT_RETRY_MS, SNAPSHOT_TRANSITIONS, SNAPSHOTS_KEPT, TRIM_ROWS } from './constants.ts'
import { digestOf } from './recoverCell.ts'
import type { SeenPointer, SnapshotPointer, SnapshotReference } from './snapshotPointer.ts'

/** What a snapshot writer needs from outside. */
export type SnapshotPorts = Readonly<{ table: TableStore, objects: ObjectStore, clock: Clock, random: Random, log: Log }>

type Step = Result<void, AuburnpinError | undefined>

/**
 * Keeps the two newest snapshots and the journal after the older one, so that either will do for a recovery.
 * One snapshot is on its way at a time; a failed one is tried again after a while with newer content.
 */
export class SnapshotWriter {
  readonly #ports: SnapshotPorts
  readonly #claimed: ClaimedCell
  #seen: SeenPointer
  #transitions: number
  #writing: Promise<void> | undefined
  #notBefore: Instant | undefined

  constructor (ports: SnapshotPorts, claimed: ClaimedCell, seen: SeenPointer, transitionsSince: number) {
    this.#ports = ports
    this.#claimed = claimed
    this.#seen = seen
    this.#transitions = transitionsSince
  }

  /** Notes a durable record, and starts a snapshot when the journal has outgrown the state. */
  note (sequence: JournalSequence, transitions: number, tasks: DurableTasks, configured?: ConfigVersion): void {
    this.#transitions += transitions
    const dueAfter = Math.max(SNAPSHOT_TRANSITIONS, tasks.size)
    if (this.#writing !== undefined || this.#transitions < dueAfter) return
    if (this.#notBefore !== undefined && this.#ports.clock.now() < this.#notBefore) return
    const snapshot = toSnapshot(sequence, tasks.values(), configured)
    this.#transitions = 0
    this.#writing = this.#write(sequence, Buffer.from(JSON.stringify(snapshot)))
  }

  /** Resolves once nothing is on its way. */
  async close (): Promise<void> {
    await this.#writing
  }

  async #write (through: JournalSequence, content: Uint8Array): Promise<void> {
    const written = await this.#store(through, content)
    if (written.err && written.val !== undefined) {
      this.#ports.log.warn('A snapshot could not be written; trying again later', { cell: this.#claimed.cell, reason: written.val.message })
      this.#notBefore = brand<Instant>(this.#ports.clock.now() + SNAPSHOT_RETRY_MS)
    }
    this.#writing = undefined
  }

  async #store (through: JournalSequence, content: Uint8Array): Promise<Step> {
    const { cell, epoch } = this.#claimed
    const before = this.#seen.pointer.kept
    if (before[0]?.through === through) return Ok(undefined)
    // Owners of different epochs never write the same object.
    const reference: SnapshotReference = { key: `${snapshotKey(cell, through)}.${epoch}`, through, digest: digestOf(content) }
    const stored = await this.#ports.objects.write(reference.key, content)
    if (stored.err) return stored
    const kept = [reference, ...before].slice(0, SNAPSHOTS_KEPT)
    const pointed = await this.#point({ format: CELL_FORMAT, kept, trimmed: this.#seen.pointer.trimmed }, [])
    if (pointed.err) return pointed
    for (const old of before.slice(SNAPSHOTS_KEPT - 1)) await this.#ports.objects.delete(old.key)
    return await this.#trim()
  }

  // In bounded batches, each of which the pointer row remembers.
  async #trim (): Promise<Step> {
    for (;;) {
      const { pointer } = this.#seen
      const oldest = pointer.kept[SNAPSHOTS_KEPT - 1]
      if (oldest === undefined || pointer.trimmed >= oldest.through) return Ok(undefined)
      const end = Math.min(oldest.through, pointer.trimmed + TRIM_ROWS)
      const deletes: string[] = []
      for (let sequence = pointer.trimmed + 1; sequence <= end; sequence++) deletes.push(journalKey(this.#claimed.cell, brand<JournalSequence>(sequence)))
      const trimmed = await this.#point(newWith(pointer, { trimmed: brand<JournalSequence>(end) }), deletes)
      if (trimmed.err) return trimmed
    }
  }

  async #point (pointer: SnapshotPointer, deletes: readonly string[]): Promise<Step> {
    const key = snapshotPointerKey(this.#claimed.cell)
    const { version } = this.#seen
    const check: RowCheck = version === undefined ? { kind: 'absent', key } : { kind: 'version', key, version }
    const outcome = await this.#ports.table.transact({
      id: newTransactionId(this.#ports.random), checks: [this.#claimed.check, check], puts: [{ key, value: pointer }], deletes
    })
    if (outcome.err) return outcome
    // Another owner has the cell; its own snapshots count now.
    if (outcome.val.kind === 'conflict') return Err(undefined)
    this.#seen = { pointer, version: outcome.val.version }
    return Ok(undefined)
  }
}
