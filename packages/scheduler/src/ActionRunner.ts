/**
 * Execution of the actions of a cell at its workers.
 */
import PQueue from 'p-queue'
import { assertNever, type AuburnpinError, type Log, type Result, type VmId } from '@auburnpin/common'
import type { CellAction, CellTerm } from '@auburnpin/core'
import type { AttemptReference, TaskStart, WorkerResponse, Workers } from '@auburnpin/ports'
import { MAX_CONCURRENT_VM_ACTIONS, MAX_PENDING_VM_ACTIONS } from './constants.ts'

type WorkerAction = Exclude<CellAction, { kind: 'publish-endpoints' }>
type VmActions = Readonly<{ queue: PQueue, keys: Set<string> }>

/** Sends each action once, with bounded concurrency per worker. The cell repeats a lost action after the next report of the worker. */
export class ActionRunner {
  readonly #term: CellTerm
  readonly #workers: Workers
  readonly #log: Log
  readonly #vms = new Map<VmId, VmActions>()

  constructor (term: CellTerm, workers: Workers, log: Log) {
    this.#term = term
    this.#workers = workers
    this.#log = log
  }

  /** Number of actions that are queued or in flight. */
  get pending (): number {
    let pending = 0
    for (const { keys } of this.#vms.values()) pending += keys.size
    return pending
  }

  /** Queues an action, unless the same one is pending or too many are pending for the worker. */
  run (action: WorkerAction): void {
    const { queue, keys } = this.#actionsOf(action.vm)
    const key = keyOf(action)
    if (keys.has(key) || keys.size >= MAX_PENDING_VM_ACTIONS) return
    keys.add(key)
    void queue.add(async () => {
      await this.#execute(action)
      keys.delete(key)
      if (keys.size === 0) this.#vms.delete(action.vm)
    })
  }

  #actionsOf (vm: VmId): VmActions {
    const present = this.#vms.get(vm)
    if (present !== undefined) return present
    const created: VmActions = { queue: new PQueue({ concurrency: MAX_CONCURRENT_VM_ACTIONS }), keys: new Set() }
    this.#vms.set(vm, created)
    return created
  }

  async #execute (action: WorkerAction): Promise<void> {
    const response = await this.#send(action)
    const { cell, epoch } = this.#term
    const attempt = action.kind === 'start' ? { task: action.task.spec.id, attempt: action.task.attempt } : { task: action.task, attempt: action.attempt }
    const fields = { cell, epoch, vm: action.vm, action: action.kind, ...attempt }
    if (response.err) this.#log.debug('Worker did not respond to an action', { ...fields, reason: response.val.message })
    else if (response.val.kind === 'refused') this.#log.warn('Worker refused an action', { ...fields, reason: response.val.reason })
  }

  #send (action: WorkerAction): Promise<Result<WorkerResponse<unknown>, AuburnpinError>> {
    const worker = this.#workers.at(action.address)
    switch (action.kind) {
      case 'start':
        return worker.start(this.#toStart(action))
      case 'stop':
        return action.isCheckpointed ? this.#checkpointAndStop(action) : worker.stop(this.#toReference(action))
      case 'throttle':
        return worker.throttle(this.#toReference(action), action.share)
      case 'acknowledge':
        return worker.acknowledge(this.#toReference(action))
      default:
        return assertNever(action, 'cell action')
    }
  }

  async #checkpointAndStop (action: Extract<WorkerAction, { kind: 'stop' }>): Promise<Result<WorkerResponse<unknown>, AuburnpinError>> {
    const worker = this.#workers.at(action.address)
    const reference = this.#toReference(action)
    const checkpointed = await worker.checkpoint(reference)
    if (checkpointed.err) return checkpointed
    return await worker.stop(reference)
  }

  #toStart (action: Extract<WorkerAction, { kind: 'start' }>): TaskStart {
    const { spec, attempt, checkpoint } = action.task
    return {
      id: spec.id,
      attempt,
      leaseSession: action.session,
      epoch: this.#term.epoch,
      resources: spec.resources,
      command: spec.command,
      service: spec.service,
      checkpoint
    }
  }

  #toReference (action: Exclude<WorkerAction, { kind: 'start' }>): AttemptReference {
    return { id: action.task, attempt: action.attempt, leaseSession: action.session, epoch: this.#term.epoch }
  }
}

const keyOf = (action: WorkerAction): string => {
  if (action.kind === 'start') return `start ${action.task.spec.id}/${action.task.attempt} ${action.session}`
  const share = action.kind === 'throttle' ? ` ${action.share}` : ''
  return `${action.kind} ${action.task}/${action.attempt} ${action.session}${share}`
}
