/**
 * A queue of waiting tasks of one priority level or team. Tasks of the same equivalence class are
 * interchangeable for placement, so a pass tries one task of each class, however many wait.
 */
import type { Instant, TaskId } from '@auburnpin/common'
import type { Task, TaskSpec } from '../cell/types.ts'
import { EQUIVALENCE_CLASSES_PER_PASS } from '../constants.ts'
import { workloadKindOf } from '../interference/workloadKindOf.ts'
import { isOnTrial } from '../placement/VmCapacity.ts'
import { BinaryHeap } from './BinaryHeap.ts'

type Entry = Readonly<{ id: TaskId, acceptedAt: number, order: number, since: Instant }>

/** Waiting tasks with the same resources, workload and VMs on which they failed, all or none on trial: if one cannot be placed, none can. */
type EquivalenceClass = { readonly key: string, readonly entries: BinaryHeap<Entry> }

/** Tries to place a task; returns whether it has left the queue. */
export type TryPlace = (id: TaskId) => boolean

/** Equivalence classes are tried in rotation, so a task that does not fit blocks none behind it. */
export class TaskQueue {
  readonly #classes = new Map<string, EquivalenceClass>()
  readonly #entries = new Map<TaskId, Entry>()
  #order = 0

  get size (): number {
    return this.#entries.size
  }

  add (task: Task, now: Instant): void {
    const { id, acceptedAt } = task.spec
    const entry = { id, acceptedAt, order: this.#order++, since: now }
    this.#entries.set(id, entry)
    const key = equivalenceKey(task)
    const group = this.#classes.get(key) ?? { key, entries: new BinaryHeap<Entry>(isOlder) }
    group.entries.push(entry)
    this.#classes.set(key, group)
  }

  /** The entry stays in its heap and is discarded once it is at the head. */
  remove (id: TaskId): void {
    this.#entries.delete(id)
  }

  /** When the task was added to this queue. */
  waitingSince (id: TaskId): Instant | undefined {
    return this.#entries.get(id)?.since
  }

  /** Up to `count` tasks, in the order in which they were added. */
  first (count: number): TaskId[] {
    const ids: TaskId[] = []
    for (const id of this.#entries.keys()) {
      if (ids.length >= count) break
      ids.push(id)
    }
    return ids
  }

  /** Starts a pass over a bounded number of equivalence classes; the next pass starts with those left out. */
  startPass (): QueuePass {
    const open: EquivalenceClass[] = []
    for (const group of this.#classes.values()) {
      if (open.length >= EQUIVALENCE_CLASSES_PER_PASS) break
      if (this.#headOf(group) === undefined) this.#classes.delete(group.key)
      else open.push(group)
    }
    // Re-inserting a class moves it to the end of the map's iteration order.
    if (this.#classes.size > open.length) for (const group of open) this.#moveToBack(group)
    return new QueuePass(open, group => this.#headOf(group))
  }

  #moveToBack (group: EquivalenceClass): void {
    this.#classes.delete(group.key)
    this.#classes.set(group.key, group)
  }

  #headOf (group: EquivalenceClass): Entry | undefined {
    while (true) {
      const head = group.entries.peek()
      if (head === undefined || this.#entries.get(head.id) === head) return head
      group.entries.pop()
    }
  }
}

/** One pass over a queue, oldest task first. */
export class QueuePass {
  readonly #open: BinaryHeap<EquivalenceClass>
  readonly #headOf: (group: EquivalenceClass) => Entry | undefined

  constructor (groups: readonly EquivalenceClass[], headOf: (group: EquivalenceClass) => Entry | undefined) {
    this.#headOf = headOf
    this.#open = new BinaryHeap<EquivalenceClass>((left, right) => isOlder(headOf(left) as Entry, headOf(right) as Entry))
    for (const group of groups) this.#open.push(group)
  }

  /** Since when the oldest task that this pass can still try has waited. */
  get oldestWaitingSince (): Instant | undefined {
    const group = this.#open.peek()
    return group === undefined ? undefined : this.#headOf(group)?.since
  }

  /** Places the oldest task that can be placed; returns whether there was one. */
  placeOne (tryPlace: TryPlace): boolean {
    while (true) {
      const group = this.#open.pop()
      const head = group === undefined ? undefined : this.#headOf(group)
      if (group === undefined || head === undefined) return false
      if (!tryPlace(head.id)) continue
      if (this.#headOf(group) !== undefined) this.#open.push(group)
      return true
    }
  }
}

const isOlder = (left: Entry, right: Entry): boolean =>
  left.acceptedAt < right.acceptedAt || (left.acceptedAt === right.acceptedAt && left.order < right.order)

const equivalenceKey = (task: Task): string => {
  const { spec, failedOn } = task
  return `${sizeKey(spec)}/${spec.service ?? ''}/${workloadKindOf(spec)}/${(failedOn ?? []).join(',')}/${String(isOnTrial(task))}`
}

const sizeKey = ({ resources }: TaskSpec): string =>
  `${resources.processors}/${resources.memoryMb}/${resources.accelerators}`
