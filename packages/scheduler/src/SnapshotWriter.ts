/**
 * Writing of a cell's snapshots and trimming of the journal that they cover.
 */
import { brand, Err, copyWith, Ok, type AuburnpinError, type Clock, type ConfigVersion, type Instant, type JournalSequence, type Log, type Random, type Result } from '@auburnpin/common'
import { CELL_FORMAT, toSnapshot, type DurableTasks } from '@auburnpin/core'
import { journalKey, snapshotKey, snapshotPointerKey, type ClaimedCell } from '@auburnpin/cluster'
import { newTransactionId, type ObjectStore, type RowCheck, type TableStore } from '@auburnpin/ports'
import { SNAPSHOT_MIN_TRANSITIONS, SNAPSHOT_RETRY_DELAY_MS, SNAPSHOTS_KEPT, TRIM_BATCH_ROWS } from './constants.ts'
import { digestOf } from './recoverCell.ts'
import type { SnapshotPointer, SnapshotReference, VersionedSnapshotPointer } from './snapshotPointer.ts'

/** Dependencies of a snapshot writer. */
export type SnapshotPorts = Readonly<{ table: TableStore, objects: ObjectStore, clock: Clock, random: Random, log: Log }>

type Step = Result<void, AuburnpinError | undefined>

/**
 * Keeps the two newest snapshots and the journal after the older one, so that a recovery can start from either.
 * Snapshots are written one at a time. After a failure the next one is written, with newer content, after a delay.
 */
export class SnapshotWriter {
  readonly #ports: SnapshotPorts
  readonly #claimed: ClaimedCell
  #snapshotPointer: VersionedSnapshotPointer
  #transitionsSince: number
  #inFlight: Promise<void> | undefined
  #retryAt: Instant | undefined

  constructor (ports: SnapshotPorts, claimed: ClaimedCell, pointer: VersionedSnapshotPointer, transitionsSince: number) {
    this.#ports = ports
    this.#claimed = claimed
    this.#snapshotPointer = pointer
    this.#transitionsSince = transitionsSince
  }

  /** Counts the transitions of a durable record, and starts a snapshot when the journal has grown larger than the state. */
  handleRecord (sequence: JournalSequence, transitions: number, tasks: DurableTasks, configured?: ConfigVersion): void {
    this.#transitionsSince += transitions
    const dueAfter = Math.max(SNAPSHOT_MIN_TRANSITIONS, tasks.size)
    if (this.#inFlight !== undefined || this.#transitionsSince < dueAfter) return
    if (this.#retryAt !== undefined && this.#ports.clock.now() < this.#retryAt) return
    const snapshot = toSnapshot(sequence, tasks.values(), configured)
    this.#transitionsSince = 0
    this.#inFlight = this.#write(sequence, Buffer.from(JSON.stringify(snapshot)))
  }

  /** Resolves once no snapshot is being written. */
  async close (): Promise<void> {
    await this.#inFlight
  }

  async #write (through: JournalSequence, content: Uint8Array): Promise<void> {
    const written = await this.#writeAndTrim(through, content)
    if (written.err && written.val !== undefined) {
      this.#ports.log.warn('Snapshot could not be written; retrying later', { cell: this.#claimed.cell, reason: written.val.message })
      this.#retryAt = brand<Instant>(this.#ports.clock.now() + SNAPSHOT_RETRY_DELAY_MS)
    }
    this.#inFlight = undefined
  }

  async #writeAndTrim (through: JournalSequence, content: Uint8Array): Promise<Step> {
    const { cell, epoch } = this.#claimed
    const before = this.#snapshotPointer.pointer.kept
    if (before[0]?.through === through) return Ok(undefined)
    // The epoch in the key keeps owners of different terms from writing the same object.
    const reference: SnapshotReference = { key: `${snapshotKey(cell, through)}.${epoch}`, through, digest: digestOf(content) }
    const stored = await this.#ports.objects.write(reference.key, content)
    if (stored.err) return stored
    const kept = [reference, ...before].slice(0, SNAPSHOTS_KEPT)
    const updated = await this.#updatePointer({ format: CELL_FORMAT, kept, trimmed: this.#snapshotPointer.pointer.trimmed }, [])
    if (updated.err) return updated
    for (const old of before.slice(SNAPSHOTS_KEPT - 1)) await this.#ports.objects.delete(old.key)
    return await this.#trim()
  }

  // Deletes in bounded batches; the pointer row records the progress of each.
  async #trim (): Promise<Step> {
    for (;;) {
      const { pointer } = this.#snapshotPointer
      const oldest = pointer.kept[SNAPSHOTS_KEPT - 1]
      if (oldest === undefined || pointer.trimmed >= oldest.through) return Ok(undefined)
      const end = Math.min(oldest.through, pointer.trimmed + TRIM_BATCH_ROWS)
      const deletes: string[] = []
      for (let sequence = pointer.trimmed + 1; sequence <= end; sequence++) deletes.push(journalKey(this.#claimed.cell, brand<JournalSequence>(sequence)))
      const trimmed = await this.#updatePointer(copyWith(pointer, { trimmed: brand<JournalSequence>(end) }), deletes)
      if (trimmed.err) return trimmed
    }
  }

  async #updatePointer (pointer: SnapshotPointer, deletes: readonly string[]): Promise<Step> {
    const key = snapshotPointerKey(this.#claimed.cell)
    const { version } = this.#snapshotPointer
    const check: RowCheck = version === undefined ? { kind: 'absent', key } : { kind: 'version', key, version }
    const outcome = await this.#ports.table.transact({
      id: newTransactionId(this.#ports.random), checks: [this.#claimed.check, check], puts: [{ key, value: pointer }], deletes
    })
    if (outcome.err) return outcome
    // Another owner has taken the cell over, and its snapshots are the valid ones.
    if (outcome.val.kind === 'conflict') return Err(undefined)
    this.#snapshotPointer = { pointer, version: outcome.val.version }
    return Ok(undefined)
  }
}
