/**
 * `GET /v1/jobs/:id`: shows one task.
 */
import { AuburnpinError, brand, Err, Ok, type Result, type TaskId } from '@auburnpin/common'
import { Action, type ActionAnswer, type ActionPorts, type ActionRequest } from './Action.ts'
import { askOwner, cellOfJob } from './askOwner.ts'

/** Shows a submitted job. */
export class ShowJobAction extends Action {
  readonly name = 'show-job'
  readonly method = 'GET'
  readonly path = '/v1/jobs/:id'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionAnswer, AuburnpinError>> {
    const task = brand<TaskId>(request.id)
    const cell = cellOfJob(ports, task)
    const reply = await askOwner(ports, cell, { kind: 'find-task', cell, task })
    if (reply.err) return reply
    if (reply.val.kind !== 'task' || reply.val.task === null) {
      return Err(new AuburnpinError('not-found', `Job "${task}" is not known`, 'List the jobs with `auburnpin jobs list`.'))
    }
    return Ok({ status: 200, body: reply.val.task })
  }
}
