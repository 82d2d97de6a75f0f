/**
 * Finds VMs with room without looking at those that have none.
 */
import { fitsWithin, NO_RESOURCES, type Resources, type VmId } from '@auburnpin/common'

const FIRST_LEAVES = 16

/**
 * A tournament tree over VMs; each inner node keeps the largest room below it in every dimension.
 * `set` and each VM found take time logarithmic in the number of VMs.
 *
 * @example
 * index.set(vm.id, state.freeOn(vm))
 * index.find(wanted, PLACEMENT_CANDIDATES, random.fraction())
 */
export class CapacityIndex {
  readonly #leafOf = new Map<VmId, number>()
  readonly #free: number[] = []
  #vms: Array<VmId | undefined> = []
  #tree: Resources[]
  #leaves = FIRST_LEAVES

  constructor () {
    this.#tree = new Array<Resources>(2 * FIRST_LEAVES).fill(NO_RESOURCES)
  }

  get size (): number {
    return this.#leafOf.size
  }

  /** Largest room in each dimension, not necessarily on one VM. */
  get largest (): Resources {
    return this.#tree[1] as Resources
  }

  /** Sets what a VM has left. */
  set (vm: VmId, room: Resources): void {
    const leaf = this.#leafOf.get(vm) ?? this.#newLeaf(vm)
    this.#update(leaf, room)
  }

  delete (vm: VmId): void {
    const leaf = this.#leafOf.get(vm)
    if (leaf === undefined) return
    this.#update(leaf, NO_RESOURCES)
    this.#leafOf.delete(vm)
    this.#vms[leaf] = undefined
    this.#free.push(leaf)
  }

  /** What is on record for a VM. */
  roomOn (vm: VmId): Resources {
    const leaf = this.#leafOf.get(vm)
    return leaf === undefined ? NO_RESOURCES : this.#tree[this.#leaves + leaf] as Resources
  }

  /** Up to `count` VMs on which `wanted` fits, going round from `start` (0 up to 1). */
  find (wanted: Resources, count: number, start: number): VmId[] {
    const found: VmId[] = []
    const first = Math.floor(start * this.#leaves)
    this.#collect(1, 0, this.#leaves, first, this.#leaves, wanted, count, found)
    if (found.length < count) this.#collect(1, 0, this.#leaves, 0, first, wanted, count, found)
    return found
  }

  #collect (node: number, low: number, width: number, from: number, to: number, wanted: Resources, count: number, found: VmId[]): void {
    if (found.length >= count || low >= to || low + width <= from) return
    if (!fitsWithin(wanted, this.#tree[node] as Resources)) return
    if (width === 1) {
      const vm = this.#vms[low]
      if (vm !== undefined) found.push(vm)
      return
    }
    const half = width / 2
    this.#collect(2 * node, low, half, from, to, wanted, count, found)
    this.#collect(2 * node + 1, low + half, half, from, to, wanted, count, found)
  }

  #newLeaf (vm: VmId): number {
    const leaf = this.#free.pop() ?? this.#leafOf.size
    if (leaf >= this.#leaves) this.#grow()
    this.#leafOf.set(vm, leaf)
    this.#vms[leaf] = vm
    return leaf
  }

  #grow (): void {
    const old = this.#tree.slice(this.#leaves)
    this.#leaves *= 2
    this.#tree = new Array<Resources>(2 * this.#leaves).fill(NO_RESOURCES)
    for (const [leaf, room] of old.entries()) this.#tree[this.#leaves + leaf] = room
    for (let node = this.#leaves - 1; node >= 1; node--) this.#tree[node] = this.#largerChild(node)
  }

  #update (leaf: number, room: Resources): void {
    let node = this.#leaves + leaf
    this.#tree[node] = room
    for (node >>= 1; node >= 1; node >>= 1) this.#tree[node] = this.#largerChild(node)
  }

  #largerChild (node: number): Resources {
    const left = this.#tree[2 * node] as Resources
    const right = this.#tree[2 * node + 1] as Resources
    return {
      processors: Math.max(left.processors, right.processors),
      memoryMb: Math.max(left.memoryMb, right.memoryMb),
      accelerators: Math.max(left.accelerators, right.accelerators)
    }
  }
}
