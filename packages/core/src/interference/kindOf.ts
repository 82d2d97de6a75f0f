/**
 * Which tasks are of one kind: they run the same program for the same team.
 */
import type { TaskSpec } from '../cell/types.ts'

/**
 * The kind under which what is learnt of a task is kept.
 *
 * @example
 * kindOf(spec) // 'buyers/replenish' for the command 'replenish kandy --week 12'
 */
export const kindOf = ({ team, command }: Pick<TaskSpec, 'team' | 'command'>): string => {
  const end = command.indexOf(' ')
  return `${team}/${end < 0 ? command : command.slice(0, end)}`
}
