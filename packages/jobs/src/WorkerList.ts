/**
 * Interface of the list of available workers.
 */
import type { WorkerId } from '@auburnpin/common'
import type { WorkerEntry } from '@auburnpin/core'

/** Receives the list and its changes. */
export abstract class WorkerListener {
  abstract replaceAll (entries: readonly WorkerEntry[]): void
  abstract update (entries: readonly WorkerEntry[], removed: readonly WorkerId[]): void
}

/** The list of workers. */
export abstract class WorkerList {
  /** Passes the whole list to a listener, then each change until the listener is removed. */
  abstract subscribe (listener: WorkerListener): void
  /** Removes a listener; does nothing if it is not subscribed. */
  abstract unsubscribe (listener: WorkerListener): void
}
