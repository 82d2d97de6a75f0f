/**
 * Counts what really happened, from outside the program: the workers' runs and the store's history.
 */
import { PROMISES, type Promised } from '@auburnpin/common'
import type { FakeVmWorker } from '@auburnpin/fakes'
import type { MemoryTable, WorkerEntry } from '@auburnpin/stand-in'

/** A broken promise and what was seen. */
export type Violation = Readonly<{ promised: Promised | 'converges', detail: string }>

/** Watches workers and the store. */
export class Observer {
  readonly #workers: ReadonlyMap<string, FakeVmWorker>
  readonly #table: MemoryTable
  readonly #violations: Violation[] = []
  readonly #startedAttempts = new Map<string, number>()
  readonly #highestVersions = new Map<string, number>()

  constructor (workers: ReadonlyMap<string, FakeVmWorker>, table: MemoryTable) {
    this.#workers = workers
    this.#table = table
  }

  get violations (): readonly Violation[] {
    return this.#violations
  }

  /** Tasks that workers stopped because nobody had renewed their lease. */
  get lapses (): number {
    let lapses = 0
    for (const worker of this.#workers.values()) lapses += worker.state.lapses
    return lapses
  }

  report (promised: Violation['promised'], detail: string): void {
    this.#violations.push({ promised, detail })
  }

  /** A worker starts an attempt; called while it is already among the worker's entries. */
  started (start: WorkerEntry['start']): void {
    const running = this.#runningOf(start.id)
    if (running.length > 1) this.report('task-never-in-two-places', `${start.id} runs as ${running.join(' and ')}`)
    const before = this.#startedAttempts.get(start.id) ?? 0
    if (start.attempt <= before) this.report('evicted-work-resumes-once', `${start.id} attempt ${start.attempt} starts after attempt ${before}`)
    this.#startedAttempts.set(start.id, start.attempt)
  }

  /** One process lives from `key`'s first call on; its configuration may only rise. */
  sawVersion (key: string, version: number): void {
    const before = this.#highestVersions.get(key) ?? 0
    if (version < before) this.report('configuration-never-reverts', `${key} went from version ${before} to ${version}`)
    this.#highestVersions.set(key, Math.max(before, version))
  }

  /** Checks what the logs say at the end. */
  checkLogs (acceptedNotes: ReadonlyMap<string, number>): void {
    this.#checkFinishes()
    this.#checkRoom()
    this.#checkHistory(acceptedNotes)
  }

  #runningOf (id: string): string[] {
    const running: string[] = []
    for (const [address, worker] of this.#workers) {
      for (const entry of worker.state.entries) {
        const isRunning = entry.start.id === id && entry.state === 'running'
        if (isRunning) running.push(`attempt ${entry.start.attempt} at ${address}`)
      }
    }
    return running
  }

  #checkFinishes (): void {
    const finishes = new Map<string, number>()
    for (const worker of this.#workers.values()) {
      for (const event of worker.state.events) {
        if (event.end === 'finished' && !worker.isDead) finishes.set(event.id, (finishes.get(event.id) ?? 0) + 1)
      }
    }
    for (const [id, count] of finishes) {
      if (count > 1) this.report('evicted-work-resumes-once', `${id} finished ${count} times`)
    }
  }

  #checkRoom (): void {
    for (const [address, worker] of this.#workers) {
      const { overCommitments } = worker.state
      if (overCommitments > 0) this.report('vm-never-overcommitted', `${address} had to refuse ${overCommitments} starts`)
    }
  }

  #checkHistory (acceptedNotes: ReadonlyMap<string, number>): void {
    const noted = new Map<string, number>()
    let last = 0
    for (const write of this.#table.history) {
      const content = (write.value as { value?: { version: number } } | null)?.value
      if (write.key.startsWith('notes/')) noted.set(write.key.slice('notes/'.length), (noted.get(write.key.slice('notes/'.length)) ?? 0) + 1)
      if (write.key !== 'config/current' || content === undefined) continue
      if (content.version !== last + 1) this.report('configuration-never-reverts', `the history goes from version ${last} to ${content.version}`)
      last = content.version
    }
    for (const note of acceptedNotes.keys()) {
      if (noted.get(note) !== 1) this.report('configuration-never-reverts', `note ${note} stands ${noted.get(note) ?? 0} times in the history`)
    }
  }
}

/** The promises that this observer can see broken. */
export const OBSERVED_PROMISES: readonly Promised[] = PROMISES.filter(promised =>
  ['vm-never-overcommitted', 'task-never-in-two-places', 'evicted-work-resumes-once', 'configuration-never-reverts'].includes(promised))
