/**
 * `DELETE /v1/jobs/:id`: cancels a job.
 */
import { brand, Ok, type AuburnpinError, type Result, type TaskId } from '@auburnpin/common'
import { Action, type ActionAnswer, type ActionPorts, type ActionRequest } from './Action.ts'
import { askOwner, cellOfJob } from './askOwner.ts'

/** Cancels a job; `outcome` is `not-run` when no attempt was ever assigned. */
export class CancelJobAction extends Action {
  readonly name = 'cancel-job'
  readonly method = 'DELETE'
  readonly path = '/v1/jobs/:id'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionAnswer, AuburnpinError>> {
    const task = brand<TaskId>(request.id)
    const cell = cellOfJob(ports, task)
    const reply = await askOwner(ports, cell, { kind: 'cancel', cell, task })
    if (reply.err) return reply
    const isNotRun = reply.val.kind === 'accepted' && reply.val.task.attempt === 0
    return Ok({ status: 200, body: { id: task, outcome: isNotRun ? 'not-run' : 'unknown' } })
  }
}
