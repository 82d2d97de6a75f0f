/**
 * The rules of the worker contract without the network: leases, epochs, attempts and capacity.
 */

/** Resources as they are sent over the wire. */
export type WorkerResources = Readonly<{ processors: number, memoryMb: number, accelerators: number }>

/** A request to start an attempt. */
export type WorkerStart = Readonly<{
  id: string
  attempt: number
  leaseSession: string
  epoch: number
  resources: WorkerResources
  command: string
  service?: string
  checkpoint?: string
}>

/** An attempt, with the lease session and the epoch of the owner that calls. */
export type WorkerAttempt = Readonly<{ id: string, attempt: number, leaseSession: string, epoch: number }>

/** A request to grant or renew a lease. */
export type WorkerLeaseRequest = Readonly<{ session: string, epoch: number, ttlMs: number, isNew: boolean }>

/** One attempt on the worker; kept after its end until the owner acknowledges the end. */
export type WorkerEntry = {
  readonly start: WorkerStart
  state: 'running' | 'finished' | 'failed' | 'stopped'
  result?: string
  checkpoint?: string
  address?: string
  throttle: number
}

/** Reason for which a call is refused. */
export type WorkerRefusal = 'lower-epoch' | 'other-session' | 'closed-session' | 'over-committed' | 'ended-attempt'

/** Start or end of an attempt, for tests and observers. */
export type WorkerEvent = Readonly<{ kind: 'started' | 'ended', id: string, attempt: number, end?: WorkerEntry['state'] }>

/** Applies the worker contract; calls `onStart` for each attempt to run and `onEnd` for each attempt that has ended. */
export class WorkerState {
  readonly #capacity: WorkerResources
  readonly #onStart: (entry: WorkerEntry) => void
  readonly #onEnd: (entry: WorkerEntry) => void
  readonly #entries = new Map<string, WorkerEntry>()
  readonly #endedAttempts = new Map<string, number>()
  readonly #closedSessions = new Set<string>()
  readonly #events: WorkerEvent[] = []
  #session: string | null = null
  #epoch = 0
  #overCommitments = 0
  #tasksStoppedByExpiry = 0
  #peakCommitted: WorkerResources = { processors: 0, memoryMb: 0, accelerators: 0 }

  constructor (capacity: WorkerResources, onStart: (entry: WorkerEntry) => void, onEnd: (entry: WorkerEntry) => void) {
    this.#capacity = capacity
    this.#onStart = onStart
    this.#onEnd = onEnd
  }

  get session (): string | null {
    return this.#session
  }

  get epoch (): number {
    return this.#epoch
  }

