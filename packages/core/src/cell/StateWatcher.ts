/**
 * Interface by which a cell's state reports its changes, so that indexes over it are updated
 * incrementally instead of by a scan.
 */
import type { VmId } from '@auburnpin/common'
import type { Task, Vm } from './types.ts'

/** Is called after every change of a cell's state. */
export abstract class StateWatcher {
  /** `before` is `undefined` for a new task, `after` for a forgotten one. */
  abstract taskChanged (before: Task | undefined, after: Task | undefined): void
  /** `vm` is `undefined` once the VM is removed from the state. */
  abstract vmChanged (id: VmId, vm: Vm | undefined): void
}
