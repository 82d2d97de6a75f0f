/**
 * Carries out what a cell asks of its workers.
 */
import { assertNever, type AuburnpinError, type Log, type Result } from '@auburnpin/common'
import type { CellAction, CellTerm } from '@auburnpin/core'
import type { AttemptAddress, TaskStart, WorkerAnswer, Workers } from '@auburnpin/platform'

type WorkerAction = Exclude<CellAction, { kind: 'publish-endpoints' }>

/** Sends each action once; what gets lost is sent again after the worker's next report. */
export class ActionRunner {
  readonly #term: CellTerm
  readonly #workers: Workers
  readonly #log: Log

  constructor (term: CellTerm, workers: Workers, log: Log) {
    this.#term = term
    this.#workers = workers
    this.#log = log
  }

  /** Resolves when the worker has answered or failed to. */
  async run (action: WorkerAction): Promise<void> {
    const answer = await this.#send(action)
    if (answer.err) this.#log.debug('A worker gave no answer', { vm: action.vm, action: action.kind, reason: answer.val.message })
    else if (answer.val.kind === 'refused') this.#log.warn('A worker refused', { vm: action.vm, action: action.kind, reason: answer.val.reason })
  }

  #send (action: WorkerAction): Promise<Result<WorkerAnswer<unknown>, AuburnpinError>> {
    const worker = this.#workers.at(action.address)
    switch (action.kind) {
      case 'start':
        return worker.start(this.#toStart(action))
      case 'stop':
        return action.isCheckpointed ? this.#checkpointAndStop(action) : worker.stop(this.#toAddress(action))
      case 'throttle':
        return worker.throttle(this.#toAddress(action), action.share)
      case 'acknowledge':
        return worker.acknowledge(this.#toAddress(action))
      default:
        return assertNever(action, 'cell action')
    }
  }

  async #checkpointAndStop (action: Extract<WorkerAction, { kind: 'stop' }>): Promise<Result<WorkerAnswer<unknown>, AuburnpinError>> {
    const worker = this.#workers.at(action.address)
    const address = this.#toAddress(action)
    const checkpointed = await worker.checkpoint(address)
    if (checkpointed.err) return checkpointed
    return await worker.stop(address)
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

  #toAddress (action: Exclude<WorkerAction, { kind: 'start' }>): AttemptAddress {
    return { id: action.task, attempt: action.attempt, leaseSession: action.session, epoch: this.#term.epoch }
  }
}
