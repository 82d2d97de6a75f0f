/**
 * Finds a task and the cell that contains it.
 */
import { AuburnpinError, Err, Ok, type CellId, type Result, type TaskId } from '@auburnpin/common'
import type { Task, TaskReason, Vm } from '@auburnpin/core'
import type { ActionPorts } from './Action.ts'
import { sendToOwner, cellOfJob } from './sendToOwner.ts'

/** A task and the cell that contains it. */
export type FoundTask = Readonly<{ cell: CellId, task: Task, vm?: Vm | null, reason?: TaskReason }>

/**
 * Requests the task from the cell that a submitted job would be in, then from all others at once, as declared tasks
 * and tasks that were handed over are in other cells. Errors: `unreachable` when a cell that may contain it did not
 * respond.
 */
export const findTask = async (ports: ActionPorts, id: TaskId): Promise<Result<FoundTask, AuburnpinError>> => {
  const defaultCell = cellOfJob(ports, id)
  const first = await findIn(ports, defaultCell, id)
  if (first.ok && first.val !== null) return Ok(first.val)
  const unresponsive: CellId[] = first.err ? [defaultCell] : []
  const others = ports.cells.filter(cell => cell !== defaultCell)
  const results = await Promise.all(others.map(cell => findIn(ports, cell, id)))
  for (const [index, result] of results.entries()) {
    if (result.ok && result.val !== null) return Ok(result.val)
    if (result.err) unresponsive.push(others[index] as CellId)
  }
  if (unresponsive.length > 0) {
    return Err(new AuburnpinError('unreachable', `Task "${id}" was not found in the cells that responded; no response from ${unresponsive.join(', ')}`, 'Ask again in a few seconds; another member takes such cells over.'))
  }
  return Err(new AuburnpinError('not-found', `Task "${id}" is not known`, 'List the tasks with `auburnpin jobs list`.'))
}

const findIn = async (ports: ActionPorts, cell: CellId, task: TaskId): Promise<Result<FoundTask | null, AuburnpinError>> => {
  const reply = await sendToOwner(ports, cell, { kind: 'find-task', cell, task })
  return reply.map(found => found.kind === 'task' && found.task !== null ? { cell, task: found.task, vm: found.vm, reason: found.reason } : null)
}
