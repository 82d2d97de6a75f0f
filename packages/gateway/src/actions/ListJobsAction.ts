/**
 * `GET /v1/jobs`: lists the tasks of all cells.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { Action, type ActionAnswer, type ActionPorts } from './Action.ts'
import { askOwner } from './askOwner.ts'

/** Lists tasks; cells that gave no answer are named, so that a short list is not taken for a whole one. */
export class ListJobsAction extends Action {
  readonly name = 'list-jobs'
  readonly method = 'GET'
  readonly path = '/v1/jobs'

  async run (ports: ActionPorts): Promise<Result<ActionAnswer, AuburnpinError>> {
    const tasks: Task[] = []
    const missing: string[] = []
    for (const cell of ports.cells) {
      const reply = await askOwner(ports, cell, { kind: 'list-tasks', cell })
      if (reply.ok && reply.val.kind === 'tasks') tasks.push(...reply.val.tasks)
      else missing.push(cell)
    }
    return Ok({ status: 200, body: { tasks, missing } })
  }
}
