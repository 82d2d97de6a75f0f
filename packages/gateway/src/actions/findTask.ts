/**
 * Finds a task in whichever cell keeps it.
 */
import { AuburnpinError, Err, Ok, type CellId, type Result, type TaskId } from '@auburnpin/common'
import type { Task, TaskReason, Vm } from '@auburnpin/core'
import type { ActionPorts } from './Action.ts'
import { askOwner, cellOfJob } from './askOwner.ts'

/** A task and the cell that keeps it. */
export type FoundTask = Readonly<{ cell: CellId, task: Task, vm?: Vm | null, reason?: TaskReason }>

/**
 * Asks the cell that a submitted job would be in, then all others at once: declared tasks and tasks that were
 * handed over stand elsewhere. `unreachable` when a cell that might have it gave no answer.
 */
export const findTask = async (ports: ActionPorts, id: TaskId): Promise<Result<FoundTask, AuburnpinError>> => {
  const likeliest = cellOfJob(ports, id)
  const first = await findIn(ports, likeliest, id)
  if (first.ok && first.val !== null) return Ok(first.val)
  const silent: CellId[] = first.err ? [likeliest] : []
  const others = ports.cells.filter(cell => cell !== likeliest)
  const answers = await Promise.all(others.map(cell => findIn(ports, cell, id)))
  for (const [index, answer] of answers.entries()) {
    if (answer.ok && answer.val !== null) return Ok(answer.val)
    if (answer.err) silent.push(others[index] as CellId)
  }
  if (silent.length > 0) {
    return Err(new AuburnpinError('unreachable', `Task "${id}" is in no cell that answered; no answer from ${silent.join(', ')}`, 'Ask again in a few seconds; another member takes such cells over.'))
  }
  return Err(new AuburnpinError('not-found', `Task "${id}" is not known`, 'List the tasks with `auburnpin jobs list`.'))
}

const findIn = async (ports: ActionPorts, cell: CellId, task: TaskId): Promise<Result<FoundTask | null, AuburnpinError>> => {
  const reply = await askOwner(ports, cell, { kind: 'find-task', cell, task })
  return reply.map(found => found.kind === 'task' && found.task !== null ? { cell, task: found.task, vm: found.vm, reason: found.reason } : null)
}
