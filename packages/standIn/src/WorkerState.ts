/**
 * A worker's rules, without its network: leases, epochs, attempts, room.
 */

/** Resources as they come over the wire. */
export type WorkerRoom = Readonly<{ processors: number, memoryMb: number, accelerators: number }>

/** What a worker is asked to run. */
export type WorkerStart = Readonly<{
  id: string
  attempt: number
  leaseSession: string
  epoch: number
  resources: WorkerRoom
  command: string
  service?: string
  checkpoint?: string
}>

/** Names an attempt and who speaks for it. */
export type WorkerAttempt = Readonly<{ id: string, attempt: number, leaseSession: string, epoch: number }>

/** A lease as it is asked for. */
export type WorkerLeaseCall = Readonly<{ session: string, epoch: number, ttlMs: number, isNew: boolean }>

/** One task on the worker. */
export type WorkerEntry = {
  readonly start: WorkerStart
  state: 'running' | 'finished' | 'failed' | 'stopped'
  result?: string
  checkpoint?: string
  address?: string
  throttle: number
}

/** Why a call was refused. */
export type WorkerRefusal = 'lower-epoch' | 'other-session' | 'closed-session' | 'over-committed' | 'ended-attempt'

/** What really happened, for observers. */
export type WorkerEvent = Readonly<{ kind: 'started' | 'ended', id: string, attempt: number, end?: WorkerEntry['state'] }>

/** Applies the worker contract; `onStart` and `onEnd` tell the shell what to run and to end. */
export class WorkerState {
  readonly #room: WorkerRoom
  readonly #onStart: (entry: WorkerEntry) => void
  readonly #onEnd: (entry: WorkerEntry) => void
  readonly #entries = new Map<string, WorkerEntry>()
  readonly #endedAttempts = new Map<string, number>()
  readonly #closedSessions = new Set<string>()
  readonly #events: WorkerEvent[] = []
  #session: string | null = null
  #epoch = 0
  #overCommitments = 0
  #lapses = 0
  #mostCommitted: WorkerRoom = { processors: 0, memoryMb: 0, accelerators: 0 }

  constructor (room: WorkerRoom, onStart: (entry: WorkerEntry) => void, onEnd: (entry: WorkerEntry) => void) {
    this.#room = room
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

  /** Every start and end that really happened. */
  get events (): readonly WorkerEvent[] {
    return this.#events
  }

  /** The most that ran at a time, by declared size. */
  get mostCommitted (): WorkerRoom {
    return this.#mostCommitted
  }

  /** Starts that would have committed more than there is. */
  get overCommitments (): number {
    return this.#overCommitments
  }

  /** Takes or renews the lease. */
  lease (call: WorkerLeaseCall): WorkerRefusal | undefined {
    if (call.epoch < this.#epoch) return 'lower-epoch'
    if (this.#session !== null && this.#session !== call.session) return 'other-session'
    if (this.#session === null && (!call.isNew || this.#closedSessions.has(call.session))) return 'closed-session'
    this.#session = call.session
    this.#epoch = call.epoch
    return undefined
  }

  /** The lease has run out: everything running stops and the session is closed for good. Ends stay until acknowledged. */
  expire (): void {
    if (this.#session === null) return
    this.#closedSessions.add(this.#session)
    this.#session = null
    for (const entry of this.#entries.values()) {
      if (entry.state !== 'running') continue
      this.#lapses++
      this.#end(entry, 'stopped')
    }
  }

  /** Tasks that were stopped because the lease had run out. */
  get lapses (): number {
    return this.#lapses
  }

  start (start: WorkerStart): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(start)
    if (refusal !== undefined) return refusal
    const present = this.#entries.get(keyOf(start))
    if (present !== undefined) return present
    if ((this.#endedAttempts.get(start.id) ?? 0) >= start.attempt) return 'ended-attempt'
    const committed = this.#committedWith(start.resources)
    if (!isWithin(committed, this.#room)) {
      this.#overCommitments++
      return 'over-committed'
    }
    this.#mostCommitted = largerOf(this.#mostCommitted, committed)
    const entry: WorkerEntry = { start, state: 'running', throttle: 1 }
    this.#entries.set(keyOf(start), entry)
    this.#events.push({ kind: 'started', id: start.id, attempt: start.attempt })
    this.#onStart(entry)
    return entry
  }

  /** Stops an attempt; one that never came is refused from now on. */
  stop (call: WorkerAttempt): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(call)
    if (refusal !== undefined) return refusal
    const entry = this.#entries.get(keyOf(call))
    if (entry !== undefined) {
      if (entry.state === 'running') this.#end(entry, 'stopped')
      return entry
    }
    this.#noteEnded(call.id, call.attempt)
    const stopped: WorkerEntry = {
      start: { ...call, resources: { processors: 0, memoryMb: 0, accelerators: 0 }, command: '' }, state: 'stopped', throttle: 1
    }
    this.#entries.set(keyOf(call), stopped)
    return stopped
  }

  checkpoint (call: WorkerAttempt, content: (entry: WorkerEntry) => string): WorkerEntry | WorkerRefusal {
    return this.#change(call, entry => { entry.checkpoint = content(entry) })
  }

  throttle (call: WorkerAttempt, share: number): WorkerEntry | WorkerRefusal {
    return this.#change(call, entry => { entry.throttle = share })
  }

  acknowledge (call: WorkerAttempt): WorkerRefusal | undefined {
    // An end may be recorded after its session was closed, so only the epoch counts here.
    if (call.epoch < this.#epoch) return 'lower-epoch'
    const entry = this.#entries.get(keyOf(call))
    if (entry !== undefined && entry.state !== 'running') this.#entries.delete(keyOf(call))
    return undefined
  }

  /** The task's own end. */
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

  #change (call: WorkerAttempt, change: (entry: WorkerEntry) => void): WorkerEntry | WorkerRefusal {
    const refusal = this.#check(call)
    if (refusal !== undefined) return refusal
    const entry = this.#entries.get(keyOf(call))
    if (entry === undefined) return 'ended-attempt'
    if (entry.state === 'running') change(entry)
    return entry
  }

  #end (entry: WorkerEntry, state: 'finished' | 'failed' | 'stopped'): void {
    entry.state = state
    this.#noteEnded(entry.start.id, entry.start.attempt)
    this.#events.push({ kind: 'ended', id: entry.start.id, attempt: entry.start.attempt, end: state })
    this.#onEnd(entry)
  }

  #noteEnded (id: string, attempt: number): void {
    this.#endedAttempts.set(id, Math.max(attempt, this.#endedAttempts.get(id) ?? 0))
  }

  #committedWith (more: WorkerRoom): WorkerRoom {
    let { processors, memoryMb, accelerators } = more
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

const isWithin = (used: WorkerRoom, room: WorkerRoom): boolean =>
  used.processors <= room.processors + 1e-9 && used.memoryMb <= room.memoryMb && used.accelerators <= room.accelerators

const largerOf = (left: WorkerRoom, right: WorkerRoom): WorkerRoom => ({
  processors: Math.max(left.processors, right.processors),
  memoryMb: Math.max(left.memoryMb, right.memoryMb),
  accelerators: Math.max(left.accelerators, right.accelerators)
})
