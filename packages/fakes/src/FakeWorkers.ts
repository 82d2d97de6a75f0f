/**
 * In-memory workers that follow the same rules as the stand-in worker, on any clock.
 */
import { AuburnpinError, Err, Ok, type Clock, type Result, type Timer } from '@auburnpin/common'
import {
  Worker, Workers, type AttemptReference, type TaskStart, type UsageSample, type WorkerResponse, type WorkerLease, type WorkerReport, type WorkerTask
} from '@auburnpin/ports'
import { reportEntry, WorkerState, type WorkerEntry, type WorkerEvent, type WorkerRefusal, type WorkerResources } from '@auburnpin/stand-in'
import type { FakeLink } from './FakeLink.ts'

/**
 * What a fake task does: it finishes or fails after a time, stays running until it is stopped, or crashes its worker,
 * which starts again after `restartMs`, if that is set.
 */
export type FakeTaskBehaviour =
  | Readonly<{ kind: 'finish' | 'fail', afterMs: number }>
  | Readonly<{ kind: 'crash', afterMs: number, restartMs?: number }>
  | Readonly<{ kind: 'stay' }>

/** Decides the behaviour of a task when it starts. */
export type FakeBehaviourChooser = (start: WorkerEntry['start']) => FakeTaskBehaviour

/** One VM's worker; `events` records what actually ran. */
export class FakeVmWorker {
  readonly #capacity: WorkerResources
  readonly #clock: Clock
  readonly #behaviourOf: FakeBehaviourChooser
  readonly #timers = new Map<WorkerEntry, Timer>()
  readonly #earlierEvents: WorkerEvent[] = []
  #state: WorkerState
  #leaseTimer: Timer | undefined
  #isDead = false
  #crashes = 0

  constructor (capacity: WorkerResources, clock: Clock, behaviourOf: FakeBehaviourChooser) {
    this.#capacity = capacity
    this.#clock = clock
    this.#behaviourOf = behaviourOf
    this.#state = this.#newState()
  }

  get state (): WorkerState {
    return this.#state
  }

  /** All starts and ends, oldest first, also those before a restart. */
  get events (): readonly WorkerEvent[] {
    return [...this.#earlierEvents, ...this.#state.events]
  }

  /** Number of times that the worker was lost through `kill` or a task. */
  get crashes (): number {
    return this.#crashes
  }

  get isDead (): boolean {
    return this.#isDead
  }

  /** Simulates the failure of the VM: all tasks end at once and calls fail as unreachable. */
  kill (): void {
    if (this.#isDead) return
    this.#isDead = true
    this.#crashes++
    this.#leaseTimer?.cancel()
    this.#state.expire()
  }

  /** Starts the worker again; nothing that it knew before the failure is left. */
  restart (): void {
    this.#earlierEvents.push(...this.#state.events)
    this.#state = this.#newState()
    this.#isDead = false
  }

  lease (lease: WorkerLease): WorkerRefusal | undefined {
    const refusal = this.#state.lease(lease)
    if (refusal !== undefined) return refusal
    this.#leaseTimer?.cancel()
    this.#leaseTimer = this.#clock.after(lease.ttlMs, () => this.#state.expire())
    return undefined
  }

  #run (entry: WorkerEntry): void {
    if (entry.start.service !== undefined) entry.address = `127.0.0.1:${entry.start.attempt}`
    const behaviour = this.#behaviourOf(entry.start)
    if (behaviour.kind === 'stay') return
    if (behaviour.kind === 'crash') {
      this.#timers.set(entry, this.#clock.after(behaviour.afterMs, () => this.#crash(behaviour.restartMs)))
      return
    }
    const end = behaviour.kind === 'finish' ? 'finished' : 'failed'
    this.#timers.set(entry, this.#clock.after(behaviour.afterMs, () => this.#state.finish(entry, end, `attempt ${entry.start.attempt}`)))
  }

  #crash (restartMs: number | undefined): void {
    this.kill()
    if (restartMs !== undefined) this.#clock.after(restartMs, () => this.restart())
  }

