/**
 * The list of workers, kept up to date.
 */
import type { WorkerId } from '@auburnpin/common'
import type { WorkerEntry } from '@auburnpin/core'

/** Takes in what the list says. */
export abstract class WorkerListener {
  abstract replaceAll (entries: readonly WorkerEntry[]): void
  abstract change (entries: readonly WorkerEntry[], gone: readonly WorkerId[]): void
}

/** Follows the list for one listener at a time. */
export abstract class WorkerList {
  /** Tells the listener the whole list, then each change, until `silence`. */
  abstract listen (listener: WorkerListener): void
  abstract silence (): void
}
