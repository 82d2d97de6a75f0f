/**
 * A region of one cell with two VMs, whose tasks run until they are stopped.
 */
import { brand, type DataCentre, type RackId, type VmId } from '@auburnpin/common'
import { FakeVmWorker } from '@auburnpin/fakes'
import type { VmEntry } from '@auburnpin/ports'
import { SchedulerCluster } from './SchedulerCluster.ts'
import { VM_CAPACITY } from './World.ts'

export const clusterWithVms = (): SchedulerCluster => {
  const cluster = new SchedulerCluster(['colombo'], 1)
  const entries: VmEntry[] = []
  for (const name of ['vm-1', 'vm-2']) {
    cluster.vms.set(name, new FakeVmWorker(VM_CAPACITY, cluster.clock, () => ({ kind: 'stay' })))
    entries.push({ id: brand<VmId>(name), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: name, resources: VM_CAPACITY, state: 'live' })
  }
  cluster.vmList.set(entries)
  return cluster
}
