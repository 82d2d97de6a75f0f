/**
 * Capacity of an in-memory worker, which may change while it runs.
 */
import type { Clock } from '@auburnpin/common'
import type { TaskName, WorkerEntry } from '@auburnpin/core'

/** Processors in thousandths of a core, memory and accelerators: what a worker has or what a task needs. */
export type FakeAmounts = Pick<WorkerEntry, 'processors' | 'memoryMb' | 'accelerators'>

/** What a worker had from some time on. */
export type FakeCapacityChange = Readonly<{ amounts: FakeAmounts, at: number }>

const INITIAL: FakeAmounts = { processors: 8_000, memoryMb: 32_000, accelerators: 0 }

/**
 * Holds what a worker has and, if it guards its capacity, refuses what doesn't fit.
 *
 * @example
 * worker.capacity.change({ processors: 2_000 })
 */
export class FakeCapacity {
  readonly #clock: Clock
  readonly #changes: FakeCapacityChange[] = [{ amounts: INITIAL, at: -Infinity }]
  /** Whether the worker refuses a task that doesn't fit beside those that run. */
  isGuarded = false
  /** What a task needs; nothing, unless a test says more. */
  needsOf: (task: TaskName) => FakeAmounts = () => NOTHING

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The capacity at first, and each change. */
  get changes (): readonly FakeCapacityChange[] {
    return this.#changes
  }

  get amounts (): FakeAmounts {
    return this.#changes.at(-1)?.amounts ?? INITIAL
  }

  /** Shrinks or grows from now on; what is left out stays. */
  change (changed: Partial<FakeAmounts>): void {
    this.#changes.push({ amounts: { ...this.amounts, ...changed }, at: this.#clock.now() })
  }

  /** Whether the worker refuses to start a task beside others. */
  refuses (task: TaskName, running: Iterable<TaskName>): boolean {
    return this.isGuarded && !fits(this.#needsOfAll([task, ...running]), this.amounts)
  }

  /** Whether tasks fit into one of the capacities that were in force between two times. */
  heldAll (tasks: Iterable<TaskName>, from: number, to: number): boolean {
    const needed = this.#needsOfAll(tasks)
    for (const [index, { amounts, at }] of this.#changes.entries()) {
      const until = this.#changes[index + 1]?.at ?? Infinity
      if (at <= to && until >= from && fits(needed, amounts)) return true
    }
    return false
  }

  #needsOfAll (tasks: Iterable<TaskName>): FakeAmounts {
    const sum = { ...NOTHING }
    for (const task of tasks) {
      const { processors, memoryMb, accelerators } = this.needsOf(task)
      sum.processors += processors
      sum.memoryMb += memoryMb
      sum.accelerators += accelerators
    }
    return sum
  }
}

const NOTHING: FakeAmounts = { processors: 0, memoryMb: 0, accelerators: 0 }

const fits = (needed: FakeAmounts, { processors, memoryMb, accelerators }: FakeAmounts): boolean =>
  needed.processors <= processors && needed.memoryMb <= memoryMb && needed.accelerators <= accelerators
