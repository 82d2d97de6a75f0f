/**
 * The tasks that a configuration declares, and their assignment to cells.
 */
import { brand, rendezvousRank, type CellId, type ServiceName, type TaskId } from '@auburnpin/common'
import type { Configuration } from '../configuration/types.ts'
import type { TaskSpec } from './types.ts'

/**
 * Specs of all replicas, watches and declared batch tasks that belong to `cell`. Replicas are assigned
 * to the cells round-robin, so that a service has replicas in every data centre.
 */
export const declaredTasks = (configuration: Configuration, cells: readonly CellId[], cell: CellId): TaskSpec[] => {
  const specs: TaskSpec[] = []
  const sorted = [...cells].sort()
  for (const [name, { value: service }] of Object.entries(configuration.services)) {
    for (let index = 0; index < service.replicas; index++) {
      if (sorted[index % sorted.length] !== cell) continue
      specs.push({
        id: brand<TaskId>(`${name}.${index}`),
        kind: 'replica',
        isUrgent: false,
        team: service.team,
        resources: service.resources,
        command: service.command,
        service: brand<ServiceName>(name),
        acceptedAt: 0
      })
    }
  }
  for (const [name, { value: task }] of Object.entries(configuration.tasks)) {
    if (rendezvousRank(name, sorted)[0] !== cell) continue
    const { kind, isUrgent, team, resources, command } = task
    specs.push({ id: brand<TaskId>(name), kind, isUrgent, team, resources, command, isDeclared: true, acceptedAt: 0 })
  }
  return specs
}
