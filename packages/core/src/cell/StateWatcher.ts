/**
 * The port through which a cell's state tells of its changes, so that indexes over it stay current
 * without a scan.
 */
import type { VmId } from '@auburnpin/common'
import type { Task, Vm } from './types.ts'

/** Hears of every change of a cell's state, after it has taken place. */
export abstract class StateWatcher {
  /** `before` is missing for a new task, `after` for a forgotten one. */
  abstract taskChanged (before: Task | undefined, after: Task | undefined): void
  /** `vm` is missing once the VM is no longer known. */
  abstract vmChanged (id: VmId, vm: Vm | undefined): void
}
