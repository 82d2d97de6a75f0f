/**
 * In-memory workers that follow the same rules as the stand-in worker, on any clock.
 */
import { AuburnpinError, Err, Ok, type Clock, type Result, type Timer } from '@auburnpin/common'
import {
  Worker, Workers, type AttemptReference, type TaskStart, type UsageSample, type WorkerResponse, type WorkerLease, type WorkerReport, type WorkerTask
} from '@auburnpin/ports'
import { reportEntry, WorkerState, type WorkerEntry, type WorkerRefusal, type WorkerResources } from '@auburnpin/stand-in'
import type { FakeLink } from './FakeLink.ts'

/** What a fake task does: it finishes or fails after a time, or stays running until it is stopped. */
export type FakeTaskBehaviour = Readonly<{ kind: 'finish' | 'fail', afterMs: number }> | Readonly<{ kind: 'stay' }>

/** Decides the behaviour of a task when it starts. */
export type FakeBehaviourChooser = (start: WorkerEntry['start']) => FakeTaskBehaviour

/** One VM's worker; `state.events` records what actually ran. */
export class FakeVmWorker {
  readonly #state: WorkerState
  readonly #clock: Clock
  readonly #behaviourOf: FakeBehaviourChooser
  readonly #timers = new Map<WorkerEntry, Timer>()
  #leaseTimer: Timer | undefined
  #isDead = false

  constructor (capacity: WorkerResources, clock: Clock, behaviourOf: FakeBehaviourChooser) {
    this.#clock = clock
    this.#behaviourOf = behaviourOf
    this.#state = new WorkerState(capacity, entry => this.#run(entry), entry => this.#timers.get(entry)?.cancel())
  }

  get state (): WorkerState {
    return this.#state
  }

  get isDead (): boolean {
    return this.#isDead
  }

  /** Simulates the failure of the VM: all tasks end at once and calls fail as unreachable. */
  kill (): void {
    this.#isDead = true
    this.#state.expire()
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
    const end = behaviour.kind === 'finish' ? 'finished' : 'failed'
    this.#timers.set(entry, this.#clock.after(behaviour.afterMs, () => this.#state.finish(entry, end, `attempt ${entry.start.attempt}`)))
  }
}

/** All workers by address. */
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
    return new FakeWorker(this.#vms.get(address), this.#link, this.#member, address)
  }
}

class FakeWorker extends Worker {
  readonly #vm: FakeVmWorker | undefined
  readonly #link: FakeLink
  readonly #member: string
  readonly #address: string

  constructor (vm: FakeVmWorker | undefined, link: FakeLink, member: string, address: string) {
    super()
    this.#vm = vm
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
      if (this.#vm === undefined || this.#vm.isDead) return Err(new AuburnpinError('unreachable', `No worker at ${this.#address}`, 'See the VM list.'))
      return Ok(effect(this.#vm))
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
