/**
 * Lists the endpoints of a cell's running replicas.
 */
import { brand, type EndpointId } from '@auburnpin/common'
import type { Configuration } from '../configuration/types.ts'
import type { CellState } from './CellState.ts'
import type { Endpoint, Task } from './types.ts'

/** Endpoints of all running replicas. One that is stopping, withdrawn or on a leaving or missing VM is marked as leaving. */
export const listEndpoints = (state: CellState, configuration: Configuration): Endpoint[] => {
  const endpoints: Endpoint[] = []
  for (const task of state.tasks.values()) {
    const endpoint = toEndpoint(state, configuration, task)
    if (endpoint !== undefined) endpoints.push(endpoint)
  }
  return endpoints
}

const toEndpoint = (state: CellState, configuration: Configuration, task: Task): Endpoint | undefined => {
  const { placement, spec } = task
  if (spec.service === undefined || placement?.address === undefined || !placement.isRunning) return undefined
  const vm = state.vms.get(placement.vm)
  const service = configuration.services[spec.service]?.value
  if (vm === undefined || service === undefined) return undefined
  return {
    id: brand<EndpointId>(`${spec.id}/${task.attempt}`),
    service: spec.service,
    vm: vm.id,
    dataCentre: vm.dataCentre,
    address: placement.address,
    slots: service.slots,
    connections: service.connections,
    isLeaving: placement.isStopping || task.isWithdrawn || vm.isLeaving || vm.missingSince !== undefined
  }
}
