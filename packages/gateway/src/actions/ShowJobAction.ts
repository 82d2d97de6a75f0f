/**
 * `GET /v1/jobs/:id`: shows one task.
 */
import { brand, type AuburnpinError, type Result, type TaskId } from '@auburnpin/common'
import { explainTask } from '@auburnpin/core'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'
import { findTask } from './findTask.ts'

/** Returns any task, submitted or declared, with its cell and a sentence that explains its state. */
export class ShowJobAction extends Action {
  readonly name = 'show-job'
  readonly method = 'GET'
  readonly path = '/v1/jobs/:id'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const found = await findTask(ports, brand<TaskId>(request.id))
    return found.map(({ cell, task, vm, reason }) => ({ status: 200, body: { ...task, cell, explanation: explainTask(task, { vm, reason }) } }))
  }
}
