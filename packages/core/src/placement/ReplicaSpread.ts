/**
 * Number of replicas of each service on each VM and rack.
 */
import type { RackId, ServiceName, VmId } from '@auburnpin/common'
import type { Task } from '../cell/types.ts'

/** Updated on each change of the state. Replicas count towards a rack once the rack of their VM is known. */
export class ReplicaSpread {
  readonly #onVm = new Map<VmId, Map<ServiceName, number>>()
  readonly #onRack = new Map<RackId, Map<ServiceName, number>>()
  readonly #rackOf = new Map<VmId, RackId>()

  /** Records the change of one task. */
  change (before: Task | undefined, after: Task | undefined): void {
    this.#count(before, -1)
    this.#count(after, 1)
  }

  /** Sets the rack of a VM; replicas may have been restored on the VM before it was listed. */
  setRack (vm: VmId, rack: RackId): void {
    const known = this.#rackOf.get(vm)
    if (known === rack) return
    for (const [service, count] of this.#onVm.get(vm) ?? []) {
      if (known !== undefined) add(this.#onRack, known, service, -count)
      add(this.#onRack, rack, service, count)
    }
    this.#rackOf.set(vm, rack)
  }

  onVm (service: ServiceName, vm: VmId): number {
    return this.#onVm.get(vm)?.get(service) ?? 0
  }

  onRack (service: ServiceName, rack: RackId): number {
    return this.#onRack.get(rack)?.get(service) ?? 0
  }

  #count (task: Task | undefined, step: number): void {
    const vm = task?.placement?.vm
    const service = task?.spec.service
    if (vm === undefined || service === undefined) return
    add(this.#onVm, vm, service, step)
    const rack = this.#rackOf.get(vm)
    if (rack !== undefined) add(this.#onRack, rack, service, step)
  }
}

const add = <Place>(counts: Map<Place, Map<ServiceName, number>>, place: Place, service: ServiceName, step: number): void => {
  const ofPlace = counts.get(place) ?? new Map<ServiceName, number>()
  const count = (ofPlace.get(service) ?? 0) + step
  if (count === 0) ofPlace.delete(service)
  else ofPlace.set(service, count)
  if (ofPlace.size === 0) counts.delete(place)
  else counts.set(place, ofPlace)
}
