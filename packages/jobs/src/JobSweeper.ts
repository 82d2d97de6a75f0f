/**
 * Drops the rows of jobs that nobody may ask for any more.
 */
import { brand, type Instant, type JobId } from '@auburnpin/common'
import type { JobBoard } from '@auburnpin/core'
import { MAX_SWEPT_JOBS, RETENTION_MARGIN_MS, SWEEP_MS } from './constants.ts'
import type { OwnerPorts } from './JobOwner.ts'
import { cancelKey, JOBS_TABLE, partOfJob } from './rows.ts'
import type { TermWriter } from './TermWriter.ts'

/** Sweeps from time to time: first a job's own rows, then, with a later commit, its progress. */
export class JobSweeper {
  readonly #ports: OwnerPorts
  readonly #board: JobBoard
  readonly #writer: TermWriter
  #isStopped = false

  constructor (ports: OwnerPorts, board: JobBoard, writer: TermWriter) {
    this.#ports = ports
    this.#board = board
    this.#writer = writer
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(SWEEP_MS)
      if (this.#writer.isHeld) await this.#sweep()
    }
  }

  async #sweep (): Promise<void> {
    const { clock, log, stateKeptMs } = this.#ports
    const endedBefore = brand<Instant>(clock.now() - stateKeptMs - RETENTION_MARGIN_MS)
    let dropped = 0
    for (const { job: { id } } of this.#board.finishedBefore(endedBefore, MAX_SWEPT_JOBS)) {
      if (!await this.#drop(id)) break
      dropped++
    }
    if (dropped > 0) log.info('Rows of ended jobs dropped', { dropped })
  }

  async #drop (id: JobId): Promise<boolean> {
    const deletes = [id, cancelKey(id)].map(key => ({ table: JOBS_TABLE, key }))
    const outcome = await this.#ports.store.transact({ part: partOfJob(id), checks: [], puts: [], deletes })
    if (outcome.err || this.#isStopped) return false
    this.#board.forget(id)
    this.#writer.dropProgress(id)
    return true
  }
}
