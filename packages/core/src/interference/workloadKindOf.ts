/**
 * The workload kind of a task: its team and program.
 */
import type { TaskSpec } from '../cell/types.ts'

/**
 * Key of the workload kind. Estimates are learnt per workload kind, as tasks that run the same program for the same
 * team are expected to behave alike.
 *
 * @example
 * workloadKindOf(spec) // 'buyers/replenish' for the command 'replenish kandy --week 12'
 */
export const workloadKindOf = ({ team, command }: Pick<TaskSpec, 'team' | 'command'>): string => {
  const end = command.indexOf(' ')
  return `${team}/${end < 0 ? command : command.slice(0, end)}`
}
