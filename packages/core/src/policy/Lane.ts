/**
 * The waiting tasks of one class or team. Tasks of one shape are interchangeable for placement, so a
 * pass tries one task of each shape however many wait.
 */
import type { Instant, TaskId } from '@auburnpin/common'
import type { Task, TaskSpec } from '../cell/types.ts'
import { LANE_SHAPES_PER_PASS } from '../constants.ts'
import { kindOf } from '../interference/kindOf.ts'
import { BinaryHeap } from './BinaryHeap.ts'

type Ticket = Readonly<{ id: TaskId, acceptedAt: number, order: number, since: Instant }>

/** Same size, kind and failures: what is true of one such task's placement is true of all. */
type Shape = { readonly key: string, readonly tickets: BinaryHeap<Ticket> }

/** Tries to place a task; answers whether it has left the queue. */
export type Attempted = (id: TaskId) => boolean

/** Shapes take turns, so one that does not fit blocks none behind it. */
export class Lane {
  readonly #shapes = new Map<string, Shape>()
  readonly #current = new Map<TaskId, Ticket>()
  #order = 0

  get size (): number {
    return this.#current.size
  }

  add (task: Task, now: Instant): void {
    const { id, acceptedAt } = task.spec
    const ticket = { id, acceptedAt, order: this.#order++, since: now }
    this.#current.set(id, ticket)
    const key = shapeKey(task)
    const shape = this.#shapes.get(key) ?? { key, tickets: new BinaryHeap<Ticket>(isOlder) }
    shape.tickets.push(ticket)
    this.#shapes.set(key, shape)
  }

  /** The ticket in the heap goes stale and is dropped when it comes up. */
  remove (id: TaskId): void {
    this.#current.delete(id)
  }

  /** When the task began to wait here. */
  waitingSince (id: TaskId): Instant | undefined {
    return this.#current.get(id)?.since
  }

  /** Up to `count` tasks, in the order in which they came. */
  first (count: number): TaskId[] {
    const ids: TaskId[] = []
    for (const id of this.#current.keys()) {
      if (ids.length >= count) break
      ids.push(id)
    }
    return ids
  }

  /** The shapes to try in this pass, oldest first; those not reached come first next time. */
  takeTurn (): Turn {
    const taken: Shape[] = []
    for (const shape of this.#shapes.values()) {
      if (taken.length >= LANE_SHAPES_PER_PASS) break
      if (this.#headOf(shape) === undefined) this.#shapes.delete(shape.key)
      else taken.push(shape)
    }
    // A shape that had its turn goes to the back of the map's insertion order.
    if (this.#shapes.size > taken.length) for (const shape of taken) this.#toBack(shape)
    return new Turn(taken, shape => this.#headOf(shape))
  }

  #toBack (shape: Shape): void {
    this.#shapes.delete(shape.key)
    this.#shapes.set(shape.key, shape)
  }

  #headOf (shape: Shape): Ticket | undefined {
    while (true) {
      const head = shape.tickets.peek()
      if (head === undefined || this.#current.get(head.id) === head) return head
      shape.tickets.pop()
    }
  }
}

/** One pass over a lane. */
export class Turn {
  readonly #open: BinaryHeap<Shape>
  readonly #headOf: (shape: Shape) => Ticket | undefined

  constructor (shapes: readonly Shape[], headOf: (shape: Shape) => Ticket | undefined) {
    this.#headOf = headOf
    this.#open = new BinaryHeap<Shape>((left, right) => isOlder(headOf(left) as Ticket, headOf(right) as Ticket))
    for (const shape of shapes) this.#open.push(shape)
  }

  /** When the oldest task still open in this turn began to wait. */
  get oldestSince (): Instant | undefined {
    const shape = this.#open.peek()
    return shape === undefined ? undefined : this.#headOf(shape)?.since
  }

  /** Places one task, the oldest that can be placed; answers whether there was one. */
  placeOne (attempt: Attempted): boolean {
    while (true) {
      const shape = this.#open.pop()
      const head = shape === undefined ? undefined : this.#headOf(shape)
      if (shape === undefined || head === undefined) return false
      if (!attempt(head.id)) continue
      if (this.#headOf(shape) !== undefined) this.#open.push(shape)
      return true
    }
  }
}

const isOlder = (left: Ticket, right: Ticket): boolean =>
  left.acceptedAt < right.acceptedAt || (left.acceptedAt === right.acceptedAt && left.order < right.order)

const shapeKey = ({ spec, failedOn }: Task): string =>
  `${sizeKey(spec)}/${spec.service ?? ''}/${kindOf(spec)}/${(failedOn ?? []).join(',')}`

const sizeKey = ({ resources }: TaskSpec): string =>
  `${resources.processors}/${resources.memoryMb}/${resources.accelerators}`
