/**
 * `GET /v1/jobs`: lists the tasks of all cells.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import { TASK_STATES, type Task } from '@auburnpin/core'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'
import { sendToOwner } from './sendToOwner.ts'
import { readLimit } from './readLimit.ts'

/** Lists tasks. `missing` names the cells that did not respond, so that a partial list is recognisable. */
export class ListJobsAction extends Action {
  readonly name = 'list-jobs'
  readonly method = 'GET'
  readonly path = '/v1/jobs'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const state = request.query.get('state')
    if (state !== null && !TASK_STATES.some(candidate => candidate === state)) {
      return Err(new AuburnpinError('invalid-request', `There is no state "${state}"`, `Use one of ${TASK_STATES.join(', ')}.`))
    }
    const limit = readLimit(request.query, Infinity)
    if (limit.err) return limit
    const { tasks, missing } = await listTasks(ports)
    const matching = state === null ? tasks : tasks.filter(task => task.state === state)
    return Ok({ status: 200, body: { tasks: matching.slice(0, limit.val), total: matching.length, missing } })
  }
}

const listTasks = async (ports: ActionPorts): Promise<{ tasks: Task[], missing: string[] }> => {
  const tasks: Task[] = []
  const missing: string[] = []
  const replies = await Promise.all(ports.cells.map(cell => sendToOwner(ports, cell, { kind: 'list-tasks', cell })))
  for (const [index, reply] of replies.entries()) {
    if (reply.ok && reply.val.kind === 'tasks') tasks.push(...reply.val.tasks)
    else missing.push(ports.cells[index] as string)
  }
  return { tasks, missing }
}
