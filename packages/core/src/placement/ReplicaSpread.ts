/**
 * How many replicas of each service stand on each VM and rack.
 */
import type { RackId, ServiceName, VmId } from '@auburnpin/common'
import type { Task } from '../cell/types.ts'

/** Counts kept up with the state's changes. */
export class ReplicaSpread {
  readonly #onVm = new Map<string, number>()
  readonly #onRack = new Map<string, number>()

  /** Takes in the change of one task; `rackOf` names the rack of a VM. */
  change (before: Task | undefined, after: Task | undefined, rackOf: (vm: VmId) => RackId | undefined): void {
    this.#count(before, -1, rackOf)
    this.#count(after, 1, rackOf)
  }

  onVm (service: ServiceName, vm: VmId): number {
    return this.#onVm.get(`${service}/${vm}`) ?? 0
  }

  onRack (service: ServiceName, rack: RackId): number {
    return this.#onRack.get(`${service}/${rack}`) ?? 0
  }

  #count (task: Task | undefined, step: number, rackOf: (vm: VmId) => RackId | undefined): void {
    const vm = task?.placement?.vm
    const service = task?.spec.service
    if (vm === undefined || service === undefined) return
    add(this.#onVm, `${service}/${vm}`, step)
    const rack = rackOf(vm)
    if (rack !== undefined) add(this.#onRack, `${service}/${rack}`, step)
  }
}

const add = (counts: Map<string, number>, key: string, step: number): void => {
  const count = (counts.get(key) ?? 0) + step
  if (count <= 0) counts.delete(key)
  else counts.set(key, count)
}