  get entries (): readonly WorkerEntry[] {
    return [...this.#entries.values()]
  }

  /** All starts and ends, oldest first. */
  get events (): readonly WorkerEvent[] {
    return this.#events
  }

  /** Highest sum of the declared resources of concurrent attempts, per resource. */
  get peakCommitted (): WorkerResources {
    return this.#peakCommitted
  }

  /** Starts refused because they would have exceeded the capacity. */
  get overCommitments (): number {
    return this.#overCommitments
  }

  /** Grants or renews the lease. */
  lease (call: WorkerLeaseRequest): WorkerRefusal | undefined {
    if (call.epoch < this.#epoch) return 'lower-epoch'
    if (this.#session !== null && this.#session !== call.session) return 'other-session'
    if (this.#session === null && (!call.isNew || this.#closedSessions.has(call.session))) return 'closed-session'
    this.#session = call.session
    this.#epoch = call.epoch
    return undefined
  }

  /** Ends the lease: stops all running attempts and closes the session for good. Ends are kept until acknowledged. */
  expire (): void {
    if (this.#session === null) return
    this.#closedSessions.add(this.#session)
    this.#session = null
    for (const entry of this.#entries.values()) {
      if (entry.state !== 'running') continue
      this.#tasksStoppedByExpiry++
      this.#end(entry, 'stopped')
    }
  }

  /** Number of attempts that were stopped because the lease had expired. */
  get tasksStoppedByExpiry (): number {
    return this.#tasksStoppedByExpiry
  }

  start (start: WorkerStart): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(start)
    if (refusal !== undefined) return refusal
    const existing = this.#entries.get(keyOf(start))
    if (existing !== undefined) return existing
    if ((this.#endedAttempts.get(start.id) ?? 0) >= start.attempt) return 'ended-attempt'
    const committed = this.#committedWith(start.resources)
    if (!fitsWithin(committed, this.#capacity)) {
      this.#overCommitments++
      return 'over-committed'
    }
    this.#peakCommitted = maxOf(this.#peakCommitted, committed)
    const entry: WorkerEntry = { start, state: 'running', throttle: 1 }
    this.#entries.set(keyOf(start), entry)
    this.#events.push({ kind: 'started', id: start.id, attempt: start.attempt })
    this.#onStart(entry)
    return entry
  }

  /** Stops an attempt; one that has not been started yet is recorded as stopped, so that a late start is refused. */
  stop (call: WorkerAttempt): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(call)
    if (refusal !== undefined) return refusal
    const entry = this.#entries.get(keyOf(call))
    if (entry !== undefined) {
      if (entry.state === 'running') this.#end(entry, 'stopped')
      return entry
    }
    this.#recordEnd(call.id, call.attempt)
    const stopped: WorkerEntry = {
      start: { ...call, resources: { processors: 0, memoryMb: 0, accelerators: 0 }, command: '' }, state: 'stopped', throttle: 1
    }
    this.#entries.set(keyOf(call), stopped)
    return stopped
  }

  checkpoint (call: WorkerAttempt, content: (entry: WorkerEntry) => string): WorkerEntry | WorkerRefusal {
    return this.#update(call, entry => { entry.checkpoint = content(entry) })
  }

  throttle (call: WorkerAttempt, share: number): WorkerEntry | WorkerRefusal {
    return this.#update(call, entry => { entry.throttle = share })
  }

  acknowledge (call: WorkerAttempt): WorkerRefusal | undefined {
    // The owner may record an end after the session was closed, so only the epoch is checked.
    if (call.epoch < this.#epoch) return 'lower-epoch'
    const entry = this.#entries.get(keyOf(call))
    if (entry !== undefined && entry.state !== 'running') this.#entries.delete(keyOf(call))
    return undefined
  }

  /** Records that an attempt ended by itself. */
  finish (entry: WorkerEntry, state: 'finished' | 'failed', result: string): void {
    if (entry.state !== 'running') return
    entry.result = result
    this.#end(entry, state)
  }

  #check (call: Readonly<{ leaseSession: string, epoch: number }>): WorkerRefusal | undefined {
    if (call.epoch < this.#epoch) return 'lower-epoch'
    if (this.#session === null || this.#closedSessions.has(call.leaseSession)) return 'closed-session'
    if (call.leaseSession !== this.#session) return 'other-session'
    return undefined
  }

  #update (call: WorkerAttempt, change: (entry: WorkerEntry) => void): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(call)
    if (refusal !== undefined) return refusal
    const entry = this.#entries.get(keyOf(call))
    if (entry === undefined) return 'ended-attempt'
    if (entry.state === 'running') change(entry)
    return entry
  }

  #end (entry: WorkerEntry, state: 'finished' | 'failed' | 'stopped'): void {
    entry.state = state
    this.#recordEnd(entry.start.id, entry.start.attempt)
    this.#events.push({ kind: 'ended', id: entry.start.id, attempt: entry.start.attempt, end: state })
    this.#onEnd(entry)
  }

  #recordEnd (id: string, attempt: number): void {
    this.#endedAttempts.set(id, Math.max(attempt, this.#endedAttempts.get(id) ?? 0))
  }

  #committedWith (added: WorkerResources): WorkerResources {
    let { processors, memoryMb, accelerators } = added
    for (const entry of this.#entries.values()) {
      if (entry.state !== 'running') continue
      processors += entry.start.resources.processors
      memoryMb += entry.start.resources.memoryMb
      accelerators += entry.start.resources.accelerators
    }
    return { processors, memoryMb, accelerators }
  }
}

const keyOf = (call: Readonly<{ id: string, attempt: number }>): string => `${call.id}/${call.attempt}`

const fitsWithin = (used: WorkerResources, capacity: WorkerResources): boolean =>
  used.processors <= capacity.processors + 1e-9 && used.memoryMb <= capacity.memoryMb && used.accelerators <= capacity.accelerators

const maxOf = (left: WorkerResources, right: WorkerResources): WorkerResources => ({
  processors: Math.max(left.processors, right.processors),
  memoryMb: Math.max(left.memoryMb, right.memoryMb),
  accelerators: Math.max(left.accelerators, right.accelerators)
})