  #newState (): WorkerState {
    return new WorkerState(this.#capacity, entry => this.#run(entry), entry => this.#timers.get(entry)?.cancel())
  }
}

/** All workers by address; a call reaches the one that is at the address once it is delivered. */
export class FakeWorkers extends Workers {
  readonly #link: FakeLink
  readonly #member: string
  readonly #vms: ReadonlyMap<string, FakeVmWorker>

  constructor (vms: ReadonlyMap<string, FakeVmWorker>, link: FakeLink, member: string) {
    super()
    this.#vms = vms
    this.#link = link
    this.#member = member
  }

  at (address: string): Worker {
    return new FakeWorker(this.#vms, this.#link, this.#member, address)
  }
}

class FakeWorker extends Worker {
  readonly #vms: ReadonlyMap<string, FakeVmWorker>
  readonly #link: FakeLink
  readonly #member: string
  readonly #address: string

  constructor (vms: ReadonlyMap<string, FakeVmWorker>, link: FakeLink, member: string, address: string) {
    super()
    this.#vms = vms
    this.#link = link
    this.#member = member
    this.#address = address
  }

  lease (lease: WorkerLease): Promise<Result<WorkerResponse<WorkerLease>, AuburnpinError>> {
    return this.#call('lease', vm => toResponse(vm, vm.lease(lease) ?? lease))
  }

  start (start: TaskStart): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#call(`start ${start.id}`, vm => toTaskResponse(vm, vm.state.start(start)))
  }

  stop (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#call(`stop ${attempt.id}`, vm => toTaskResponse(vm, vm.state.stop(attempt)))
  }

  checkpoint (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#call(`checkpoint ${attempt.id}`, vm => toTaskResponse(vm, vm.state.checkpoint(attempt, entry => `after attempt ${entry.start.attempt}`)))
  }

  throttle (attempt: AttemptReference, share: number): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#call(`throttle ${attempt.id}`, vm => toTaskResponse(vm, vm.state.throttle(attempt, share)))
  }

  acknowledge (attempt: AttemptReference): Promise<Result<WorkerResponse<null>, AuburnpinError>> {
    return this.#call(`acknowledge ${attempt.id}`, vm => toResponse(vm, vm.state.acknowledge(attempt) ?? null))
  }

  report (): Promise<Result<WorkerReport, AuburnpinError>> {
    return this.#call('report', vm => ({
      session: vm.state.session, epoch: vm.state.epoch, tasks: vm.state.entries.map(toTask)
    } as unknown as WorkerReport))
  }

  usage (): Promise<Result<readonly UsageSample[], AuburnpinError>> {
    return this.#call('usage', () => [])
  }

  #call<Value> (operation: string, effect: (vm: FakeVmWorker) => Value): Promise<Result<Value, AuburnpinError>> {
    return this.#link.deliver(this.#member, this.#address, operation, () => {
      const vm = this.#vms.get(this.#address)
      if (vm === undefined || vm.isDead) return Err(new AuburnpinError('unreachable', `No worker at ${this.#address}`, 'See the VM list.'))
      return Ok(effect(vm))
    })
  }
}

const toTask = (entry: WorkerEntry): WorkerTask => reportEntry(entry) as unknown as WorkerTask

const toResponse = <Value>(vm: FakeVmWorker, value: Value | WorkerRefusal): WorkerResponse<Value> => {
  if (typeof value !== 'string') return { kind: 'done', value }
  return { kind: 'refused', reason: value as WorkerRefusal, session: vm.state.session, epoch: vm.state.epoch } as unknown as WorkerResponse<Value>
}

const toTaskResponse = (vm: FakeVmWorker, value: WorkerEntry | WorkerRefusal): WorkerResponse<WorkerTask> =>
  typeof value === 'string' ? toResponse<WorkerTask>(vm, value) : { kind: 'done', value: toTask(value) }
