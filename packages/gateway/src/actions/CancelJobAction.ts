/**
 * `DELETE /v1/jobs/:id`: cancels a job.
 */
import { AuburnpinError, brand, Err, Ok, type Result, type TaskId } from '@auburnpin/common'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'
import { sendToOwner } from './sendToOwner.ts'
import { findTask } from './findTask.ts'

/** Cancels a job; `outcome` is `not-run` if no attempt was ever assigned. */
export class CancelJobAction extends Action {
  readonly name = 'cancel-job'
  readonly method = 'DELETE'
  readonly path = '/v1/jobs/:id'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const found = await findTask(ports, brand<TaskId>(request.id))
    if (found.err) return found
    const { cell, task } = found.val
    if (task.spec.kind !== 'batch') {
      return Err(new AuburnpinError('invalid-request', `Task "${task.spec.id}" is declared as a ${task.spec.kind}`, 'Withdraw it with a release note.'))
    }
    const reply = await sendToOwner(ports, cell, { kind: 'cancel', cell, task: task.spec.id })
    if (reply.err) return reply
    const cancelled = reply.val.kind === 'accepted' ? reply.val.task : task
    return Ok({ status: 200, body: { id: task.spec.id, state: cancelled.state, outcome: cancelled.attempt === 0 ? 'not-run' : 'unknown' } })
  }
}
