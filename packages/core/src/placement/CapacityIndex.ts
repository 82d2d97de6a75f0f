/**
 * Finds VMs with enough capacity without a scan over all VMs.
 */
import { fitsWithin, NO_RESOURCES, type Resources, type VmId } from '@auburnpin/common'

const INITIAL_LEAVES = 16

/**
 * A tournament tree over VMs; each inner node holds the maximum of its children in every dimension.
 * `set` takes time logarithmic in the number of VMs, as does each VM that `find` returns.
 *
 * @example
 * index.set(vm.id, state.freeOn(vm))
 * index.find(wanted, PLACEMENT_CANDIDATES, random.fraction())
 */
export class CapacityIndex {
  readonly #leafOf = new Map<VmId, number>()
  readonly #freeLeaves: number[] = []
  #vms: Array<VmId | undefined> = []
  #tree: Resources[]
  #leafCount = INITIAL_LEAVES

  constructor () {
    this.#tree = new Array<Resources>(2 * INITIAL_LEAVES).fill(NO_RESOURCES)
  }

  get size (): number {
    return this.#leafOf.size
  }

  /** Largest capacity in each dimension, not necessarily of one VM. */
  get largest (): Resources {
    return this.#tree[1] as Resources
  }

  /** Sets the capacity of a VM. */
  set (vm: VmId, resources: Resources): void {
    const leaf = this.#leafOf.get(vm) ?? this.#newLeaf(vm)
    this.#update(leaf, resources)
  }

  delete (vm: VmId): void {
    const leaf = this.#leafOf.get(vm)
    if (leaf === undefined) return
    this.#update(leaf, NO_RESOURCES)
    this.#leafOf.delete(vm)
    this.#vms[leaf] = undefined
    this.#freeLeaves.push(leaf)
  }

  /** Capacity of a VM; zero if it is not indexed. */
  get (vm: VmId): Resources {
    const leaf = this.#leafOf.get(vm)
    return leaf === undefined ? NO_RESOURCES : this.#tree[this.#leafCount + leaf] as Resources
  }

  /** Up to `count` VMs on which `wanted` fits, in index order from the fraction `start` (0 up to 1) on, wrapping round. */
  find (wanted: Resources, count: number, start: number): VmId[] {
    const found: VmId[] = []
    const first = Math.floor(start * this.#leafCount)
    this.#collect(1, 0, this.#leafCount, first, this.#leafCount, wanted, count, found)
    if (found.length < count) this.#collect(1, 0, this.#leafCount, 0, first, wanted, count, found)
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
    const leaf = this.#freeLeaves.pop() ?? this.#leafOf.size
    if (leaf >= this.#leafCount) this.#grow()
    this.#leafOf.set(vm, leaf)
    this.#vms[leaf] = vm
    return leaf
  }

  #grow (): void {
    const old = this.#tree.slice(this.#leafCount)
    this.#leafCount *= 2
    this.#tree = new Array<Resources>(2 * this.#leafCount).fill(NO_RESOURCES)
    for (const [leaf, resources] of old.entries()) this.#tree[this.#leafCount + leaf] = resources
    for (let node = this.#leafCount - 1; node >= 1; node--) this.#tree[node] = this.#maxOfChildren(node)
  }

  #update (leaf: number, resources: Resources): void {
    let node = this.#leafCount + leaf
    this.#tree[node] = resources
    for (node >>= 1; node >= 1; node >>= 1) this.#tree[node] = this.#maxOfChildren(node)
  }

  #maxOfChildren (node: number): Resources {
    const left = this.#tree[2 * node] as Resources
    const right = this.#tree[2 * node + 1] as Resources
    return {
      processors: Math.max(left.processors, right.processors),
      memoryMb: Math.max(left.memoryMb, right.memoryMb),
      accelerators: Math.max(left.accelerators, right.accelerators)
    }
  }
}
