/**
 * Checks invariants independently of the program under test: from the workers' attempts and the store's write history.
 */
import { INVARIANTS, type Invariant } from '@auburnpin/common'
import type { FakeVmWorker } from '@auburnpin/fakes'
import type { MemoryTable, WorkerEntry } from '@auburnpin/stand-in'

/** A violated invariant and what was observed. */
export type Violation = Readonly<{ invariant: Invariant | 'converges', detail: string }>

/** Observes the workers and the store, and collects violations. */
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

  /** Number of tasks that workers stopped because their lease had expired. */
  get tasksStoppedByExpiry (): number {
    let stopped = 0
    for (const worker of this.#workers.values()) stopped += worker.state.tasksStoppedByExpiry
    return stopped
  }

  report (invariant: Violation['invariant'], detail: string): void {
    this.#violations.push({ invariant, detail })
  }

  /** Records that a worker starts an attempt; to be called once the attempt is among the worker's entries. */
  recordStart (start: WorkerEntry['start']): void {
    const running = this.#runningOf(start.id)
    if (running.length > 1) this.report('task-never-in-two-places', `${start.id} runs as ${running.join(' and ')}`)
    const before = this.#startedAttempts.get(start.id) ?? 0
    if (start.attempt <= before) this.report('evicted-work-resumes-once', `${start.id} attempt ${start.attempt} starts after attempt ${before}`)
    this.#startedAttempts.set(start.id, start.attempt)
  }

  /** Records the configuration version of a process; `key` identifies its incarnation, whose version must not decrease. */
  recordVersion (key: string, version: number): void {
    const before = this.#highestVersions.get(key) ?? 0
    if (version < before) this.report('configuration-never-reverts', `${key} went from version ${before} to ${version}`)
    this.#highestVersions.set(key, Math.max(before, version))
  }

  /** Checks the events of all workers and the write history; to be called once, after the last step. */
  checkRecords (acceptedNotes: ReadonlyMap<string, number>): void {
    this.#checkFinishes()
    this.#checkOvercommitment()
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

  #checkOvercommitment (): void {
    for (const [address, worker] of this.#workers) {
      const { overCommitments } = worker.state
      if (overCommitments > 0) this.report('vm-never-overcommitted', `${address} refused ${overCommitments} starts that exceed its capacity`)
    }
  }

  #checkHistory (acceptedNotes: ReadonlyMap<string, number>): void {
    const noteWrites = new Map<string, number>()
    let last = 0
    for (const write of this.#table.history) {
      const content = (write.value as { value?: { version: number } } | null)?.value
      if (write.key.startsWith('notes/')) noteWrites.set(write.key.slice('notes/'.length), (noteWrites.get(write.key.slice('notes/'.length)) ?? 0) + 1)
      if (write.key !== 'config/current' || content === undefined) continue
      if (content.version !== last + 1) this.report('configuration-never-reverts', `the write history goes from version ${last} to ${content.version}`)
      last = content.version
    }
    for (const note of acceptedNotes.keys()) {
      if (noteWrites.get(note) !== 1) this.report('configuration-never-reverts', `note ${note} was written ${noteWrites.get(note) ?? 0} times`)
    }
  }
}

/** The invariants that the observer checks. */
export const OBSERVED_INVARIANTS: readonly Invariant[] = INVARIANTS.filter(invariant =>
  ['vm-never-overcommitted', 'task-never-in-two-places', 'evicted-work-resumes-once', 'configuration-never-reverts'].includes(invariant))
