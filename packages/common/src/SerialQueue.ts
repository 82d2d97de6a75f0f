/**
 * A queue that processes messages one at a time.
 */
import PQueue from 'p-queue'

/**
 * Handles messages one at a time, in the order in which they were added.
 *
 * @example
 * const queue = new SerialQueue<Message>(message => handle(message), error => log.error(String(error)))
 * queue.enqueue({ kind: 'tick' })
 */
export class SerialQueue<Message> {
  readonly #queue = new PQueue({ concurrency: 1 })
  readonly #handle: (message: Message) => Promise<void> | void
  readonly #onError: (error: unknown) => void
  #isClosed = false

  constructor (handle: (message: Message) => Promise<void> | void, onError: (error: unknown) => void) {
    this.#handle = handle
    this.#onError = onError
  }

  /** Messages waiting to be handled. */
  get length (): number {
    return this.#queue.size
  }

  /** Appends a message; after `close` it is dropped. */
  enqueue (message: Message): void {
    if (this.#isClosed) return
    void this.#queue.add(async () => {
      try {
        await this.#handle(message)
      } catch (error) {
        this.#onError(error)
      }
    })
  }

  /** Accepts no more messages and resolves once those in the queue are handled. */
  async close (): Promise<void> {
    this.#isClosed = true
    await this.#queue.onIdle()
  }
}
