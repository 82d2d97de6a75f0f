/**
 * The calls that extend the lease of one incarnation of a worker.
 */
import { brand, type Instant } from '@auburnpin/common'

/** A call that was sent at `sentAt` and extends the lease to `untilMs` on the worker's clock. */
export type LeaseCall = Readonly<{ sentAt: Instant, untilMs: number }>

/**
 * Tells which calls may still be carried out: those in progress, and the latest one that got no response. The next
 * incarnation at the worker's address may carry them out.
 *
 * @example
 * const call = { sentAt: now, untilMs }
 * calls.begin(call)
 * calls.end(call, response !== undefined)
 * calls.lastSentAt // -Infinity if every call was answered
 */
export class LeaseCalls {
  readonly #inProgress = new Set<LeaseCall>()
  #lastUnansweredAt = brand<Instant>(-Infinity)

  begin (call: LeaseCall): void {
    this.#inProgress.add(call)
  }

  /** The call has got a response, whichever incarnation it is of, or none in time. */
  end (call: LeaseCall, isAnswered: boolean): void {
    if (!this.#inProgress.delete(call) || isAnswered) return
    this.#lastUnansweredAt = brand<Instant>(Math.max(this.#lastUnansweredAt, call.sentAt))
  }

  /** When the latest call was sent that may still be carried out; `-Infinity` without one. */
  get lastSentAt (): Instant {
    let last: Instant = this.#lastUnansweredAt
    for (const { sentAt } of this.#inProgress) if (sentAt > last) last = sentAt
    return last
  }
}
