/**
 * The release notes of the demo.
 */
import { LONG_TASK_DURATION_MS, VM_PROCESSORS, VMS_PER_DATA_CENTRE, SPARE_VMS_PER_DATA_CENTRE } from './constants.ts'
import type { DemoExample } from './DemoExample.ts'

const REPLICA_PROCESSORS = 4

/** Replicas of the service: one for each VM that is not spare. */
export const replicaCountOf = (example: DemoExample): number => example.dataCentres.length * (VMS_PER_DATA_CENTRE - SPARE_VMS_PER_DATA_CENTRE)

/** Declares the teams, the service, the watch and the long tasks. */
export const declarationNote = (example: DemoExample): object => ({
  id: `${example.region}-1`,
  added: {
    teams: {
      [example.serviceTeam]: { quota: { processors: 400, memoryMb: 1_600_000 } },
      [example.batchTeam]: { quota: { processors: 400, memoryMb: 1_600_000 } }
    },
    services: {
      [example.service]: {
        replicas: replicaCountOf(example), resources: { processors: REPLICA_PROCESSORS, memoryMb: 8_000 }, command: `serve ${example.serviceMs}`, team: example.serviceTeam
      }
    },
    tasks: {
      [example.watch]: { kind: 'watch', team: example.serviceTeam, resources: { processors: 1, memoryMb: 1_000 }, command: 'watch' },
      ...Object.fromEntries(example.longTasks.map(task => [task, longTask(example)]))
    }
  }
})

// Larger than the free capacity of a VM that runs an endpoint, so that the drained VM runs only batch work.
const longTask = (example: DemoExample): object => ({
  kind: 'batch', team: example.batchTeam, resources: { processors: VM_PROCESSORS - REPLICA_PROCESSORS + 1, memoryMb: 8_000 }, command: `work ${LONG_TASK_DURATION_MS}`
})

/** Drains one VM. */
export const drainNote = (vm: string): object =>
  ({ id: `drain-${vm}`, added: { drains: { [vm]: { reason: 'shown by the demo' } } } })
